// Package control decides on each request of a quota-keeping gateway: whether to admit it, which server to
// send an attempt to, when to retry, and what to add to the shared counter. It does not choose between
// sites (package sites does) or when a hedge is worth it (package hedge does); and it does no I/O, starts
// no goroutine and reads no clock, so the same settings, seed and events always give the same actions.
//
// This file is its interface: settings, events and actions. The decisions are in control.go.
package control

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
)

// Seconds is a time or a duration. Times are read on a clock that all gateways share, with an arbitrary
// start.
type Seconds = float64

// Settings are given to a gateway once, when it starts.
type Settings struct {
	Ordinal      int    // number of this gateway, from 0
	Gateways     int    // number of gateways
	Zone         string // zone of this gateway; empty: unknown, so that no server counts as near
	Site         int    // site of this gateway
	Sites        int    // number of sites between which requests may be sent; 0: all servers are one site
	SiteGateways int    // number of gateways at this gateway's site; 0: all
	Classes      []Class
	Plans        []Plan
	Limits       Limits
	Guarantees   Guarantees
	Counter      CounterInfo
	Prices       Prices

	Subscribe  bool     // the server list is sent to subscribers only
	LoadFields []string // meaning of each value of a load report
	LoadFrom   LoadVia  // where load reports are attached
	Meter      Seconds  // period over which the fleet's meter sums up use; 0: no meter
}

// LoadVia is the kind of event that carries the servers' load reports.
type LoadVia int

// The places where a load report may be attached.
const (
	LoadNone LoadVia = iota
	LoadInAnswers
	LoadInProbes
)

// Repeat says whether a request may run more than once.
type Repeat int

// The kinds of request by the effect of a repeat.
const (
	Safe   Repeat = iota // may run any number of times
	Keyed                // servers of one group drop repeats during Class.Window
	Unsafe               // must not run twice
)

// Group is the set of servers that drop each other's repeats of a keyed request.
type Group int

// The groups that a keyed class may have.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
	GroupSite
)

// Class is a class of requests.
type Class struct {
	Aim       Seconds // answers within this time earn their full worth
	Deadline  Seconds // time that the client waits in all, over all attempts
	Worth     float64
	LateWorth float64 // share of the worth that an answer after Aim earns
	Repeat    Repeat
	Group     Group   // for Keyed
	Window    Seconds // for Keyed: how long servers drop repeats
	Stream    bool
}

// Plan is the quota of each customer of this plan, over all gateways together.
type Plan struct {
	Key          uint64  // in the names of counts, the same at all gateways; 0: derived from the plan's index
	Rate         float64 // units a second; 0: no such quota
	Burst        float64 // units that the token bucket holds; it starts full
	Open         int     // attempts in flight at once; 0: no such quota
	Worth        float64 // multiplies the worth of a request
	OverWorth    float64 // share of its worth that a request beyond the quota earns
	OverCost     float64 // share of its worth that a request beyond the quota costs
	CeilingRate  float64 // units a second of the hard ceiling; 0: no ceiling
	CeilingBurst float64 // units that the ceiling's token bucket holds; it starts full
	CeilingSlack float64 // units by which the ceiling's bucket may fall below empty
}

// Limits are what a gateway may do.
type Limits struct {
	MaxAttempts   int
	SecondCopies  bool // two attempts of a request may be in flight at once (hedging)
	Cancel        bool
	Probes        bool
	Peers         bool
	PeerIntake    float64 // messages from peers that a gateway takes in, per second
	RetryAfter    bool
	MaxRetryAfter Seconds
}

// Guarantees are the figures of the rules that the fleet keeps to.
type Guarantees struct {
	ColdFrom     float64 // least share of its capacity that a server has when it starts
	Ramp         Seconds // time after its start from which a server has its full capacity
	FallMultiple float64 // a cold server goes down if it gets more than this multiple of its capacity
	FallAfter    Seconds // for this long
	AskEvery     Seconds // without a subscription, changes of the list older than this count as known
}

// CounterInfo describes the shared quota counter.
type CounterInfo struct {
	Allowed bool
	Price   float64 // price of one call, per request
	Timeout Seconds
	Settles bool // the true units of a request arrive with its answer
}

// Prices are the costs of some actions, per request or as a share.
type Prices struct {
	CrossZone float64
	Probe     float64
	Waste     float64
	LateFail  float64
	Peer      float64
}

// Status is how an attempt, a probe or a counter call ended.
type Status int

// The ways in which one may end. Full, ConnectFailed and NotSent prove that an attempt never ran, and that a
// counter call added nothing.
const (
	OK            Status = iota
	Error                // the server answered with an error; it may have run
	Full                 // rejected by the server without processing
	Timeout              // no answer in time; it may have run, or may run yet
	ConnectFailed        // no connection, or it broke before the whole request was written; it did not run
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by the gateway; it may have run
	NotSent              // never sent
)

var statusNames = [...]string{
	"ok", "error", "full", "timeout", "connect failed", "reset", "cancelled", "not sent",
}

// String returns the status's name for the log.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return "status " + strconv.Itoa(int(s))
	}
	return statusNames[s]
}

// Reach names the sites that an attempt may go to, in order. Both are the same if only one may be used. Its
// zero value is the first site alone.
type Reach struct {
	First, Then int
	Room        bool // package sites reports room at the first site: no request is shed there
	Full        bool // the first site has no room, and no other helps: new requests are refused, retries are not
}

// Event is an input of a gateway.
type Event interface{ event() }

// Action is an output of a gateway, for its caller to carry out.
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
		heldRequest *request // set once it was held for a counter call
		ID          uint64
		Class       int
		Plan        int
		Customer    uint64
		TimeLeft    Seconds
		// BodyIncoming says that the body is still being received. TimeLeft counts from BodyReceived, and no server
		// starts to work before.
		BodyIncoming bool
		Units        float64
		Spread       int // number of gateways that this customer's requests may come through
		First        int // number of the first of them
		Repeat       bool
		EarlierRun   *EarlierRun // an earlier request with its key may have run; nil: none has
		Reach        Reach
		VerdictOnly  bool // it is answered by Admit or Refuse, and nothing is sent
	}

	// BodyReceived says that the last byte of a request was received, and forwarded where it was sent.
	BodyReceived struct {
		ID       uint64
		TimeLeft Seconds // until the client's deadline; 0: as given with the request
	}

	// Started says that a streamed answer has begun.
	Started struct {
		ID      uint64
		Server  string
		Attempt int
		Elapsed Seconds
	}

	// Outcome says how an attempt ended. Every Send gets one.
	Outcome struct {
		ID      uint64
		Server  string
		Attempt int
		Status  Status
		Closed  bool  // the client has its final answer
		Reach   Reach // of the attempt that may follow
		Elapsed Seconds
		Units   float64   // true units, if they are settled after the answer; 0: none
		Use     int       // 1 plus the use that the fleet's meter measured, in percent of the rate; 0: no figure
		Load    []float64 // as described by Settings.LoadFields; nil: none
	}

	// ClientGone says that the client has left. The request needs no answer.
	ClientGone struct{ ID uint64 }

	// Timer says that a timer is due.
	Timer struct{ Token uint64 }

	// Probed is the result of a probe.
	Probed struct {
		Server  string
		Status  Status
		Elapsed Seconds
		Load    []float64
	}

	// Reconfigured brings new classes and plans. Numbers that were in use stay and keep their meaning. From
	// names, for each class, the class whose learned times it starts with: itself if it stays, -1 for none.
	Reconfigured struct {
		Classes  []Class
		Plans    []Plan
		From     []int
		Attempts int // MaxAttempts from now on; 0: unchanged
	}

	// ShuttingDown says that this gateway is about to end, and should soon add all its unflushed units to the
	// counter.
	ShuttingDown struct{}

	// LinkRestored says that the link to a site works again: failures in the meantime were not its servers'
	// fault.
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

// MembersKind says how to read a server list.
type MembersKind int

// The kinds of list. Cached is a full list that may be out of date. Failed is no list: it says that the
// subscription has failed.
const (
	Delta MembersKind = iota
	Snapshot
	Cached
	Failed
)

// MemberState is the state of a server according to the list.
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
	Site   int    // number of the site; 0 if there are none
	Zone   string // name of the zone; empty: unknown, which may be any zone
	Cell   string // name of the cell within the zone; empty: unknown, which may be any cell
	Kind   int
	Since  Seconds // time of its last start; 0: long ago
	State  MemberState
}

// The actions.
type (
	// Send starts an attempt. Timeout 0 waits until the client gives up.
	Send struct {
		ID        uint64
		Server    string
		Timeout   Seconds
		Placement Placement // of the server, as it is now
	}

	// Cancel ends the wait for one attempt.
	Cancel struct {
		ID      uint64
		Attempt int
	}

	// Refuse is a final answer: the request had no effect, or a repeat is harmless.
	Refuse struct {
		ID         uint64
		RetryAfter Seconds // 0: no hint
		Over       bool    // the quota is used up; otherwise no server is available
	}

	// Admit is the final answer to a request with VerdictOnly.
	Admit struct{ ID uint64 }

	// Fail is a final answer that promises nothing: the request may have had an effect.
	Fail struct{ ID uint64 }

	// SetTimer requests a Timer event.
	SetTimer struct {
		Delay Seconds
		Token uint64
	}

	// Probe requests a server's state.
	Probe struct{ Server string }

	// CloseIdle closes idle connections to a server.
	CloseIdle struct{ Server string }

	// MessagePeer sends a message to one gateway, or to all if Peer is below 0.
	MessagePeer struct {
		Peer int
		Data string
	}

	// Count adds Amount to a named count and requests the total.
	Count struct {
		Name   uint64
		Amount float64
		TTL    Seconds
	}

	// Watch subscribes to the server list, or ends the subscription.
	Watch struct{ On bool }

	// Fetch requests the full server list once.
	Fetch struct{}

	// Log writes a line for the operators.
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

// validate returns an error if the settings are invalid.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return errors.New("control: settings have no classes or no plans")
	}
	if s.Gateways < 1 || s.Sites < 0 || s.Ordinal < 0 || s.Limits.MaxAttempts < 0 {
		return errors.New("control: settings: Gateways, Sites, Ordinal or MaxAttempts out of range")
	}
	finite := func(values ...float64) bool {
		return !slices.ContainsFunc(values, func(v float64) bool { return math.IsNaN(v) || math.IsInf(v, 0) })
	}
	l, r, c := s.Limits, s.Guarantees, s.Counter
	if !finite(l.MaxRetryAfter, l.PeerIntake, r.ColdFrom, r.Ramp, r.FallMultiple, r.FallAfter, r.AskEvery,
		c.Price, c.Timeout, s.Meter) {
		return errors.New("control: settings: a limit, guarantee, counter or meter value is not a finite number")
	}
	for i, c := range s.Classes {
		if !finite(c.Aim, c.Deadline, c.Worth, c.LateWorth, c.Window) {
			return fmt.Errorf(
				"control: class %d: aim %v s, deadline %v s, worth %v, late worth %v or window %v s not finite",
				i, c.Aim, c.Deadline, c.Worth, c.LateWorth, c.Window)
		}
		if !(c.Aim > 0) || !(c.Deadline > 0) || c.Worth < 0 || c.Window < 0 {
			return fmt.Errorf("control: class %d: aim %v s, deadline %v s, worth %v or window %v s out of range",
				i, c.Aim, c.Deadline, c.Worth, c.Window)
		}
	}
	for i, p := range s.Plans {
		if !finite(p.Rate, p.Burst, p.Worth, p.OverWorth, p.OverCost,
			p.CeilingRate, p.CeilingBurst, p.CeilingSlack) {
			return fmt.Errorf("control: plan %d: a rate, burst, worth factor or ceiling value is not finite", i)
		}
		if min(p.Rate, p.Burst, float64(p.Open), p.CeilingRate, p.CeilingBurst, p.CeilingSlack) < 0 {
			return fmt.Errorf("control: plan %d: a rate, burst, open or ceiling value is negative", i)
		}
	}
	return nil
}
