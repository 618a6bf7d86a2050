// Package soak runs real gateway processes between stand-ins under faults drawn from a seed, and judges them from outside:
// by what clients sent and got, and what servers saw, request by request. It measures no performance.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Effect is what repeating a request of a class does, in the settings' words.
type Effect string

// The effects that settings know.
const (
	Safe   Effect = "read_like"
	Keyed  Effect = "idempotency_key"
	Unsafe Effect = "non_idempotent"
)

// Class is one class of requests of a run.
type Class struct {
	Name     string
	Effect   Effect
	Deadline time.Duration
	Window   time.Duration // of Keyed: how long servers drop repeats
}

// FaultKind names a kind of fault.
type FaultKind string

// The faults. Those of gateways name one by its number, those of servers a server.
const (
	Restart        FaultKind = "restart"          // SIGTERM, and a new process once the old one has ended
	RestartTwice   FaultKind = "restart-twice"    // SIGTERM twice
	RestartHangups FaultKind = "restart-hangups"  // SIGHUP, SIGHUP, SIGTERM
	Hangups        FaultKind = "hangups"          // SIGHUP three times
	Stalls         FaultKind = "stalls"           // SIGSTOP and SIGCONT, each at most mostStall apart
	DiscoveryDown  FaultKind = "discovery-down"   // calls are refused, and open watches end
	DiscoveryQuiet FaultKind = "discovery-silent" // calls and open watches say nothing
	ServerHangs    FaultKind = "server-hangs"     // takes requests, runs them, answers none
	ServerResets   FaultKind = "server-resets"    // runs requests, and resets their connections
	ServerFull     FaultKind = "server-full"      // turns requests away unseen
	ServerForgets  FaultKind = "server-forgets"   // closes its connections at rest, again and again
	ServerDrains   FaultKind = "server-drains"    // is told to drain, for good
	ServerTwice    FaultKind = "server-twice"     // answers each request twice, the second time late, and ends the connection
	CounterResets  FaultKind = "counter-resets"   // resets its connections, again and again
	Crowd          FaultKind = "crowd"            // idle and half-headed connections to all gateways
	Rush           FaultKind = "rush"             // clients that send small or unsound requests at full speed
)

// Fault is one fault of a run.
type Fault struct {
	At, For time.Duration // from the run's start
	Kind    FaultKind
	Target  int // number of the gateway or server; nothing for Crowd and CounterResets
}

func (f Fault) String() string {
	return fmt.Sprintf("%s at %d for %d ms on %d", f.Kind, f.At.Milliseconds(), f.For.Milliseconds(), f.Target)
}

// Plan is a whole run, drawn from its seed.
type Plan struct {
	Seed              uint64
	Length            time.Duration // for which clients send
	Gateways, Servers int
	Clients           int // for each gateway
	Classes           []Class
	Attempts          int
	Cancelling        bool
	Grace             time.Duration // after a drain was told
	ConnIdle          time.Duration // servers close connections idle for so long
	Work              time.Duration // of a request, on average
	Faults            []Fault
}

const (
	mostStall  = 150 * time.Millisecond // that a gateway may be held up
	quietStart = 500 * time.Millisecond // with no fault
)

// Draw makes the plan of a seed.
func Draw(seed uint64, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0x50a1c))
	milliseconds := func(least, most int) time.Duration {
		return time.Duration(least+r.IntN(most-least+1)) * time.Millisecond
	}
	p := Plan{
		Seed: seed, Length: length, Gateways: 3, Servers: 5, Clients: 4 + r.IntN(5),
		Attempts: 2 + r.IntN(3), Cancelling: r.IntN(3) > 0,
		Grace: milliseconds(300, 1000), ConnIdle: milliseconds(2000, 10000), Work: milliseconds(5, 60),
		Classes: []Class{
			{Name: "view", Effect: Safe, Deadline: milliseconds(500, 1500)},
			{Name: "move", Effect: Keyed, Deadline: milliseconds(700, 2000), Window: milliseconds(700, 3000)},
			{Name: "stake", Effect: Unsafe, Deadline: milliseconds(700, 2000)},
		},
	}
	p.Faults = drawFaults(r, p)
	return p
}

// drawFaults draws about one fault a second, so that several are often in force together. A restart comes with a server that
// hangs through the whole of it half of the time.
func drawFaults(r *rand.Rand, p Plan) (all []Fault) {
	kinds := []FaultKind{Restart, RestartTwice, RestartHangups, Hangups, Stalls, DiscoveryDown, DiscoveryQuiet,
		ServerHangs, ServerResets, ServerFull, ServerForgets, ServerDrains, CounterResets, Crowd}
	drained := 0
	for range int(p.Length/time.Second) + 1 {
		f := Fault{Kind: kinds[r.IntN(len(kinds))]}
		f.At = quietStart + time.Duration(r.Int64N(int64(p.Length-quietStart)))
		f.For = time.Duration(300+r.IntN(2200)) * time.Millisecond
		f.Target = r.IntN(p.Gateways)
		switch f.Kind {
		case ServerHangs, ServerResets, ServerFull, ServerForgets:
			f.Target = r.IntN(p.Servers)
		case ServerDrains:
			f.Target = p.Servers - 1 - drained
			if drained++; drained > p.Servers/2 { // the rest must serve
				continue
			}
		case Restart, RestartTwice, RestartHangups:
			if r.IntN(2) == 0 {
				all = append(all, Fault{f.At, longestShutdown, ServerHangs, r.IntN(p.Servers)})
			}
		}
		all = append(all, f)
	}
	return all
}

const longestShutdown = 4 * time.Second

// HeldUp is the plan with all gateways held up again and again, beside its other faults.
func (p Plan) HeldUp() Plan {
	const each = 700 * time.Millisecond // a fault holds a gateway up three times
	faults := slices.Clone(p.Faults)
	for at := quietStart; at < p.Length; at += each {
		for n := range p.Gateways {
			faults = append(faults, Fault{At: at, Kind: Stalls, Target: n})
		}
	}
	p.Faults = faults
	return p
}

// AnsweredTwice is the plan with all servers answering twice for a part of each second, beside its other faults.
func (p Plan) AnsweredTwice() Plan {
	faults := slices.Clone(p.Faults)
	for at := quietStart; at < p.Length; at += time.Second {
		for n := range p.Servers {
			faults = append(faults, Fault{At: at, For: 300 * time.Millisecond, Kind: ServerTwice, Target: n})
		}
	}
	p.Faults = faults
	return p
}

// Longest is the longest deadline of the plan.
func (p Plan) Longest() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}
