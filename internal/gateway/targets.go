package gateway

import (
	"slices"

	"junctionring/internal/config"
)

// targetList is the targets of the version in force. Its zero value is no list at all, which differs from an empty
// one.
type targetList struct {
	known   bool
	targets []config.TargetSettings
}

// change takes the targets of a version that comes into force, and tells whether they differ from those before.
func (l *targetList) update(targets []config.TargetSettings) bool {
	if l.known && slices.Equal(l.targets, targets) {
		return false
	}
	l.known, l.targets = true, targets
	return true
}
