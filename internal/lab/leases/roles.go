// Package leases plays the coordinators, their holders and a guarded resource as real processes, throws faults
// between them, and judges by the resource's own record. Each role runs in a process of its own: a program that can
// be started again calls Role first.
package leases

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"junctionring/fence"
	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
)

// roleEnv names the environment variable that says which role a process plays.
const roleEnv = "JUNCTIONRING_LAB_ROLE"

// role is what a process is told.
type role struct {
	Kind   string // coordinator, contender, resource
	Via    map[string]string
	Rate   float64 // of its clock, against this machine's
	Config string  // coordinator: its file
	Join   bool

	Name         string // contender
	Coordinators []string
	Leases       []string
	Life, Hold   time.Duration
	Resource     string
	Seed         uint64
	Log          string // contender: its history; resource: its record
	Listen       string
	Sessions     int // crowd
}

// Role plays the role that this process was started for; false: it was started for none.
func Role() bool {
	text := os.Getenv(roleEnv)
	if text == "" {
		return false
	}
	var r role
	err := json.Unmarshal([]byte(text), &r)
	if err == nil {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		// Nobody plays on without the rig, whose end closes this pipe.
		ctx, end := context.WithCancel(ctx)
		go func() {
			os.Stdin.Read(make([]byte, 1))
			end()
			time.Sleep(5 * time.Second)
			os.Exit(3)
		}()
		log := slog.New(slog.NewTextHandler(os.Stderr, nil))
		switch r.Kind {
		case "coordinator":
			err = r.coordinate(ctx, log)
		case "contender":
			err = r.contend(ctx, log)
		case "resource":
			err = r.guard(ctx)
		case "crowd":
			err = r.crowd(ctx, log)
		default:
			err = fmt.Errorf("there is no role %q", r.Kind)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
	return true
}

// now is this machine's monotonic clock, alike in all processes: the judge's.
func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// clock is a clock of the role's own rate, from a zero of its own.
func (r *role) clock() func() time.Duration {
	begun := now()
	return func() time.Duration { return time.Duration(float64(now()-begun) * r.Rate) }
}

func (r *role) coordinate(ctx context.Context, log *slog.Logger) error {
	c, err := coordinator.LoadConfig(r.Config)
	if err != nil {
		return err
	}
	made, err := coordinator.HasIdentity(c.Data)
	switch {
	case err != nil:
		return err
	case !made && r.Join:
		_, err = coordinator.Join(ctx, c, r.Via)
	case !made:
		_, err = coordinator.Init(ctx, c)
	}
	if err != nil {
		return err
	}
	full := filepath.Join(filepath.Dir(r.Config), "full-"+c.Name)
	return coordinator.Serve(ctx, coordinator.Options{Config: c, Clock: r.clock(), Via: r.Via, Log: log, CheckSpace: func() error {
		if _, err := os.Stat(full); err == nil {
			return syscall.ENOSPC
		}
		return nil
	}}, func(string) { fmt.Println("ready") })
}

// Event is one line of a contender's history, or of the resource's record. Times are the judge's clock.
type Event struct {
	What  string // ask, got, stop (it acts no more), freed (and the coordinators know), act
	Who   string
	Lease string
	Token uint64
	At    time.Duration
	OK    bool          `json:",omitempty"` // act: let in
	Seen  uint64        `json:",omitempty"` // act refused: the token that overtook it
	Why   string        `json:",omitempty"` // stop: the cause
	Took  time.Duration `json:",omitempty"` // renewed
}

// journal appends events to a file, whole lines each.
type journal struct {
	mu sync.Mutex
	f  *os.File
}

func openJournal(path string) (*journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &journal{f: f}, err
}

func (j *journal) write(e Event) {
	text, _ := json.Marshal(e)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.f.Write(append(text, '\n'))
}

// contend asks for one lease after the other, acts on the resource while it holds one, and gives it back.
func (r *role) contend(ctx context.Context, log *slog.Logger) error {
	j, err := openJournal(r.Log)
	if err != nil {
		return err
	}
	c, err := leaseholder.Start(context.Background(), leaseholder.Options{Coordinators: r.Coordinators, Via: r.Via, Life: r.Life,
		Drift: drift, Margin: r.Life / 10, Clock: r.clock(), Log: log, Member: lease.Member{Kind: "contender", Name: r.Name}})
	if err != nil {
		return err
	}
	defer func() {
		last, done := context.WithTimeout(context.Background(), 2*time.Second)
		defer done()
		c.Close(last)
	}()
	conn, err := net.Dial("tcp", r.Resource)
	if err != nil {
		return err
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	rng := rand.New(rand.NewPCG(r.Seed, 7))
	stuck := make(chan os.Signal, 1) // the rig has this process stopped between a look and its act
	signal.Notify(stuck, syscall.SIGUSR1)
	fmt.Println("ready")
	for ctx.Err() == nil {
		name := r.Leases[rng.IntN(len(r.Leases))]
		j.write(Event{What: "ask", Who: r.Name, Lease: name, At: now()})
		l, err := c.Acquire(ctx, name)
		if err != nil {
			if ctx.Err() == nil { // otherwise it was told to end while it waited
				log.Error("contender ends: it cannot ask for a lease", "lease", name, "err", err)
			}
			return nil
		}
		token, _, ok := l.Token()
		if ok {
			j.write(Event{What: "got", Who: r.Name, Lease: name, Token: token, At: now()})
		}
		until := now() + r.Hold/2 + rand.N(r.Hold)
		for now() < until && ctx.Err() == nil {
			t, _, may := l.Token()
			if !may {
				break
			}
			if !ok { // it was told late that it holds
				token, ok = t, true
				j.write(Event{What: "got", Who: r.Name, Lease: name, Token: token, At: now()})
			}
			select {
			case <-stuck:
				syscall.Kill(os.Getpid(), syscall.SIGSTOP)
				time.Sleep(20 * time.Millisecond) // the stop reaches this thread a little after the call
			default:
			}
			if _, err := fmt.Fprintf(conn, "%s %d %s\n", name, t, r.Name); err != nil {
				return err
			}
			if _, err := in.ReadString('\n'); err != nil {
				return err
			}
			select {
			case <-l.Lost():
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
		}
		why := ""
		select {
		case <-l.Lost():
			why = string(l.Cause())
		default:
		}
		stopped := now()
		if ok {
			j.write(Event{What: "stop", Who: r.Name, Lease: name, Token: token, At: stopped, Why: why})
		}
		free, done := context.WithTimeout(context.Background(), 2*r.Life)
		if err := l.Release(free); err == nil && ok && why == "" {
			j.write(Event{What: "freed", Who: r.Name, Lease: name, Token: token, At: now()})
		}
		done()
		select {
		case <-ctx.Done():
		case <-time.After(rand.N(r.Hold)):
		}
	}
	return nil
}

// guard is the resource that holders act upon. It lets an act in or turns it away by its token, and keeps a record
// of both; whoever acts, it believes nothing but the token.
func (r *role) guard(ctx context.Context) error {
	j, err := openJournal(r.Log)
	if err != nil {
		return err
	}
	gate, err := fence.Open("")
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", r.Listen)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { l.Close() })
	fmt.Println("ready")
	for {
		conn, err := l.Accept()
		if err != nil {
			return nil
		}
		go func() {
			defer conn.Close()
			in := bufio.NewScanner(conn)
			for in.Scan() {
				e := Event{What: "act"}
				if _, err := fmt.Sscanf(in.Text(), "%s %d %s", &e.Lease, &e.Token, &e.Who); err != nil {
					return
				}
				var stale *fence.StaleTokenError
				switch err := gate.Admit(e.Lease, e.Token); {
				case err == nil:
					e.OK = true
				case errors.As(err, &stale):
					e.Seen = stale.Seen
				}
				e.At = now()
				j.write(e)
				if _, err := fmt.Fprintln(conn, e.OK); err != nil {
					return
				}
			}
		}()
	}
}
