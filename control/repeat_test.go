package control_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"junctionring/control"
)

// listedServer is what the latest list says of a server.
type listedServer struct {
	ready      bool
	site       int
	zone, cell string
	since      float64
}

// keyedRequest is what was sent of a keyed request so far.
type keyedRequest struct {
	id        uint64
	attempts  int
	server    string       // of the attempt in flight
	sentTo    listedServer // as the server was listed when that attempt was sent
	sentAt    float64
	hasRun    bool // some attempt may have run, first at:
	ranAt     string
	ranIn     listedServer
	ranSentAt float64
}

// repeatModel holds the list and the requests, and judges each action by the rule on repeats of a key.
type repeatModel struct {
	t       *rapid.T
	g       *control.Gateway
	now     float64
	class   control.Class
	sites   int // 0: all servers are one site
	list    map[string]listedServer
	open    map[uint64]*keyedRequest
	lastID  uint64
	retries int
}

var repeatServers = []string{"a", "b", "c", "d", "e"}

func newRepeatModel(t *rapid.T) *repeatModel {
	group := rapid.SampledFrom([]control.Group{control.GroupAll, control.GroupSite, control.GroupZone, control.GroupCell}).Draw(t, "group")
	class := control.Class{Aim: 1, Deadline: 4, Worth: 2, Repeat: control.Keyed, Group: group, Window: 2}
	sites := rapid.SampledFrom([]int{0, 2}).Draw(t, "sites")
	g, err := control.New(control.Settings{
		Gateways: 1, Sites: sites, Zone: rapid.SampledFrom([]string{"", "x"}).Draw(t, "own zone"),
		Classes: []control.Class{class}, Plans: []control.Plan{{Worth: 1}},
		Limits: control.Limits{MaxAttempts: 4, Cancel: true},
	}, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	return &repeatModel{t: t, g: g, now: 1000, class: class, sites: sites, list: map[string]listedServer{}, open: map[uint64]*keyedRequest{}}
}

// changeList sends a list, or changes to it, in which servers come, go, drain, restart and move.
func (m *repeatModel) changeList(whole bool) {
	event := control.Members{Kind: control.Delta}
	if whole {
		event.Kind = control.Snapshot
		clear(m.list)
	}
	for _, id := range repeatServers {
		if rapid.Bool().Draw(m.t, id+" unchanged") {
			continue
		}
		state := rapid.SampledFrom([]control.MemberState{control.Ready, control.Ready, control.Ready, control.Draining, control.Removed}).Draw(m.t, id+" state")
		s := listedServer{
			ready: state == control.Ready, site: rapid.IntRange(0, 1).Draw(m.t, id+" site"),
			zone:  rapid.SampledFrom([]string{"", "x", "y"}).Draw(m.t, id+" zone"),
			cell:  rapid.SampledFrom([]string{"", "1", "2"}).Draw(m.t, id+" cell"),
			since: rapid.SampledFrom([]float64{0, 1, 2}).Draw(m.t, id+" since"),
		}
		event.Entries = append(event.Entries, control.Member{Server: id, Weight: 1, Site: s.site, Zone: s.zone, Cell: s.cell, Since: s.since, State: state})
		m.list[id] = s
	}
	m.handle(event)
}

// request sends a new keyed request, at times as the repeat of an earlier one that may have run at a listed server.
func (m *repeatModel) request() {
	m.lastID++
	r := &keyedRequest{id: m.lastID}
	event := control.Request{ID: r.id, TimeLeft: 4, Units: 1, Reach: m.reach()}
	if id := rapid.SampledFrom(repeatServers).Draw(m.t, "ran at"); rapid.Bool().Draw(m.t, "repeat") && m.class.Group != control.GroupAll {
		s := m.list[id]
		site := min(s.site, m.sites)
		r.hasRun, r.ranAt, r.ranIn, r.ranSentAt = true, id, s, m.now-rapid.Float64Range(0, 3).Draw(m.t, "sent before")
		event.EarlierRun = &control.EarlierRun{SentAt: r.ranSentAt,
			Placement: control.Placement{Server: id, Since: s.since, Site: site, Zone: s.zone, Cell: s.cell}}
	}
	m.open[r.id] = r
	m.handle(event)
}

func (m *repeatModel) reach() control.Reach {
	return control.Reach{First: rapid.IntRange(0, 1).Draw(m.t, "first site"), Then: rapid.IntRange(0, 1).Draw(m.t, "second site")}
}

// endAttempt ends an attempt in flight.
func (m *repeatModel) endAttempt(r *keyedRequest) {
	status := rapid.SampledFrom([]control.Status{control.OK, control.Error, control.Full, control.Timeout, control.ConnectFailed,
		control.Reset, control.Reset, control.Reset, control.NotSent}).Draw(m.t, "status")
	switch status {
	case control.Full, control.ConnectFailed, control.NotSent:
	default:
		if !r.hasRun {
			r.hasRun, r.ranAt, r.ranIn, r.ranSentAt = true, r.server, r.sentTo, r.sentAt
		}
	}
	event := control.Outcome{ID: r.id, Server: r.server, Attempt: r.attempts - 1, Status: status, Closed: status == control.OK, Reach: m.reach()}
	if r.server = ""; event.Closed {
		delete(m.open, r.id)
	}
	m.handle(event)
}

// handle passes an event on and judges what follows.
func (m *repeatModel) handle(event control.Event) {
	for _, a := range m.g.Handle(m.now, event, nil) {
		switch a := a.(type) {
		case control.Send:
			m.judgeSend(a)
		case control.Refuse:
			if r := m.open[a.ID]; r.hasRun && m.class.Group != control.GroupAll {
				m.t.Fatalf("request %d is refused, and may have run at %s", a.ID, r.ranAt)
			}
			delete(m.open, a.ID)
		case control.Fail:
			delete(m.open, a.ID)
		}
	}
}

func (m *repeatModel) judgeSend(a control.Send) {
	r, s := m.open[a.ID], m.list[a.Server]
	switch {
	case r == nil || r.server != "":
		m.t.Fatalf("%+v: the request is over, or another attempt is in flight", a)
	case !s.ready:
		m.t.Fatalf("%+v: the server is not ready", a)
	case r.hasRun && m.now >= r.ranSentAt+m.class.Window:
		m.t.Fatalf("%+v at %g: the first attempt that may have run was sent at %g", a, m.now, r.ranSentAt)
	case r.hasRun && !m.dropsRepeat(r, a.Server, s):
		m.t.Fatalf("%+v is listed as %+v, and the request may have run at %s, then listed as %+v", a, s, r.ranAt, r.ranIn)
	}
	if r.hasRun {
		m.retries++
	}
	r.attempts++
	r.server, r.sentTo, r.sentAt = a.Server, s, m.now
}

// dropsRepeat states the rule anew: the zone, and the cell within it, has a name, and both servers have that one.
func (m *repeatModel) dropsRepeat(r *keyedRequest, id string, s listedServer) bool {
	if m.sites == 0 {
		s.site, r.ranIn.site = 0, 0
	}
	unmoved := r.ranAt == id && r.ranIn.since == s.since && r.ranIn.site == s.site && r.ranIn.zone == s.zone && r.ranIn.cell == s.cell
	var same bool
	switch m.class.Group {
	case control.GroupAll:
		return true
	case control.GroupSite:
		same = r.ranIn.site == s.site
	case control.GroupZone:
		same = r.ranIn.site == s.site && r.ranIn.zone != "" && r.ranIn.zone == s.zone
	case control.GroupCell:
		same = r.ranIn.site == s.site && r.ranIn.zone != "" && r.ranIn.zone == s.zone && r.ranIn.cell != "" && r.ranIn.cell == s.cell
	}
	return same || unmoved
}

// Guards against a keyed request that may have run and is sent to a server that does not know its key.
func TestKeyInDoubtStaysInItsGroup(t *testing.T) {
	retries := map[control.Group]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newRepeatModel(t)
		m.changeList(true)
		for range rapid.IntRange(10, 40).Draw(t, "steps") {
			m.now += rapid.Float64Range(0, 0.4).Draw(t, "pause")
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				m.changeList(rapid.Bool().Draw(t, "whole list"))
				continue
			}
			m.request()
			for id := uint64(1); id <= m.lastID; id++ {
				if r := m.open[id]; r != nil && r.server != "" && rapid.Bool().Draw(t, "ends") {
					m.endAttempt(r)
				}
			}
		}
		retries[m.class.Group] += m.retries
	})
	for _, group := range []control.Group{control.GroupAll, control.GroupSite, control.GroupZone, control.GroupCell} {
		if retries[group] == 0 {
			t.Errorf("group %d: no request that may have run was sent again", group)
		}
	}
}

// Guards against a hall that is taken for the one in which a move ran, since the list has changed meanwhile.
func TestListMovesServersWhileAKeyIsInDoubt(t *testing.T) {
	in := func(id, zone string, since float64) control.Member {
		return control.Member{Server: id, Weight: 1, Zone: zone, Cell: "1", Since: since}
	}
	for _, c := range []struct {
		name   string
		first  control.Member // where the move ran
		then   []control.Member
		sentTo string // empty: to none
	}{
		{"another hall", in("a", "x", 0), []control.Member{in("b", "y", 0)}, ""},
		{"the same hall", in("a", "x", 0), []control.Member{in("b", "x", 0)}, "b"},
		{"its server moves", in("a", "x", 0), []control.Member{in("a", "y", 0)}, ""},
		{"its server moves, another stands in the hall now", in("a", "x", 0), []control.Member{in("a", "y", 0), in("b", "x", 0)}, "b"},
		{"its server moves to where another stood before", in("a", "x", 0), []control.Member{in("a", "y", 0), in("b", "y", 0)}, ""},
		{"its server comes back elsewhere as a new process", in("a", "x", 1), []control.Member{in("a", "y", 900)}, ""},
		{"both halls unknown", in("a", "", 0), []control.Member{in("b", "", 0)}, ""},
		{"its hall unknown, its server stays", in("a", "", 0), []control.Member{in("a", "", 0), in("b", "", 0)}, "a"},
		{"its hall unknown, its server restarts", in("a", "", 1), []control.Member{in("a", "", 2), in("b", "", 0)}, ""},
		{"its hall is told only afterwards", in("a", "", 0), []control.Member{in("a", "x", 0), in("b", "x", 0)}, ""},
		{"its hall is forgotten", in("a", "x", 0), []control.Member{in("a", "", 0), in("b", "", 0)}, ""},
	} {
		for _, group := range []control.Group{control.GroupZone, control.GroupCell} {
			s := settings()
			s.Classes[1].Group = group
			r := newHarness(t, s, c.first)
			sent := filter[control.Send](r.handle(control.Request{ID: 1, Class: 1, TimeLeft: 4, Units: 1}))
			if len(sent) != 1 {
				t.Fatalf("%s: the move was sent %d times", c.name, len(sent))
			}
			r.now += 0.1
			r.handle(control.Members{Kind: control.Snapshot, Entries: c.then})
			actions := r.endAttempt(sent[0], 0, control.Reset)
			got := ""
			for _, a := range filter[control.Send](actions) {
				got += a.Server
			}
			if failed := len(filter[control.Fail](actions)); got != c.sentTo || failed != 1 && got == "" {
				t.Errorf("%s, group %d: sent to %q, failed %d times, want %q", c.name, group, got, failed, c.sentTo)
			}
		}
	}
}

// Guards against a gateway with no zone of its own that favours the hall whose name is listed first.
func TestOwnZoneIsPreferredOnlyIfStated(t *testing.T) {
	const seeds = 4000
	sentToA := func(own, zoneOfA, zoneOfB string) (n int) {
		s := settings()
		s.Zone = own
		for seed := range uint64(seeds) {
			r := newSeededHarness(t, s, seed, control.Member{Server: "a", Weight: 1, Zone: zoneOfA}, control.Member{Server: "b", Weight: 1, Zone: zoneOfB})
			for _, a := range filter[control.Send](r.handle(control.Request{ID: 1, TimeLeft: 4, Units: 1})) {
				if a.Server == "a" {
					n++
				}
			}
		}
		return n
	}
	none := sentToA("", "0", "1")
	if swapped := sentToA("", "1", "0"); swapped != none {
		t.Errorf("no own zone: %d of %d sent to a server, and %d in the other zone", none, seeds, swapped)
	}
	if near, far := sentToA("0", "0", "1"), sentToA("0", "1", "0"); near <= none || far >= none {
		t.Errorf("own zone: %d of %d sent to its server, %d from the other zone, %d with no own zone", near, seeds, far, none)
	}
}

func ExampleGroup_DropsRepeats() {
	ran := control.Placement{Server: "a", Zone: "hall-a"}
	fmt.Println(control.GroupZone.DropsRepeats(ran, control.Placement{Server: "b", Zone: "hall-a"}))
	fmt.Println(control.GroupZone.DropsRepeats(ran, control.Placement{Server: "c", Zone: "hall-b"}))
	fmt.Println(control.GroupZone.DropsRepeats(control.Placement{Server: "d"}, control.Placement{Server: "e"}))
	// Output:
	// true
	// false
	// false
}
