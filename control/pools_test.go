package control

import (
	"fmt"
	"testing"
)

// newTwoSiteGateway returns a gateway at site 0 of two, with servers n0 and n1 there, and f0 and f1 at site 1.
func newTwoSiteGateway(t *testing.T, group Group) *Gateway {
	t.Helper()
	g, err := New(Settings{
		Gateways: 1, Sites: 2, Limits: Limits{MaxAttempts: 3, Cancel: true},
		Classes: []Class{{Aim: 1, Deadline: 4, Worth: 6, Repeat: Keyed, Group: group, Window: 4}},
		Plans:   []Plan{{Rate: 0, Worth: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := Members{Kind: Snapshot}
	for _, id := range []string{"n0", "n1", "f0", "f1"} {
		m := Member{Server: id, Weight: 1}
		if id[0] == 'f' {
			m.Site = 1
		}
		list.Entries = append(list.Entries, m)
	}
	g.Handle(100, list, nil)
	return g
}

// destination is the first letter of the server that a request was sent to, R if it was refused, F if it failed, or 0.
func destination(t *testing.T, actions []Action) byte {
	t.Helper()
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			return a.Server[0]
		case Refuse:
			return 'R'
		case Fail:
			return 'F'
		}
	}
	return 0
}

func TestReachNamesTheSites(t *testing.T) {
	for _, c := range []struct {
		reach Reach
		want  byte
	}{{Reach{}, 'n'}, {Reach{First: 0, Then: 1}, 'n'}, {Reach{First: 1, Then: 1}, 'f'}, {Reach{First: 1, Then: 0}, 'f'}} {
		g := newTwoSiteGateway(t, GroupAll)
		for id := range uint64(5) {
			got := destination(t, g.Handle(101, Request{ID: id, TimeLeft: 4, Units: 1, Spread: 1, Reach: c.reach}, nil))
			if got != c.want {
				t.Fatalf("reach %v: sent to %c, want %c", c.reach, got, c.want)
			}
		}
	}
}

// If no server of the first site is ready, requests go to the second site, or are refused if only the first may be used.
func TestSecondSiteServesForADrainedOne(t *testing.T) {
	g := newTwoSiteGateway(t, GroupAll)
	g.Handle(101, Members{Entries: []Member{{Server: "n0", State: Draining}, {Server: "n1", State: Draining}}}, nil)
	if got := destination(t, g.Handle(101, Request{
		ID: 1, TimeLeft: 4, Units: 1, Reach: Reach{First: 0, Then: 1},
	}, nil)); got != 'f' {
		t.Errorf("both sites allowed: got %c, want f: a server of the second site", got)
	}
	if got := destination(t, g.Handle(101, Request{ID: 2, TimeLeft: 4, Units: 1}, nil)); got != 'R' {
		t.Errorf("only the first site allowed: got %c, want R: a refusal", got)
	}
}

// A keyed request that may have run is retried at another site only if servers there drop its repeats, too.
func TestKeyedRetryStaysWithItsGroup(t *testing.T) {
	for _, c := range []struct {
		group  Group
		status Status
		want   byte
	}{
		{GroupAll, Reset, 'f'}, {GroupSite, Reset, 'F'}, {GroupZone, Reset, 'F'},
		{GroupSite, ConnectFailed, 'f'}, {GroupSite, Full, 'f'},
	} {
		g := newTwoSiteGateway(t, c.group)
		sent := g.Handle(101, Request{ID: 1, TimeLeft: 4, Units: 1, Reach: Reach{First: 0, Then: 1}}, nil)
		server := ""
		for _, a := range sent {
			if s, ok := a.(Send); ok {
				server = s.Server
			}
		}
		g.Handle(101, Members{Entries: []Member{{Server: "n0", State: Draining}, {Server: "n1", State: Draining}}}, nil)
		out := g.Handle(101.1, Outcome{ID: 1, Server: server, Status: c.status, Reach: Reach{First: 0, Then: 1}}, nil)
		if got := destination(t, out); got != c.want {
			t.Errorf("group %d, status %d: %c, want %c", c.group, c.status, got, c.want)
		}
	}
}

// Late answers at one site raise the overload of that site only.
func TestOverloadIsPerSite(t *testing.T) {
	g := newTwoSiteGateway(t, GroupAll)
	for id := range uint64(60) {
		for _, a := range g.Handle(101+float64(id), Request{ID: id, TimeLeft: 4, Units: 1}, nil) {
			if s, ok := a.(Send); ok {
				g.Handle(101+float64(id)+0.95, Outcome{ID: id, Server: s.Server, Status: OK, Closed: true}, nil)
			}
		}
	}
	if near, far := g.pools[0].fleetOverload, g.pools[1].fleetOverload; near < 0.5 || far != 0 {
		t.Errorf("overload of %g at site 0 and %g at site 1, want at least 0.5 and 0", near, far)
	}
}

// Failures while the link to a site is down must not eject its servers or count as overload once the link is restored.
func TestRestoredLinkClearsFailures(t *testing.T) {
	g := newTwoSiteGateway(t, GroupAll)
	far := Reach{First: 1, Then: 1}
	for id := range uint64(8) {
		for _, a := range g.Handle(101, Request{ID: id, TimeLeft: 4, Units: 1, Reach: far}, nil) {
			if s, ok := a.(Send); ok {
				g.Handle(102, Outcome{ID: id, Server: s.Server, Status: ConnectFailed, Closed: true}, nil)
			}
		}
	}
	g.pools[1].fleetOverload, g.pools[1].inTimeShare = 4, 0
	g.Handle(103, LinkRestored{Site: 1}, nil)
	for id := range uint64(2) {
		if got := destination(t, g.Handle(103, Request{ID: 100 + id, TimeLeft: 4, Units: 1, Reach: far}, nil)); got != 'f' {
			t.Errorf("after the link was restored: got %c, want f: a server of site 1", got)
		}
	}
}

// A site whose servers have all just started gets work at once, and no more than it can handle.
func TestColdPoolIsSentALittle(t *testing.T) {
	g := newTwoSiteGateway(t, GroupAll)
	g.settings.Guarantees = Guarantees{ColdFrom: 0.15, Ramp: 18, FallMultiple: 3, FallAfter: 1.5}
	list := Members{Kind: Delta}
	for i := range 2 {
		list.Entries = append(list.Entries, Member{Server: fmt.Sprint("f", i), Site: 1, Since: 101})
	}
	g.Handle(101, list, nil)
	sent, out := 0, []Outcome{}
	for i := range uint64(400) { // 40 a second for 10 s, each answered after 0.1 s
		now := 101 + float64(i)/40
		if len(out) > 0 && out[0].Elapsed <= now {
			g.Handle(now, out[0], nil)
			out = out[1:]
		}
		for _, a := range g.Handle(now, Request{ID: i, TimeLeft: 4, Units: 1, Reach: Reach{First: 1, Then: 1}}, nil) {
			if s, ok := a.(Send); ok {
				sent++
				out = append(out, Outcome{ID: i, Server: s.Server, Status: OK, Closed: true, Elapsed: now + 0.1})
			}
		}
	}
	if sent < 20 || sent > 320 { // four cores at 0.15 to 0.6 of their speed, with 0.125 s of work each: about 240
		t.Errorf("%d of 400 requests sent to two cold servers, want 20 to 320", sent)
	}
}

// A new request is refused if its site has no room and no other helps; a retry is not.
func TestFullSiteRefusesNewOnes(t *testing.T) {
	g := newTwoSiteGateway(t, GroupAll)
	full := Reach{Full: true}
	if got := destination(t, g.Handle(101, Request{ID: 1, TimeLeft: 4, Units: 1, Reach: full}, nil)); got != 'R' {
		t.Errorf("new request: got %c, want R: a refusal", got)
	}
	server := ""
	for _, a := range g.Handle(101, Request{ID: 2, TimeLeft: 4, Units: 1}, nil) {
		if s, ok := a.(Send); ok {
			server = s.Server
		}
	}
	if got := destination(t, g.Handle(101.1, Outcome{ID: 2, Server: server, Status: Reset, Reach: full}, nil)); got != 'n' {
		t.Errorf("retry: got %c, want n: a server of site 0", got)
	}
}
