package gateway

import (
	"testing"

	"junctionring/internal/config"
)

func TestTargetListChanges(t *testing.T) {
	one := []config.TargetSettings{{ID: "t1", Address: "10.0.0.1:80"}, {ID: "t2", Address: "10.0.0.2:80"}}
	var l targetList
	for i, step := range []struct {
		targets []config.TargetSettings
		want    bool
	}{
		{nil, true}, // the first list always counts as a change
		{nil, false},
		{one, true},
		{append([]config.TargetSettings(nil), one...), false},
		{[]config.TargetSettings{one[1], one[0]}, true},
		{[]config.TargetSettings{one[1], {ID: "t1", Address: "10.0.0.3:80"}}, true},
		{one[:1], true},
		{nil, true},
	} {
		if got := l.update(step.targets); got != step.want {
			t.Errorf("step %d: update returned %v, want %v", i, got, step.want)
		}
	}
}
