// Package control makes every decision of a quota-keeping gateway: whom to
// let in, which server to send to, when to try again and what to tell the
// shared counter. It does no I/O, starts no goroutine and reads no clock, so
// the same events always give the same actions.
//
// This file is its interface: settings, events and actions. The decisions
// are in control.go.
package control

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Seconds is a time or a duration. Times are read on a clock that all
// gateways share and whose start means nothing.
type Seconds = float64

// Settings is what a gateway is told once, at its start.
type Settings struct {
	Ordinal      int // this gateway's number
	Gateways     int // how many gateways there are
	Zone         int // the zone this gateway stands in
	Site         int // the site this gateway stands at
	Sites        int // sites among which requests may cross; 0: all servers are one site
	SiteGateways int // gateways at this gateway's site; 0: all
	Classes      []Class
	Plans        []Plan
	Limits       Limits
	Guarantees   Guarantees
	Counter      CounterInfo
	Prices       Prices

	Subscribe  bool     // the server list comes only to those who ask
	LoadFields []string // meaning of each value of a load report
	LoadFrom   LoadVia  // where load reports are attached
	Meter      Seconds  // period over which the fleet's meter totals use; 0: no meter
}

// LoadVia tells on which events servers report their load.
type LoadVia int

// The places where a load report may be attached.
const (
	LoadNone LoadVia = iota
	LoadInAnswers
	LoadInProbes
)

// Repeat tells whether a request may run more than once.
type Repeat int

// The kinds of request by what a repeat does.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // servers of one group drop repeats for a while
	Unsafe               // must not run twice
)

// Group names the servers that drop each other's repeats of a keyed request.
type Group int

// The groups a keyed class may have.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
	GroupSite
)

// Class is a class of requests.
type Class struct {
	Aim       Seconds // answers within this earn their full worth
	Deadline  Seconds // the client's patience over all its tries
	Worth     float64
	LateWorth float64 // share of the worth earned after Aim
	Repeat    Repeat
	Group     Group   // for Keyed
	Window    Seconds // for Keyed: how long repeats are dropped
	Stream    bool
}

// Plan is what a customer of this plan may use, over all gateways together.
type Plan struct {
	Key          uint64  // in the names of counts, the same at all gateways; 0: by the plan's place in the settings
	Rate         float64 // units a second; 0: no such quota
	Burst        float64 // units the store holds; it opens full
	Open         int     // attempts out at once; 0: no such quota
	Worth        float64 // multiplies the worth of a request
	OverWorth    float64 // share of its worth that a request beyond the quota earns
	OverCost     float64 // share of its worth that a request beyond the quota costs
	CeilingRate  float64 // units a second of the hard ceiling; 0: none
	CeilingBurst float64 // units the ceiling store holds; it opens full
	CeilingSlack float64 // units it may fall below nothing
}

// Limits is what a gateway may do.
type Limits struct {
	MaxAttempts   int
	SecondCopies  bool // two attempts of a request may be out at once
	Cancel        bool
	Probes        bool
	Peers         bool
	PeerIntake    float64 // messages a second that a gateway takes in
	RetryAfter    bool
	MaxRetryAfter Seconds
}

// Guarantees are the figures of the rules.
type Guarantees struct {
	ColdFrom     float64 // a server starts with at least this share of its capacity
	Ramp         Seconds // and has all of it after this
	FallMultiple float64 // a cold server sent more than this multiple of its capacity
	FallAfter    Seconds // for this long goes down
	AskEvery     Seconds // list older than this counts as told, without a subscription
}

// CounterInfo describes the shared quota counter.
type CounterInfo struct {
	Allowed bool
	Price   float64 // price of one call for each request
	Timeout Seconds
	Settles bool // true units arrive with the answer
}

// Prices are what some actions cost, per request or as a share.
type Prices struct {
	CrossZone float64
	Probe     float64
	Waste     float64
	LateFail  float64
	Peer      float64
}

// Status is how an attempt, a probe or a counter call ended.
type Status int

// The ways a thing may end. Full, ConnectFailed and NotSent prove that an
// attempt never ran (and that a counter call added nothing).
const (
	OK            Status = iota
	Error                // the server answered with an error; it may have run
	Full                 // turned away unseen
	Timeout              // no answer in time; may have run or yet run
	ConnectFailed        // no connection came about
	Reset                // the connection broke; may have run
	Cancelled            // given up by the gateway; may have run
	NotSent              // never sent
)

// Reach names the sites that a try may go to, in order. Both are the same where only one may be used; its
// zero value is the first site alone.
type Reach struct {
	First, Then int
	Room        bool // the first has room, by what sites tells: a full list of slots there sheds nothing
	Full        bool // the first has none, and nobody helps: a new request is refused
}

// Event is something a gateway is told.
type Event interface{ event() }

// Action is something a gateway wants done.
type Action interface{ action() }

// The events.
type (
	// Members carries the server list, or changes to it.
	Members struct {
		Kind    MembersKind
		Version int64
		Entries []Member
	}

	// Request is a client's request that has just come in.
	Request struct {
		heldRequest  *request // it waited for the counter
		ID           uint64
		Class        int
		Plan         int
		Customer     uint64
		TimeLeft     Seconds
		BodyIncoming bool // it is still coming in: its time runs from Arrived, and no server works on it before
		Units        float64
		Spread       int // number of gateways this customer's requests may come through
		First        int // number of the first of them
		Repeat       bool
		Reach        Reach
		VerdictOnly  bool // only the verdict is wanted: it is answered by Admit or Refuse, and nothing is sent
	}

	// BodyReceived tells that a request's last byte has come in, and gone on where it was sent.
	BodyReceived struct{ ID uint64 }

	// Started tells that a streamed answer has begun.
	Started struct {
		ID      uint64
		Server  string
		Attempt int
		Elapsed Seconds
	}

	// Outcome tells how an attempt ended; every Send gets one.
	Outcome struct {
		ID      uint64
		Server  string
		Attempt int
		Status  Status
		Closed  bool  // the client has its final answer
		Reach   Reach // of the attempt that may follow
		Elapsed Seconds
		Units   float64   // true units, where they are settled after the answer; 0: none
		Use     int       // 1 + percent of the rate the meter saw; 0: none
		Load    []float64 // by Settings.LoadFields; nil: none
	}

	// ClientGone tells that the client has left; nothing more is owed.
	ClientGone struct{ ID uint64 }

	// Timer is a timer that fell due.
	Timer struct{ Token uint64 }

	// Probed is the result of a probe.
	Probed struct {
		Server  string
		Status  Status
		Elapsed Seconds
		Load    []float64
	}

	// Reconfigured brings new classes and plans. Numbers that were in use stay, and mean what they meant; From names,
	// for each class, the one whose learned times it begins with: itself where it goes on, -1 for none.
	Reconfigured struct {
		Classes  []Class
		Plans    []Plan
		From     []int
		Attempts int // MaxAttempts from now on; 0: as it was
	}

	// ShuttingDown tells that this gateway is about to end: what it has not added to the counter yet is to be added soon.
	ShuttingDown struct{}

	// LinkRestored tells that the way to a site is there again: what failed meanwhile was not its servers' doing.
	LinkRestored struct{ Site int }

	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From int
		Data string
	}

	// Counted is the counter's answer to one Count.
	Counted struct {
		Name    uint64
		Status  Status
		Total   float64
		Elapsed Seconds
	}
)

// MembersKind tells how a list of servers is to be read.
type MembersKind int

// The kinds of list. Cached is a full list that may be out of date.
const (
	Delta MembersKind = iota
	Snapshot
	Cached
	Failed
)

// MemberState is what the list says of a server.
type MemberState int

// The states of a server on the list.
const (
	Ready MemberState = iota
	Draining
	Removed
)

// Member is one entry of the server list.
type Member struct {
	Server string
	Weight float64
	Site   int // number of the site; 0 where there are none
	Zone   int
	Cell   int
	Kind   int
	Since  Seconds // time of its last start; 0: long past
	State  MemberState
}

// The actions.
type (
	// Send starts an attempt. Timeout 0 waits until the client gives up.
	Send struct {
		ID      uint64
		Server  string
		Timeout Seconds
	}

	// Cancel ends the wait on one attempt.
	Cancel struct {
		ID      uint64
		Attempt int
	}

	// Refuse is a final answer: the request had no effect, or a repeat is harmless.
	Refuse struct {
		ID         uint64
		RetryAfter Seconds // 0: no hint
		Over       bool    // for want of quota, not of servers
	}

	// Admit is the final answer to one that only asks.
	Admit struct{ ID uint64 }

	// Fail is a final answer that promises nothing.
	Fail struct{ ID uint64 }

	// SetTimer asks for a Timer event.
	SetTimer struct {
		Delay Seconds
		Token uint64
	}

	// Probe asks a server how it is.
	Probe struct{ Server string }

	// CloseIdle closes idle connections to a server.
	CloseIdle struct{ Server string }

	// MessagePeer sends a message to one gateway, or to all if Peer is below 0.
	MessagePeer struct {
		Peer int
		Data string
	}

	// Count adds Amount to a named number and asks for the total.
	Count struct {
		Name   uint64
		Amount float64
		TTL    Seconds
	}

	// Watch subscribes to the server list, or ends the subscription.
	Watch struct{ On bool }

	// Fetch asks for the whole server list once.
	Fetch struct{}

	// Log leaves a line for the operators.
	Log struct{ Text string }
)

func (Members) event()      {}
func (Request) event()      {}
func (Started) event()      {}
func (BodyReceived) event() {}
func (Outcome) event()      {}
func (ClientGone) event()   {}
func (Timer) event()        {}
func (Probed) event()       {}
func (LinkRestored) event() {}
func (ShuttingDown) event() {}

func (Reconfigured) event() {}
func (PeerMessage) event()  {}
func (Counted) event()      {}

func (Send) action()        {}
func (Cancel) action()      {}
func (Refuse) action()      {}
func (Admit) action()       {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (Probe) action()       {}
func (CloseIdle) action()   {}
func (MessagePeer) action() {}
func (Count) action()       {}
func (Watch) action()       {}
func (Fetch) action()       {}
func (Log) action()         {}

// validate refuses settings that cannot be right.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return errors.New("control: no classes or no plans")
	}
	if s.Gateways < 1 || s.Sites < 0 || s.Ordinal < 0 || s.Limits.MaxAttempts < 0 {
		return errors.New("control: gateway or site numbers or attempt limit out of range")
	}
	finite := func(values ...float64) bool {
		return !slices.ContainsFunc(values, func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) })
	}
	l, r, c := s.Limits, s.Guarantees, s.Counter
	if !finite(l.MaxRetryAfter, l.PeerIntake, r.ColdFrom, r.Ramp, r.FallMultiple, r.FallAfter, r.AskEvery,
		c.Price, c.Timeout, s.Meter) {
		return errors.New("control: a limit, guarantee or counter figure that is no finite number")
	}
	for i, c := range s.Classes {
		if !finite(c.Aim, c.Deadline, c.Worth, c.LateWorth, c.Window) {
			return fmt.Errorf("control: class %d: a figure that is no finite number", i)
		}
		if !(c.Aim > 0) || !(c.Deadline > 0) || c.Worth < 0 || c.Window < 0 {
			return fmt.Errorf("control: class %d: aim, deadline, worth or window out of range", i)
		}
	}
	for i, p := range s.Plans {
		if !finite(p.Rate, p.Burst, p.Worth, p.OverWorth, p.OverCost,
			p.CeilingRate, p.CeilingBurst, p.CeilingSlack) {
			return fmt.Errorf("control: plan %d: a figure that is no finite number", i)
		}
		if min(p.Rate, p.Burst, float64(p.Open), p.CeilingRate, p.CeilingBurst, p.CeilingSlack) < 0 {
			return fmt.Errorf("control: plan %d: a negative quota", i)
		}
	}
	return nil
}
