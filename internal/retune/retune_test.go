package retune

import (
	"slices"
	"testing"

	"junctionring/control"
)

var (
	view   = control.Class{Aim: 0.1, Deadline: 1, Worth: 1, Repeat: control.Safe}
	move   = control.Class{Aim: 0.2, Deadline: 4, Worth: 6, Repeat: control.Keyed, Window: 4}
	club   = control.Plan{Rate: 50, Burst: 50, Worth: 1}
	league = control.Plan{Rate: 90, Burst: 90, Worth: 2}
)

// An added class gets a number of its own. A removed class keeps its number, which is inactive. A class whose rules
// change gets a new number that starts with the old one's times, and the old number keeps its rules for the requests
// in progress.
func TestNumbersKeepTheirMeaning(t *testing.T) {
	t0 := Start([]string{"view", "move"}, []control.Class{view, move}, []string{"club"}, []control.Plan{club}, 3)
	added := view
	added.Deadline = 2
	t1, from := t0.Next([]string{"view", "move", "view-ii"}, []control.Class{view, move, added},
		[]string{"club", "league"}, []control.Plan{club, league}, 3)
	if got := Names(t1.Classes); !slices.Equal(got, []string{"view", "move", "view-ii"}) || !slices.Equal(from, []int{0, 1, -1}) {
		t.Errorf("one class added: names %q, from %v", got, from)
	}
	if got := Names(t1.Plans); !slices.Equal(got, []string{"club", "league"}) {
		t.Errorf("one plan added: plans %q", got)
	}
	unkeyed := move
	unkeyed.Repeat, unkeyed.Window = control.Unsafe, 0
	t2, from := t1.Next([]string{"move", "view-ii"}, []control.Class{unkeyed, added}, []string{"league"}, []control.Plan{league}, 1)
	if got := Names(t2.Classes); !slices.Equal(got, []string{"", "", "view-ii", "move"}) || !slices.Equal(from, []int{0, 1, 2, 1}) {
		t.Errorf("one class removed, one changed: names %q, from %v", got, from)
	}
	if r := Rules(t2.Classes); r[1] != move || r[3] != unkeyed {
		t.Errorf("rules of move: the old number has %+v, the new one %+v", r[1], r[3])
	}
	if got := AllNames(t2.Classes); !slices.Equal(got, []string{"view", "move", "view-ii", "move"}) {
		t.Errorf("names of all class numbers: %q", got)
	}
	if got := Names(t2.Plans); !slices.Equal(got, []string{"", "league"}) || t2.Attempts != 1 || t2.Reconfigs != 2 {
		t.Errorf("one plan removed: plans %q, attempts %d, reconfigs %d", got, t2.Attempts, t2.Reconfigs)
	}
	t3, from := t2.Next([]string{"view"}, []control.Class{view}, []string{"club"}, []control.Plan{club}, 2)
	if got := Names(t3.Classes); !slices.Equal(got, []string{"view", "", "", ""}) || !slices.Equal(from, []int{0, 1, 2, 3}) {
		t.Errorf("back to the first settings: names %q, from %v", got, from)
	}
}
