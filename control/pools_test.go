package control

import "testing"

// two makes a gateway at site 0 of two, with servers n0, n1 there and f0, f1 at the other.
func two(t *testing.T, group Group) *Gateway {
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

// target is the first letter of where a request was sent, or what became of it.
func target(t *testing.T, actions []Action) byte {
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
		g := two(t, GroupAll)
		for id := range uint64(5) {
			got := target(t, g.Handle(101, Request{ID: id, TimeLeft: 4, Units: 1, Spread: 1, Reach: c.reach}, nil))
			if got != c.want {
				t.Fatalf("reach %v: sent to %c, want %c", c.reach, got, c.want)
			}
		}
	}
}

// Where the first site has nobody ready the second serves; where only the first may be used it is a refusal.
func TestSecondSiteServesForADrainedOne(t *testing.T) {
	g := two(t, GroupAll)
	g.Handle(101, Members{Entries: []Member{{Server: "n0", State: Draining}, {Server: "n1", State: Draining}}}, nil)
	if got := target(t, g.Handle(101, Request{ID: 1, TimeLeft: 4, Units: 1, Reach: Reach{First: 0, Then: 1}}, nil)); got != 'f' {
		t.Errorf("sent to %c, want the far site", got)
	}
	if got := target(t, g.Handle(101, Request{ID: 2, TimeLeft: 4, Units: 1}, nil)); got != 'R' {
		t.Errorf("%c, want a refusal", got)
	}
}

// A keyed request that may have run goes to another site only where servers there drop its repeats, too.
func TestKeyedRetryStaysWithItsGroup(t *testing.T) {
	for _, c := range []struct {
		group  Group
		status Status
		want   byte
	}{{GroupAll, Reset, 'f'}, {GroupSite, Reset, 'F'}, {GroupZone, Reset, 'F'}, {GroupSite, ConnectFailed, 'f'}, {GroupSite, Full, 'f'}} {
		g := two(t, c.group)
		sent := g.Handle(101, Request{ID: 1, TimeLeft: 4, Units: 1, Reach: Reach{First: 0, Then: 1}}, nil)
		server := ""
		for _, a := range sent {
			if s, ok := a.(Send); ok {
				server = s.Server
			}
		}
		g.Handle(101, Members{Entries: []Member{{Server: "n0", State: Draining}, {Server: "n1", State: Draining}}}, nil)
		out := g.Handle(101.1, Outcome{ID: 1, Server: server, Status: c.status, Reach: Reach{First: 0, Then: 1}}, nil)
		if got := target(t, out); got != c.want {
			t.Errorf("group %d, status %d: %c, want %c", c.group, c.status, got, c.want)
		}
	}
}

// Late answers at one site are a crowd there and nowhere else.
func TestCrowdIsOfOneSite(t *testing.T) {
	g := two(t, GroupAll)
	for id := range uint64(60) {
		for _, a := range g.Handle(101+float64(id), Request{ID: id, TimeLeft: 4, Units: 1}, nil) {
			if s, ok := a.(Send); ok {
				g.Handle(101+float64(id)+0.95, Outcome{ID: id, Server: s.Server, Status: OK, Closed: true}, nil)
			}
		}
	}
	if near, far := g.pools[0].crowd, g.pools[1].crowd; near < 0.5 || far != 0 {
		t.Errorf("crowd %g near and %g far, want much and none", near, far)
	}
}
