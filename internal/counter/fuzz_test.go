package counter

import (
	"math"
	"testing"

	"junctionring/control"
)

// Whatever line the counter sends, a total is finite, and only the exact words mean that nothing was added.
func FuzzAnswer(f *testing.F) {
	for _, line := range []string{"ok 12", "ok -0.5", "ok 1e999", "ok NaN", "busy", "error", "pong", "ok", "ok 1 2"} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		status, total := decodeAnswer(line)
		if math.IsNaN(total) || math.IsInf(total, 0) {
			t.Errorf("%q was decoded to the total %v", line, total)
		}
		if status == control.Full && line != "busy" && line != "error" {
			t.Errorf("%q was taken to mean that nothing was added", line)
		}
	})
}
