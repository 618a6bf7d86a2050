package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Whatever the deadlines, the steps come in their order, what is shed has its last words before the kill, and new
// connections are taken for as long as they keep coming wherever there is room for that.
func TestStepsFitBeforeTheKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := time.Duration(rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "longest"))
		killed := GracePeriod(longest)
		if killed > 3700*ms || killed != min(longest, 3*time.Second)+700*ms {
			t.Fatalf("killed after %v", killed)
		}
		p := PlanForKill(killed)
		switch {
		case p.Close < 0 || p.Close > p.Stop || p.Stop > p.Shed:
			t.Fatalf("out of order: %+v", p)
		case p.Shed+FinalAnswersTime+FinalUnitsTime > killed:
			t.Fatalf("no time for last words: %+v", p)
		case longest >= 300*ms && p.Stop < 400*ms:
			t.Fatalf("new connections still come at %v", p.Stop)
		case longest >= 1500*ms && p.Shed-p.Stop < 400*ms:
			t.Fatalf("%+v leaves nothing for what is held", p)
		}
	})
}

// The plan of the known site is the one that its days were passed with, by less than a twentieth of a second.
func TestKnownSite(t *testing.T) {
	p := PlanForKill(GracePeriod(7500 * ms))
	if want := (Plan{Close: 2450 * ms, Stop: 2850 * ms, Shed: 3250 * ms}); p != want {
		t.Errorf("%+v, want %+v", p, want)
	}
	if p := PlanForShed(10 * time.Second); p.Close != 2500*ms || p.Stop != 2900*ms || p.Shed != 10*time.Second {
		t.Errorf("an operator's ten seconds: %+v", p)
	}
}

// New settings do not lengthen the end while requests of the old ones may be held; after that they do.
func TestDeadlinesOfHeldRequests(t *testing.T) {
	var d Deadlines
	d.Set(0, 800*ms)
	d.Set(time.Second, 2*time.Second)
	if got := d.Shortest(1799 * ms); got != 800*ms {
		t.Errorf("with requests held under the old settings: %v", got)
	}
	if got := d.Shortest(1801 * ms); got != 2*time.Second {
		t.Errorf("afterwards: %v", got)
	}
	d.Set(3*time.Second, 500*ms)
	if got := d.Shortest(3 * time.Second); got != 500*ms {
		t.Errorf("shorter ones count at once: %v", got)
	}
}
