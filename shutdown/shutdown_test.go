package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// For any deadline, the steps are in order, the final answers and units fit in before the kill, and new connections are
// accepted for as long as they keep arriving if there is time for that.
func TestStepsFitBeforeTheKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		longest := time.Duration(rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "longest"))
		killed := GracePeriod(longest)
		if killed > 3700*ms || killed != min(longest, 3*time.Second)+700*ms {
			t.Fatalf("grace period of %v for deadlines of up to %v", killed, longest)
		}
		p := PlanForKill(killed)
		switch {
		case p.Close < 0 || p.Close > p.Stop || p.Stop > p.Shed:
			t.Fatalf("steps out of order: %+v", p)
		case p.Shed+FinalAnswersTime+FinalUnitsTime > killed:
			t.Fatalf("no time for the final answers and units before the kill at %v: %+v", killed, p)
		case longest >= 300*ms && p.Stop < 400*ms:
			t.Fatalf("new connections still arrive when the plan stops accepting them at %v", p.Stop)
		case longest >= 1500*ms && p.Shed-p.Stop < 400*ms:
			t.Fatalf("%+v leaves less than 400 ms for finishing held requests", p)
		}
	})
}

// The plan for the known site differs from the one that its test days were passed with by less than 0.05 s.
func TestKnownSite(t *testing.T) {
	p := PlanForKill(GracePeriod(7500 * ms))
	if want := (Plan{Close: 2450 * ms, Stop: 2850 * ms, Shed: 3250 * ms}); p != want {
		t.Errorf("%+v, want %+v", p, want)
	}
	if p := PlanForShed(10 * time.Second); p.Close != 2500*ms || p.Stop != 2900*ms || p.Shed != 10*time.Second {
		t.Errorf("plan for shedding after ten seconds: %+v", p)
	}
}

// A longer deadline does not lengthen the shutdown while requests may be held under the old settings; then it does. A
// shorter one applies at once.
func TestDeadlinesOfHeldRequests(t *testing.T) {
	var d Deadlines
	d.Set(0, 800*ms)
	d.Set(time.Second, 2*time.Second)
	if got := d.Shortest(1799 * ms); got != 800*ms {
		t.Errorf("with requests held under the old settings: %v, want 800ms", got)
	}
	if got := d.Shortest(1801 * ms); got != 2*time.Second {
		t.Errorf("once those have ended: %v, want 2s", got)
	}
	d.Set(3*time.Second, 500*ms)
	if got := d.Shortest(3 * time.Second); got != 500*ms {
		t.Errorf("after a change to a shorter deadline: %v, want 500ms", got)
	}
}
