package telemetry

import (
	"fmt"
	"io"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// waitBound is a duration that waits are compared with, and its name in the output.
type waitBound struct {
	over time.Duration
	name string
}

var waitBounds = [...]waitBound{
	{time.Millisecond, "over_1ms"}, {10 * time.Millisecond, "over_10ms"},
	{100 * time.Millisecond, "over_100ms"}, {time.Second, "over_1s"},
}

// Waits counts waits by their length: how many took longer than each of waitBounds.
type Waits struct {
	over [len(waitBounds)]atomic.Int64
}

// Add counts one wait.
func (w *Waits) Add(d time.Duration) {
	for i := range waitBounds {
		if d <= waitBounds[i].over {
			return
		}
		w.over[i].Add(1)
	}
}

// Counts returns how many waits took longer than each of waitBounds.
func (w *Waits) Counts() (counts [len(waitBounds)]int64) {
	for i := range w.over {
		counts[i] = w.over[i].Load()
	}
	return counts
}

// schedulerLatencies is the runtime's histogram of the time that goroutines spend runnable before they run.
const schedulerLatencies = "/sched/latencies:seconds"

// schedulerWaits returns how many waits of goroutines for a processor took longer than each of waitBounds. A bucket of
// the runtime's histogram that a bound falls into is not counted as over it.
func schedulerWaits() (counts [len(waitBounds)]int64) {
	sample := []metrics.Sample{{Name: schedulerLatencies}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return counts
	}
	histogram := sample[0].Value.Float64Histogram()
	for bucket, n := range histogram.Counts {
		for i, bound := range waitBounds {
			if least := histogram.Buckets[bucket]; !math.IsInf(least, -1) && least >= bound.over.Seconds() {
				counts[i] += int64(n)
			}
		}
	}
	return counts
}

// WriteWaits writes how long messages waited for the core, and goroutines for a processor, in the format of WriteTo.
func (f *Figures) WriteWaits(w io.Writer) error {
	for _, queue := range []struct {
		name   string
		counts [len(waitBounds)]int64
	}{{"core", f.CoreWaits.Counts()}, {"scheduler", schedulerWaits()}} {
		for i, bound := range waitBounds {
			if _, err := fmt.Fprintf(w, "%s.waits.%s.%s:%d|c\n", f.Prefix, queue.name, bound.name, queue.counts[i]); err != nil {
				return err
			}
		}
	}
	return nil
}
