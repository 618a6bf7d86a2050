package leases

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/lab/proc"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
)

// Figure is one measured thing beside its target.
type Figure struct{ Name, Value, Target string }

// crowd keeps many sessions in one process, and writes down how long each renewal took and when each session began.
func (r *role) crowd(ctx context.Context, log *slog.Logger) error {
	j, err := openJournal(r.Log)
	if err != nil {
		return err
	}
	for i := range r.Sessions {
		name := fmt.Sprintf("%s-%d", r.Name, i)
		_, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: r.Coordinators, Via: r.Via, Life: r.Life, Drift: drift, Log: slog.New(&refusals{log.Handler(), name, j}),
			Member: lease.Member{Kind: "crowd", Name: name}, Renewed: func(took time.Duration) {
				j.write(Event{What: "renewed", Who: name, At: now(), Took: took})
			}})
		if err != nil {
			return err
		}
	}
	fmt.Println("ready")
	<-ctx.Done()
	return nil
}

// refusals is a log that books each time a coordinator said that it is busy.
type refusals struct {
	slog.Handler
	who string
	j   *journal
}

func (h *refusals) Handle(ctx context.Context, r slog.Record) error {
	if strings.Contains(r.Message, "busy") {
		h.j.write(Event{What: "busy", Who: h.who, At: now()})
	}
	return nil
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(all))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

// usage is the processor time and resident memory of a process.
func (p *process) usage() (cpu time.Duration, resident int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
	if _, rest, ok := strings.Cut(string(text), ") "); ok {
		f := strings.Fields(rest)
		user, _ := strconv.Atoi(f[11])
		system, _ := strconv.Atoi(f[12])
		pages, _ := strconv.Atoi(f[21])
		return time.Duration(user+system) * 10 * time.Millisecond, pages * os.Getpagesize()
	}
	return 0, 0
}

func (r *Rig) bytes(part string) (n int) {
	for _, name := range r.matching(part) {
		n += r.links[name].Bytes()
	}
	return n
}

// Crowd starts sessions in ten processes beside the contenders.
func (r *Rig) Crowd(ctx context.Context, sessions int, life time.Duration) error {
	const processes = 10
	for i := range processes {
		p := &process{Process: proc.Process{Name: fmt.Sprintf("crowd%d", i+1)}, role: role{Kind: "crowd", Name: fmt.Sprintf("crowd%d", i+1), Coordinators: r.listens,
			Via: r.holders[0].role.Via, Life: life, Sessions: sessions / processes, Rate: 1, Log: filepath.Join(r.o.Dir, fmt.Sprintf("crowd%d.jsonl", i+1))}}
		r.holders = append(r.holders, p)
		if err := r.start(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

func (r *Rig) crowdEvents() (all []Event) {
	for _, p := range r.holders {
		if p.role.Kind == "crowd" {
			events, _ := readEvents(p.role.Log)
			all = append(all, events...)
		}
	}
	return all
}

func (r *Rig) sessions(ctx context.Context) int {
	if i := r.leader(ctx); i >= 0 {
		if s, err := r.status(ctx, i); err == nil {
			return int(s.Sessions)
		}
	}
	return -1
}

// Renewals measures sessions that renew in peace, then all of them coming back after a time without coordinators.
func (r *Rig) Renewals(ctx context.Context, sessions int, peace, without time.Duration) (out []Figure, err error) {
	life := r.o.Life
	if err := r.Crowd(ctx, sessions, life); err != nil {
		return nil, err
	}
	if !r.eventually(ctx, 30*time.Second, func() bool { return r.sessions(ctx) >= sessions }) {
		return nil, fmt.Errorf("%d of %d sessions after 30 s", r.sessions(ctx), sessions)
	}
	i := r.led(ctx)
	from, begun := now(), time.Now()
	cpu0, _ := r.nodes[i].usage()
	bytes0 := r.bytes("g")
	proc.Wait(ctx, peace)
	cpu1, resident := r.nodes[i].usage()
	bytes1, spent := r.bytes("g"), time.Since(begun).Seconds()
	var took []time.Duration
	for _, e := range r.crowdEvents() {
		if e.What == "renewed" && e.At > from {
			took = append(took, e.Took)
		}
	}
	out = append(out,
		Figure{fmt.Sprintf("%d sessions, %d renewals in %.0f s: p50, p99, longest", sessions, len(took), spent),
			fmt.Sprintf("%.1f, %.1f, %.1f ms", quantile(took, .5).Seconds()*1e3, quantile(took, .99).Seconds()*1e3, quantile(took, 1).Seconds()*1e3), "p99 under 50 ms"},
		Figure{"the leader's processor time a session", fmt.Sprintf("%.0f us a second (%.1f %% of a core in all)", (cpu1-cpu0).Seconds()*1e6/spent/float64(sessions), 100*(cpu1-cpu0).Seconds()/spent), "reported"},
		Figure{"bytes a session, both ways", fmt.Sprintf("%.0f a second", float64(bytes1-bytes0)/spent/float64(sessions)), "reported"},
		Figure{"the leader's resident memory", fmt.Sprintf("%.1f MB", float64(resident)/(1<<20)), "reported"})
	for _, p := range r.nodes {
		r.kill(p)
	}
	proc.Wait(ctx, without)
	for _, p := range r.nodes {
		if err := r.start(ctx, p); err != nil {
			return nil, err
		}
	}
	back := now()
	led := r.led(ctx)
	before, err := r.status(ctx, led)
	if err != nil {
		return nil, err
	}
	all := map[string]bool{}
	r.eventually(ctx, 30*time.Second, func() bool {
		for _, e := range r.crowdEvents() {
			if e.What == "renewed" && e.At > back {
				all[e.Who] = true
			}
		}
		return len(all) >= sessions
	})
	var last time.Duration
	first, busy := map[string]time.Duration{}, 0
	for _, e := range r.crowdEvents() {
		if e.At < back {
			continue
		}
		if e.What == "busy" {
			busy++
		} else if first[e.Who] == 0 {
			first[e.Who] = e.At - back
			last = max(last, e.At-back)
		}
	}
	after, err := r.status(ctx, led)
	if err != nil {
		return nil, err
	}
	out = append(out, Figure{fmt.Sprintf("all back after %.0f s without coordinators: sessions that renew, the last one", without.Seconds()),
		fmt.Sprintf("%d of %d, %.1f s", len(first), sessions, last.Seconds()), "all within 10 s (the first renewal comes a fifth of a life after the session)"},
		Figure{"told to come back later, meanwhile", fmt.Sprint(busy), "0"},
		Figure{"changes of leader, meanwhile", fmt.Sprint(after.Term - before.Term), "0"})
	return out, nil
}

// Takeovers kills the leader time and again, with the holder of one lease and not the one of another, and measures
// how long the first stands free and whether the second is kept.
func (r *Rig) Takeovers(ctx context.Context, times int) (out []Figure, err error) {
	start := func(name string) (*leaseholder.Client, context.CancelFunc, error) {
		ctx, end := context.WithCancel(ctx)
		c, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: r.listens, Life: r.o.Life, Drift: drift, Member: lease.Member{Kind: "lab", Name: name}})
		return c, end, err
	}
	living, end, err := start("living")
	if err != nil {
		return nil, err
	}
	defer end()
	kept, err := living.Acquire(ctx, "kept")
	if err != nil {
		return nil, err
	}
	var freed, fresh []time.Duration
	lost := 0
	for i := range times {
		if err := r.settled(ctx, 20*time.Second); err != nil {
			return nil, err
		}
		dying, die, err := start("dying")
		if err != nil {
			return nil, err
		}
		if _, err := dying.Acquire(ctx, "freed"); err != nil {
			die()
			return nil, err
		}
		next, endNext, err := start("next")
		if err != nil {
			die()
			return nil, err
		}
		got := make(chan error, 2)
		var tookFreed, tookFresh time.Duration
		begun := time.Now()
		go func() {
			l, err := next.Acquire(ctx, "freed")
			tookFreed = time.Since(begun)
			if err == nil {
				err = l.Release(ctx)
			}
			got <- err
		}()
		r.eventually(ctx, 10*time.Second, func() bool { // it waits in the queue
			a, err := leaseholder.Ask(ctx, leaseholder.NewGroup(r.listens...), func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.ListAnswer, error) {
				return to.List(ctx, &leasepb.ListAsk{}, leaseholder.Trailer(ctx))
			})
			return err == nil && slices.ContainsFunc(a.Leases, func(l *leasepb.Lease) bool { return l.Name == "freed" && len(l.Waiters) > 0 })
		})
		leader := r.led(ctx)
		die() // without a word: its context ends its stream and its renewals
		begun = time.Now()
		r.kill(r.nodes[leader])
		go func() {
			l, err := living.Acquire(ctx, fmt.Sprintf("new-%d", i))
			tookFresh = time.Since(begun)
			if err == nil {
				err = l.Release(ctx)
			}
			got <- err
		}()
		for range 2 {
			if err := <-got; err != nil {
				endNext()
				return nil, err
			}
		}
		freed, fresh = append(freed, tookFreed), append(fresh, tookFresh)
		if _, _, ok := kept.Token(); !ok {
			lost++
			if kept, err = living.Acquire(ctx, "kept"); err != nil {
				return nil, err
			}
		}
		endNext()
		if err := r.start(ctx, r.nodes[leader]); err != nil {
			return nil, err
		}
	}
	life := r.o.Life
	return []Figure{
		{fmt.Sprintf("leader killed %d times: leases of the living lost", times), fmt.Sprint(lost), "0"},
		{"a dead holder's lease given on: p50, p99", fmt.Sprintf("%.2f, %.2f s", quantile(freed, .5).Seconds(), quantile(freed, .99).Seconds()), fmt.Sprintf("life + 1.5 s = %.1f s, p99", (life + 1500*time.Millisecond).Seconds())},
		{"a lease that nobody held, asked for at the kill: p50, p99", fmt.Sprintf("%.2f, %.2f s", quantile(fresh, .5).Seconds(), quantile(fresh, .99).Seconds()), "reported"},
	}, nil
}

// LongLog writes entries and measures a coordinator's restart.
func (r *Rig) LongLog(ctx context.Context, entries int) (out []Figure, err error) {
	const streams, window = 16, 48 // together less than a coordinator's mailbox holds
	leader := r.led(ctx)
	begun := time.Now()
	var done atomic.Int64
	var all sync.WaitGroup
	faults := make(chan error, streams)
	for s := range streams {
		all.Go(func() {
			faults <- r.write(ctx, leader, fmt.Sprintf("writer-%d-%d", s, now()), entries/streams, window, &done)
		})
	}
	all.Wait()
	for range streams {
		if err := <-faults; err != nil {
			return nil, fmt.Errorf("after %d entries: %w", done.Load(), err)
		}
	}
	wrote := time.Since(begun)
	before, err := r.status(ctx, leader)
	if err != nil {
		return nil, err
	}
	_, resident := r.nodes[leader].usage()
	r.kill(r.nodes[leader])
	size := 0
	filepath.Walk(r.data(leader), func(_ string, info os.FileInfo, err error) error {
		if err == nil && !info.IsDir() {
			size += int(info.Size())
		}
		return nil
	})
	begun = time.Now()
	if err := r.start(ctx, r.nodes[leader]); err != nil {
		return nil, err
	}
	if !r.eventually(ctx, 30*time.Second, func() bool {
		s, err := r.status(ctx, leader)
		return err == nil && s.Applied >= before.Applied && s.Leader != 0
	}) {
		return nil, fmt.Errorf("not back after 30 s")
	}
	took := time.Since(begun)
	_, fresh := r.nodes[leader].usage()
	return []Figure{
		{"entries written", fmt.Sprintf("%d in %.0f s (%.0f a second)", before.Applied, wrote.Seconds(), float64(before.Applied)/wrote.Seconds()), "1,000,000"},
		{"one coordinator killed and started: serving, all of that applied", fmt.Sprintf("%.2f s", took.Seconds()), "within 2 s"},
		{"its disk", fmt.Sprintf("%.1f MB", float64(size)/(1<<20)), "stated"},
		{"its memory before the kill, and after the start", fmt.Sprintf("%.1f, %.1f MB", float64(resident)/(1<<20), float64(fresh)/(1<<20)), "stated"},
	}, nil
}

// write has one session report until its entries are in the log.
func (r *Rig) write(ctx context.Context, leader int, session string, entries, window int, done *atomic.Int64) error {
	conn, err := leasepb.Dial(r.listens[leader])
	if err != nil {
		return err
	}
	defer conn.Close()
	s, err := leasepb.NewLeasesClient(conn).Session(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	if err := s.Send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Open{Open: &leasepb.Open{Session: session, LifeMs: r.o.Life.Milliseconds(), Renew: 1}}}); err != nil {
		return err
	}
	if m, err := s.Recv(); err != nil || m.GetRenewed() == nil { // nothing is asked before the session is open
		return fmt.Errorf("the session was not opened: %v, %w", m, err)
	}
	sent, answered, renewed := 0, 0, time.Now()
	for answered < entries {
		for sent < entries && sent-answered < window && (sent > 0 || answered == 0) {
			sent++
			state := strconv.Itoa(sent)
			if err := s.Send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Ask{Ask: &leasepb.Ask{Seq: uint64(sent), Op: uint32(lease.Report), Member: &leasepb.Member{Kind: "writer", Name: session, State: state}}}}); err != nil {
				return err
			}
		}
		if time.Since(renewed) > r.o.Life/5 {
			renewed = time.Now()
			if err := s.Send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Renew{Renew: 2}}); err != nil {
				return err
			}
		}
		m, err := s.Recv()
		if err == io.EOF {
			return fmt.Errorf("the stream ended")
		}
		if err != nil {
			return err
		}
		switch is := m.Is.(type) {
		case *leasepb.ToHolder_Answered:
			answered++
			done.Add(1)
		case *leasepb.ToHolder_Gone, *leasepb.ToHolder_NotLeading, *leasepb.ToHolder_Busy:
			return fmt.Errorf("turned away: %v", is)
		}
	}
	return s.Send(&leasepb.FromHolder{Is: &leasepb.FromHolder_Close{Close: true}})
}
