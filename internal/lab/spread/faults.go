package spread

import (
	"context"
	"fmt"
	"time"

	"junctionring/internal/lab/proc"
	"junctionring/internal/standin"
)

// Faults are what a play may throw, by name; each returns once it has thrown what it throws. "none" throws nothing.
var Faults = map[string]func(context.Context, *World) error{
	"none": nil,
	"half-killed": func(ctx context.Context, w *World) error { // and back after two seconds, all at once
		var gone []*gate
		for i, g := range w.gates {
			if i%2 == 1 {
				g.Kill()
				gone = append(gone, g)
			}
		}
		proc.Wait(ctx, 2*time.Second)
		return w.startAll(ctx, gone)
	},
	"list-changes": func(ctx context.Context, w *World) error { // one server leaves and one comes, for all in the same moment
		return w.replace(1, 0)
	},
	"third-replaced": func(ctx context.Context, w *World) error { // by cold ones
		return w.replace(w.o.Tables/3, 0)
	},
	"lists-late": func(ctx context.Context, w *World) error { // a third of the gateways hear of it 3 s later
		return w.replace(w.o.Tables/6, 3*time.Second)
	},
	"some-slow": func(ctx context.Context, w *World) error { // one of eight, at a third of its speed
		w.mu.Lock()
		defer w.mu.Unlock()
		for i, t := range w.tables {
			if i%8 == 0 {
				t.Slow(w.o.Speeds[i%len(w.o.Speeds)] / 3)
				w.servers[i].Capacity /= 3
			}
		}
		return nil
	},
	"some-still": func(ctx context.Context, w *World) error { // one of eight answers nothing for 5 s
		for i, t := range w.tables {
			if i%8 == 0 {
				t.Silence()
				defer t.Speak()
			}
		}
		proc.Wait(ctx, 5*time.Second)
		return nil
	},
	"zone-lost": func(ctx context.Context, w *World) error { // a third crash, and come back cold after 3 s
		w.mu.Lock()
		n := len(w.tables)
		var lost []int
		for i := range n {
			if i%3 == 0 {
				lost = append(lost, i)
				w.tables[i].Crash()
				w.servers[i].To = time.Now()
			}
		}
		w.mu.Unlock()
		proc.Wait(ctx, 3*time.Second)
		for _, i := range lost {
			e, err := w.add(w.servers[i].ID+"-again", w.o.Speeds[i%len(w.o.Speeds)], true)
			if err != nil {
				return err
			}
			old := w.tables[i].Instance("")
			old.Lifecycle = "DELETED"
			w.registry.Put(old, e)
			w.late.Put(old, e)
		}
		return nil
	},
	"counter-gone": func(ctx context.Context, w *World) error { // for good
		w.store.Close()
		return nil
	},
}

// replace puts cold servers in the place of so many; the late registry says it after a time.
func (w *World) replace(n int, late time.Duration) error {
	var changes []standin.Instance
	for i := range n {
		at := i * (w.o.Tables / n)
		w.mu.Lock()
		old := w.tables[at].Instance("")
		w.servers[at].To = time.Now()
		w.mu.Unlock()
		old.Lifecycle = "DELETED"
		e, err := w.add(fmt.Sprintf("%s-new", old.ID), w.o.Speeds[at%len(w.o.Speeds)], true)
		if err != nil {
			return err
		}
		changes = append(changes, old, e)
	}
	w.registry.Put(changes...)
	if late > 0 {
		time.AfterFunc(late, func() { w.late.Put(changes...) })
		return nil
	}
	w.late.Put(changes...)
	return nil
}
