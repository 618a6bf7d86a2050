package gateway

import (
	"slices"

	"junctionring/internal/config"
)

// targetList holds the targets of the version in force. Its zero value holds no list, which differs from an empty list.
type targetList struct {
	known   bool
	targets []config.TargetSettings
}

// update stores the targets of a version that comes into force, and reports whether they differ from those before.
func (l *targetList) update(targets []config.TargetSettings) bool {
	if l.known && slices.Equal(l.targets, targets) {
		return false
	}
	l.known, l.targets = true, targets
	return true
}
