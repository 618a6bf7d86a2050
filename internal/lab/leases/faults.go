package leases

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"junctionring/internal/coordinator"
	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/lab/proc"
	"junctionring/internal/leaseholder"
	"junctionring/internal/standin"
)

// Fault is one thing that may go wrong. Run throws it, mends what it broke, and returns whether it was seen to strike.
type Fault struct {
	Name string
	Run  func(ctx context.Context, r *Rig) (struck bool, err error)
}

// Faults are all of them. Each leaves a majority of coordinators, or none at all for a short while.
var Faults = []Fault{
	{"leader killed", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.led(ctx)
		r.kill(r.nodes[i])
		struck := r.eventually(ctx, 5*time.Second, func() bool { l := r.leader(ctx); return l >= 0 && l != i })
		return struck, r.start(ctx, r.nodes[i])
	}},
	{"follower killed", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.follower(ctx)
		r.kill(r.nodes[i])
		proc.Wait(ctx, r.between(50*time.Millisecond, time.Second))
		return !r.nodes[i].Running(), r.start(ctx, r.nodes[i])
	}},
	{"all coordinators killed", func(ctx context.Context, r *Rig) (bool, error) {
		for _, p := range r.nodes {
			r.kill(p)
		}
		struck := r.leader(ctx) < 0
		proc.Wait(ctx, r.between(0, r.o.Life/2))
		for _, p := range r.nodes {
			if err := r.start(ctx, p); err != nil {
				return struck, err
			}
		}
		return struck, nil
	}},
	{"leader paused past the life", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.led(ctx)
		stood, err := r.freeze(ctx, r.nodes[i], r.o.Life+r.between(0, r.o.Life))
		return stood && r.eventually(ctx, 5*time.Second, func() bool { l := r.leader(ctx); return l >= 0 && l != i }), err
	}},
	{"holder paused past the life", func(ctx context.Context, r *Rig) (bool, error) {
		return r.freeze(ctx, r.holder(), r.o.Life*3/2+r.between(0, r.o.Life))
	}},
	{"holder paused between its look and its act", func(ctx context.Context, r *Rig) (bool, error) {
		p := r.holder()
		if record, _ := readEvents(r.judge.role.Log); len(record) > 0 { // one that acts just now
			if i := slices.IndexFunc(r.holders, func(p *process) bool { return p.Name == record[len(record)-1].Who }); i >= 0 {
				p = r.holders[i]
			}
		}
		if err := p.Cmd.Process.Signal(syscall.SIGUSR1); err != nil {
			return false, err
		}
		if !r.eventually(ctx, 20*time.Second, func() bool { return p.State() == "T" }) {
			go func() { // it stops in its next act, whenever that is, and must go on
				for p.Running() {
					if at := now(); p.State() == "T" && !p.Stopped {
						p.Cmd.Process.Signal(syscall.SIGCONT)
						r.gone(p, at, now())
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
			}()
			return false, nil
		}
		at := now()
		p.Stopped = true
		proc.Wait(ctx, r.o.Life*2+r.between(0, r.o.Life))
		p.Stopped = false
		err := p.Cmd.Process.Signal(syscall.SIGCONT)
		r.gone(p, at, now())
		return r.eventually(ctx, 5*time.Second, func() bool { // its late act, turned away, or let in since nobody came after it
			record, _ := readEvents(r.judge.role.Log)
			return slices.ContainsFunc(record, func(e Event) bool { return e.Who == p.Name && e.At >= at })
		}), err
	}},
	{"holder killed", func(ctx context.Context, r *Rig) (bool, error) {
		p := r.holder()
		r.kill(p)
		proc.Wait(ctx, r.between(0, r.o.Life))
		return !p.Running(), r.start(ctx, p)
	}},
	{"one way between two coordinators cut", func(ctx context.Context, r *Rig) (bool, error) {
		i, j := r.two()
		return r.cut(ctx, r.between(200*time.Millisecond, 2*r.o.Life), (*standin.Link).Cut, fmt.Sprintf("c%d>c%d", i+1, j+1))
	}},
	{"a coordinator cut off from the others", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.rng.IntN(len(r.nodes))
		return r.cut(ctx, r.between(r.o.Life/2, 2*r.o.Life), (*standin.Link).Cut, r.round(i)...)
	}},
	{"the leader cut off from the others, and not from holders", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.led(ctx)
		return r.cut(ctx, r.between(r.o.Life, 2*r.o.Life), (*standin.Link).Cut, r.round(i)...)
	}},
	{"a coordinator's links silent", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.rng.IntN(len(r.nodes))
		return r.cut(ctx, r.between(r.o.Life/2, 2*r.o.Life), (*standin.Link).Silence, r.round(i)...)
	}},
	{"all messages held up", func(ctx context.Context, r *Rig) (bool, error) {
		return r.cut(ctx, r.between(100*time.Millisecond, r.o.Life/2), (*standin.Link).Silence, r.matching(">")...)
	}},
	{"a group of holders cut off", func(ctx context.Context, r *Rig) (bool, error) {
		g := 1 + r.rng.IntN(max(1, r.o.Groups))
		return r.cut(ctx, r.between(r.o.Life/2, 2*r.o.Life), (*standin.Link).Cut, r.matching(fmt.Sprintf("g%d>", g))...)
	}},
	{"a group of holders cut off from the leader", func(ctx context.Context, r *Rig) (bool, error) {
		g, i := 1+r.rng.IntN(max(1, r.o.Groups)), r.led(ctx)
		return r.cut(ctx, r.between(r.o.Life/2, 2*r.o.Life), (*standin.Link).Silence, fmt.Sprintf("g%d>c%d", g, i+1))
	}},
	{"all connections reset", func(ctx context.Context, r *Rig) (bool, error) {
		return r.cut(ctx, 0, (*standin.Link).Reset, r.matching(">")...)
	}},
	{"a full disk", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.rng.IntN(len(r.nodes))
		mark := filepath.Join(r.o.Dir, "full-"+r.nodes[i].Name)
		if err := os.WriteFile(mark, nil, 0o644); err != nil {
			return false, err
		}
		struck := false
		select {
		case <-r.nodes[i].Ended:
			struck = true
		case <-time.After(10 * time.Second):
		}
		proc.Wait(ctx, r.between(0, time.Second))
		if err := os.Remove(mark); err != nil || !struck {
			return struck, err
		}
		return struck, r.start(ctx, r.nodes[i])
	}},
	{"a torn end of the log", func(ctx context.Context, r *Rig) (bool, error) {
		i := r.rng.IntN(len(r.nodes))
		r.kill(r.nodes[i])
		if err := tear(filepath.Join(r.data(i), "log")); err != nil {
			return false, err
		}
		from, _ := os.ReadFile(r.nodes[i].log)
		if err := r.start(ctx, r.nodes[i]); err != nil {
			return false, err
		}
		all, _ := os.ReadFile(r.nodes[i].log)
		return bytes.Contains(all[len(from):], []byte("torn end was cut")), nil
	}},
	{"all disks lost, and an old backup put back", func(ctx context.Context, r *Rig) (bool, error) {
		if err := r.settled(ctx, 20*time.Second); err != nil {
			return false, err
		}
		old, err := leaseholder.Backup(ctx, leaseholder.NewGroup(r.listens...))
		if err != nil {
			return false, err
		}
		_, _, before, err := coordinator.CheckBackup(old)
		if err != nil {
			return false, err
		}
		var newest uint64
		if !r.eventually(ctx, 20*time.Second, func() bool { // the backup is behind what holders were given
			s, err := r.status(ctx, r.led(ctx))
			if err == nil {
				newest = s.Token
			}
			return newest > before+3
		}) {
			return false, nil
		}
		for i, p := range r.nodes {
			r.kill(p)
			if err := os.RemoveAll(r.data(i)); err != nil {
				return false, err
			}
			p.role.Join = i > 0
		}
		c, err := coordinator.LoadConfig(r.config(0))
		if err != nil {
			return false, err
		}
		if _, err := coordinator.Restore(c, old, 0); err != nil {
			return false, err
		}
		if err := r.start(ctx, r.nodes[0]); err != nil {
			return false, err
		}
		for i, p := range r.nodes[1:] {
			if _, err := r.admin(ctx, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.Coordinator, error) {
				return to.AddCoordinator(ctx, &leasepb.Coordinator{Name: p.Name, Address: r.listens[i+1]}, o)
			}); err != nil {
				return false, err
			}
			if err := r.start(ctx, p); err != nil {
				return false, err
			}
		}
		if err := r.settled(ctx, 30*time.Second); err != nil {
			return false, err
		}
		s, err := r.status(ctx, r.led(ctx))
		return err == nil && s.Token > newest, err
	}},
	{"a lost disk", func(ctx context.Context, r *Rig) (bool, error) {
		if err := r.settled(ctx, 20*time.Second); err != nil {
			return false, err
		}
		i := r.rng.IntN(len(r.nodes))
		p := r.nodes[i]
		r.kill(p)
		if err := os.RemoveAll(r.data(i)); err != nil {
			return false, err
		}
		if err := r.start(ctx, p); err == nil { // as its old self it must not come back
			return false, fmt.Errorf("%s came back without its disk", p.Name)
		}
		<-p.Ended
		old, err := r.admin(ctx, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.Coordinator, error) {
			return to.RemoveCoordinator(ctx, &leasepb.Coordinator{Name: p.Name}, o)
		})
		if err != nil {
			return false, err
		}
		anew, err := r.admin(ctx, func(ctx context.Context, to leasepb.LeasesClient, o grpc.CallOption) (*leasepb.Coordinator, error) {
			return to.AddCoordinator(ctx, &leasepb.Coordinator{Name: p.Name, Address: r.listens[i]}, o)
		})
		if err != nil {
			return false, err
		}
		p.role.Join = true
		if err := r.start(ctx, p); err != nil {
			return false, err
		}
		return anew.Id != old.Id, r.settled(ctx, 20*time.Second)
	}},
}

func (r *Rig) admin(ctx context.Context, call func(context.Context, leasepb.LeasesClient, grpc.CallOption) (*leasepb.Coordinator, error)) (*leasepb.Coordinator, error) {
	ctx, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	return leaseholder.Ask(ctx, leaseholder.NewGroup(r.listens...), func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.Coordinator, error) {
		return call(ctx, to, leaseholder.Trailer(ctx))
	})
}

func (r *Rig) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rng.Int64N(int64(most-least)+1))
}

// led waits for a leader.
func (r *Rig) led(ctx context.Context) (i int) {
	r.eventually(ctx, 15*time.Second, func() bool { i = r.leader(ctx); return i >= 0 })
	return max(0, i)
}

func (r *Rig) holder() *process { return r.holders[r.rng.IntN(len(r.holders))] }

func (r *Rig) follower(ctx context.Context) int {
	l := r.leader(ctx)
	for {
		if i := r.rng.IntN(len(r.nodes)); i != l {
			return i
		}
	}
}

func (r *Rig) two() (int, int) {
	i := r.rng.IntN(len(r.nodes))
	return i, (i + 1 + r.rng.IntN(len(r.nodes)-1)) % len(r.nodes)
}

// round names the links between one coordinator and the others, both ways.
func (r *Rig) round(i int) (names []string) {
	for j := range r.nodes {
		if i != j {
			names = append(names, fmt.Sprintf("c%d>c%d", i+1, j+1), fmt.Sprintf("c%d>c%d", j+1, i+1))
		}
	}
	return names
}

func (r *Rig) matching(part string) (names []string) {
	for name := range r.links {
		if strings.HasPrefix(name, part) || part == ">" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// cut has a fault on links for a time, and tells whether it caught anything.
func (r *Rig) cut(ctx context.Context, d time.Duration, fault func(*standin.Link), names ...string) (struck bool, err error) {
	before := 0
	for _, n := range names {
		before += r.links[n].Met()
		fault(r.links[n])
	}
	proc.Wait(ctx, d)
	after := 0
	for _, n := range names {
		if failed := r.links[n].Heal(); failed != nil {
			err = failed
		}
		after += r.links[n].Met()
	}
	return after > before, err
}

func (r *Rig) eventually(ctx context.Context, within time.Duration, so func() bool) bool {
	by := time.Now().Add(within)
	for time.Now().Before(by) && ctx.Err() == nil {
		if so() {
			return true
		}
		proc.Wait(ctx, 20*time.Millisecond)
	}
	return false
}

// tear leaves at the end of a log what a write leaves that power was lost in: a record's length and a part of it.
func tear(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.wal"))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no log in %s: %w", dir, err)
	}
	slices.Sort(files)
	f, err := os.OpenFile(files[len(files)-1], os.O_RDWR, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	raw, err := io.ReadAll(f)
	if err != nil {
		return err
	}
	end := len(bytes.TrimRight(raw, "\x00"))
	end = (end + 7) / 8 * 8
	part := make([]byte, 8+40)
	part[0], part[1] = 0x00, 0x10 // a record of 4,096 bytes
	for i := 8; i < len(part); i++ {
		part[i] = byte(rand.IntN(255) + 1)
	}
	if _, err := f.WriteAt(part, int64(end)); err != nil {
		return err
	}
	return f.Sync()
}

// Random throws n faults in a random order, one or two at a time, and lets things go well in between.
func (r *Rig) Random(ctx context.Context, n int, progress func(done int, name string)) error {
	var order []Fault
	for len(order) < n {
		all := slices.Clone(Faults)
		r.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		order = append(order, all...)
	}
	for i, f := range order[:n] {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := r.Throw(ctx, f); err != nil {
			return err
		}
		proc.Wait(ctx, r.between(0, r.o.Life/2))
		if progress != nil {
			progress(i+1, f.Name)
		}
	}
	return nil
}

// Throw throws one fault.
func (r *Rig) Throw(ctx context.Context, f Fault) error {
	r.say("%s", f.Name)
	struck, err := f.Run(ctx, r)
	if err != nil {
		return fmt.Errorf("%s: %w", f.Name, err)
	}
	r.say("%s: over (struck: %v)", f.Name, struck)
	if struck {
		r.met(f.Name)
	}
	return nil
}
