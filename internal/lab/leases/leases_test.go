package leases

import (
	"context"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	Role() // a process that the rig started never comes back from here
	flag.Parse()
	os.Exit(m.Run())
}

// rig starts a small play: three coordinators, holders in two groups, and a resource, all processes of their own.
func rig(t *testing.T, o Options) (*Rig, context.Context) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	o.Program, o.Dir = []string{self}, t.TempDir()
	o.Life, o.Hold, o.Groups, o.Leases = 1500*time.Millisecond, 150*time.Millisecond, 2, 2
	ctx, done := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(done)
	r, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		if t.Failed() {
			t.Log(strings.Join(r.Log, "\n"))
			for _, p := range slices.Concat(r.nodes, r.holders) {
				text, _ := os.ReadFile(p.log)
				t.Logf("%s, running %t:\n%s", p.Name, p.Running(), text)
			}
		}
	})
	if err := r.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if err := r.settled(ctx, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	return r, ctx
}

// Every fault in turn, each seen to strike, and never do two holders act at once.
func TestNoTwoHoldersActThroughEveryFault(t *testing.T) {
	r, ctx := rig(t, Options{Coordinators: 3, Contenders: 6, Seed: 1})
	for _, f := range Faults {
		if err := r.Throw(ctx, f); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.settled(ctx, 30*time.Second); err != nil {
		t.Fatal(err)
	}
	v, err := r.Judge()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d acts, %d grants, %d refused by token; history: %s; met: %v", v.Acts, v.Grants, v.Refused, v.History, r.Met)
	for _, b := range v.Broken {
		t.Error(b)
	}
	for _, f := range Faults {
		if r.Met[f.Name] == 0 {
			t.Errorf("%s: it was not seen to strike", f.Name)
		}
	}
	if v.Refused == 0 {
		t.Error("no act was turned away by its token, though a holder was stopped between its look and its act")
	}
	if v.Grants < 20 {
		t.Errorf("only %d grants: the play proves nothing", v.Grants)
	}
}
