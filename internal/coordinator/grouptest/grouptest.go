// Package grouptest runs a group of one coordinator inside a test's process. It does not run groups of several
// coordinators.
package grouptest

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/internal/standin"
	"junctionring/rollout"
)

// Group is a running coordinator and a client group for it.
type Group struct {
	*leaseholder.Group
	Address    string
	t          testing.TB
	ctx        context.Context
	configPath string
	stop       func()
}

// Start starts a new group with life as the longest life of a session. The group stops at the end of the test.
func Start(ctx context.Context, t testing.TB, life time.Duration) *Group {
	t.Helper()
	g := &Group{t: t, ctx: ctx, Address: FreeAddress(t), configPath: filepath.Join(t.TempDir(), "c.toml")}
	g.Group = leaseholder.NewGroup(g.Address)
	if err := os.WriteFile(g.configPath, []byte(fmt.Sprintf("listen = %q\ndata = \"data\"\nlongest_life = %q\n", g.Address, life)), 0o644); err != nil {
		t.Fatal(err)
	}
	g.Run()
	t.Cleanup(func() { g.Stop(); g.Group.Close() })
	return g
}

// Run starts the coordinator, also again after Stop.
func (g *Group) Run() {
	g.t.Helper()
	c, err := coordinator.LoadConfig(g.configPath)
	if err != nil {
		g.t.Fatal(err)
	}
	if made, _ := coordinator.HasIdentity(c.Data); !made {
		if _, err := coordinator.Init(g.ctx, c); err != nil {
			g.t.Fatal(err)
		}
	}
	ctx, end := context.WithCancel(context.Background())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- coordinator.Serve(ctx, coordinator.Options{Config: c, Log: slog.New(slog.DiscardHandler)}, func(string) { close(ready) })
	}()
	select {
	case <-ready:
	case err := <-ended:
		g.t.Fatal(err)
	}
	g.stop = func() { end(); <-ended }
}

// Stop stops the coordinator. Its log stays on the disk.
func (g *Group) Stop() {
	if g.stop != nil {
		g.stop()
		g.stop = nil
	}
}

// Change sends a command of the fleet and fails the test if it is refused.
func (g *Group) Change(c rollout.Command) {
	g.t.Helper()
	if r, err := coordinator.Change(g.ctx, g.Group, c); err != nil || r.Error != "" && !r.Waits {
		g.t.Fatalf("%s: %s %v", c.Op, r.Error, err)
	}
}

// Await waits until condition holds for the state of the fleet, and fails the test when its context ends first.
func (g *Group) Await(what string, condition func(*rollout.Fleet) bool) *rollout.Fleet {
	g.t.Helper()
	for {
		v, err := coordinator.View(g.ctx, g.Group, 0)
		if err == nil && condition(v) {
			return v
		}
		select {
		case <-g.ctx.Done():
			g.t.Fatalf("the context ended before the condition %q held: %v\n%s", what, err, FormatNotes(v))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// FormatNotes formats the event history of a fleet for the message of a failed test.
func FormatNotes(f *rollout.Fleet) (text string) {
	if f == nil {
		return "no state of the fleet was received"
	}
	for _, n := range f.Notes {
		text += fmt.Sprintf("%d %s %s\n", n.Seq, n.By, n.What)
	}
	return text
}

// FreeAddress returns a free local address for a server that a test starts.
func FreeAddress(t testing.TB) string {
	t.Helper()
	a, err := standin.Free()
	if err != nil {
		t.Fatal(err)
	}
	return a
}
