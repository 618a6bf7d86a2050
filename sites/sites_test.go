package sites

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"junctionring/control"
)

var classes = []control.Class{
	{Aim: 2, Deadline: 7.5, Worth: 2, Repeat: control.Safe},
	{Aim: 1, Deadline: 4, Worth: 6, Repeat: control.Keyed, Group: control.GroupSite, Window: 4},
}

const (
	view = 0
	move = 1
)

// newTestRouter returns a router at the site near, 40 ms one way from the site far, with the given number of servers at
// each.
func newTestRouter(t testing.TB, servers int) *Router {
	t.Helper()
	r, err := New(Settings{
		Sites: []Site{{Name: "near"}, {Name: "far", Distance: 0.04}}, Classes: classes,
		Guarantees: control.Guarantees{ColdFrom: 0.15, Ramp: 18, FallMultiple: 3, FallAfter: 1.5}, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Members(100, serverList(servers, control.Ready, control.Ready))
	return r
}

func serverID(site, n int) string {
	return string(rune('a'+site)) + string(rune('0'+n/10)) + string(rune('0'+n%10))
}

func serverList(servers int, local, remote control.MemberState) control.Members {
	m := control.Members{Kind: control.Snapshot}
	for site, state := range []control.MemberState{local, remote} {
		for n := range servers {
			m.Entries = append(m.Entries, control.Member{Server: serverID(site, n), Site: site, State: state})
		}
	}
	return m
}

func newTry(class int) Try { return Try{Class: class, Left: classes[class].Deadline} }

// fillLocalWindow cuts the local window by late answers, sets its limit to out attempts and fills it.
func fillLocalWindow(t testing.TB, r *Router, now Seconds, out int) (Seconds, []Attempt) {
	t.Helper()
	for range 200 {
		f, ok := r.Sent(now, serverID(0, 0), move, Verdict{})
		if !ok {
			t.Fatal("Sent does not know the server")
		}
		now += 0.6
		r.Ended(now, f, control.OK, 0)
	}
	r.sites[0].window.limit = float64(out)
	var attempts []Attempt
	for n := range out {
		f, _ := r.Sent(now, serverID(0, n%2), move, Verdict{})
		attempts = append(attempts, f)
	}
	return now, attempts
}

func TestNearIsPreferredWhileItSuffices(t *testing.T) {
	r, now := newTestRouter(t, 4), 100.0
	for range 2000 {
		now += 0.01
		v := r.Route(now, newTry(move))
		if v.Reach.First != 0 {
			t.Fatalf("at %g: %+v", now, v)
		}
		f, _ := r.Sent(now, serverID(0, 1), move, v)
		r.Ended(now+0.15, f, control.OK, 0.15)
	}
	if r.Crossings() != 0 {
		t.Error("attempts crossed although the local site suffices")
	}
}

func TestExcessCrossesMovesFirst(t *testing.T) {
	r := newTestRouter(t, 4)
	now, _ := fillLocalWindow(t, r, 100, 19) // of 20: more than nine tenths, but not full
	r.sites[0].window.limit = 20
	if v := r.Route(now, newTry(move)); v.Reach.First != 1 || v.Reach.Then != 0 || v.CrossReason != LocalSlow {
		t.Errorf("a move: %+v", v)
	}
	if v := r.Route(now, newTry(view)); v.Reach.First != 0 {
		t.Errorf("a view: %+v", v)
	}
	r.sites[0].window.limit = 19
	if v := r.Route(now, newTry(view)); v.Reach.First != 1 {
		t.Errorf("a view with the window full: %+v", v)
	}
}

func TestNoCrossingWithoutTimeLeft(t *testing.T) {
	r := newTestRouter(t, 4)
	now, _ := fillLocalWindow(t, r, 100, 20)
	if v := r.Route(now, Try{Class: move, Left: 0.2}); v.Reach.First != 0 || v.Reach.Then != 0 ||
		v.DenyReason != InsufficientTime {
		t.Errorf("with 200 ms left: %+v", v)
	}
	r.Refused(move, Verdict{DenyReason: InsufficientTime})
	if got := r.Report().Refused; len(got) != 1 || got[0].Why != "no time" {
		t.Errorf("counted as %+v", got)
	}
}

func TestDrainOpensTheLinkAtOnce(t *testing.T) {
	r := newTestRouter(t, 4)
	now := 100.0
	var out []Attempt
	for i := 0; i < 200; i++ { // 30 in flight on average
		now += 0.02
		f, _ := r.Sent(now, serverID(0, i%4), move, r.Route(now, newTry(move)))
		out = append(out, f)
		if len(out) > 30 {
			r.Ended(now, out[0], control.OK, 0.5)
			out = out[1:]
		}
	}
	r.Members(now, serverList(4, control.Draining, control.Ready))
	crossed := 0
	for range 30 { // as many as the local site had in flight may cross at once
		v := r.Route(now, newTry(move))
		if v.Reach.First == 1 && v.CrossReason == LocalDraining {
			r.Sent(now, serverID(1, 0), move, v)
			crossed++
		}
	}
	if crossed < 25 {
		t.Errorf("%d of 30 attempts crossed, want at least 25", crossed)
	}
	if got := r.Report().Sites[1].Crossed; len(got) != 1 || got[0].Cause != "near draining" ||
		got[0].Count != uint64(crossed) {
		t.Errorf("counted as %+v", got)
	}
}

func TestColdFarSiteGetsLittle(t *testing.T) {
	r := newTestRouter(t, 4)
	m := serverList(4, control.Draining, control.Ready)
	for i := range m.Entries {
		if m.Entries[i].Site == 1 {
			m.Entries[i].Since = 99
		}
	}
	r.Members(100, m)
	r.sites[1].window.limit = 40
	cold := r.remoteLimit(&r.sites[1], move)
	r.Tick(120, nil)
	if warm := r.remoteLimit(&r.sites[1], move); cold > 0.25*warm || warm < 39 {
		t.Errorf("limit %g while warming up, then %g", cold, warm)
	}
}

func TestBoundTryStaysAtItsSite(t *testing.T) {
	r := newTestRouter(t, 4)
	v := r.Route(100, Try{Class: move, Left: 4, Pinned: true, PinnedSite: 1})
	if v.Reach != (control.Reach{First: 1, Then: 1}) {
		t.Errorf("after an attempt at the remote site: %+v", v)
	}
	r.Members(100, serverList(4, control.Draining, control.Ready))
	if v = r.Route(100, Try{Class: move, Left: 4, Pinned: true}); v.Reach != (control.Reach{}) {
		t.Errorf("after an attempt at the local site: %+v", v)
	}
}

// A silent link counts as down: its attempts are cancelled once, it is probed, and it is used again after two answered
// probes.
func TestSilentLink(t *testing.T) {
	r := newTestRouter(t, 4)
	r.Members(100, serverList(4, control.Draining, control.Ready))
	now := 100.0
	var out []Attempt
	for i := range 6 {
		f, _ := r.Sent(now, serverID(1, i%4), move, r.Route(now, newTry(move)))
		out = append(out, f)
	}
	var probes, givenUp int
	step := func() {
		now += 0.05
		for _, a := range r.Tick(now, nil) {
			switch a := a.(type) {
			case Probe:
				probes++
				r.Probed(now+0.01, a.Server, control.Timeout, 0.01)
			case GiveUp:
				givenUp++
				for _, f := range out {
					r.Ended(now, f, control.Cancelled, 0)
				}
			}
		}
	}
	for range 100 {
		step()
	}
	if givenUp != 1 || probes < 10 {
		t.Errorf("attempts cancelled %d times, want 1; %d probes, want at least 10", givenUp, probes)
	}
	if v := r.Route(now, newTry(move)); v.DenyReason != LinkDown {
		t.Errorf("a try while the link is down: %+v", v)
	}
	r.Probed(now, serverID(1, 0), control.OK, 0.08)
	if v := r.Route(now, newTry(move)); v.DenyReason != LinkDown {
		t.Errorf("a try after one answered probe: %+v", v)
	}
	r.Probed(now, serverID(1, 1), control.OK, 0.08)
	if v := r.Route(now+1, newTry(move)); v.Reach.First != 1 {
		t.Errorf("a try after two answered probes: %+v", v)
	}
}

// A failed server does not make its link count as down while other servers answer.
func TestDeadServerIsNoDeadLink(t *testing.T) {
	r, now := newTestRouter(t, 4), 100.0
	for range 100 {
		now += 0.05
		dead, _ := r.Sent(now, serverID(1, 0), view, Verdict{})
		f, _ := r.Sent(now, serverID(1, 1), view, Verdict{})
		r.Ended(now+0.2, f, control.OK, 0.2)
		r.Ended(now+0.2, dead, control.ConnectFailed, 0)
		for _, a := range r.Tick(now+0.2, nil) {
			if _, down := a.(GiveUp); down {
				t.Fatal("the link counts as down although a server answers")
			}
		}
	}
	if got := r.Report().Sites[1]; got.LeftOut != 1 || got.Ready != 3 {
		t.Errorf("%+v", got)
	}
}

// Queueing delay at the remote site shrinks the remote window before clients of that site notice the delay.
func TestRemoteWindowBacksOff(t *testing.T) {
	r, now := newTestRouter(t, 4), 100.0
	remote := &r.sites[1]
	feed := func(took Seconds, n int) {
		for range n {
			var out []Attempt
			for range int(remote.window.limit) + 1 {
				f, _ := r.Sent(now, serverID(1, 0), move, Verdict{})
				out = append(out, f)
			}
			now += took
			for _, f := range out {
				r.Ended(now, f, control.OK, took)
			}
		}
	}
	feed(0.2, 8)
	limit := remote.window.limit
	feed(0.7, 8)
	if delayedLimit := remote.window.limit; limit < 8 || delayedLimit > limit/3 {
		t.Errorf("limit %g, then %g with queueing delay", limit, delayedLimit)
	}
	if low := remote.classes[move].baseline; low > 0.3 {
		t.Errorf("the baseline absorbed the queueing delay: %g s", low)
	}
}

// Crossings and refusals are logged once, in one line.
func TestSummaryInTheLog(t *testing.T) {
	r := newTestRouter(t, 2)
	r.Tick(100, nil)
	r.Sent(101, serverID(1, 0), move, Verdict{CrossReason: LocalDraining})
	r.Refused(view, Verdict{DenyReason: RemoteBusy})
	var lines []string
	for _, now := range []Seconds{102, 111, 122, 133} {
		for _, a := range r.Tick(now, nil) {
			if l, ok := a.(Log); ok {
				lines = append(lines, l.Text)
			}
		}
		r.Probed(now, serverID(1, 0), control.OK, 0.08)
	}
	want := "crossed: 1 of class 1 to far (near draining) 1 of class 0 refused (far busy)"
	if len(lines) != 1 || lines[0] != want {
		t.Errorf("logged %q, want %q", lines, want)
	}
}

// A window that was cut to a very small limit grows again as soon as answers are in time.
func TestSmallWindowGrows(t *testing.T) {
	for _, limit := range []float64{1, 1.7, 2.9} {
		r, now := newTestRouter(t, 4), 100.0
		local := &r.sites[0]
		local.window.limit = limit
		for range 200 {
			var out []Attempt
			for local.window.admits(now, local.attempts.count, local.window.limit, 0) {
				f, _ := r.Sent(now, serverID(0, 0), move, Verdict{})
				out = append(out, f)
			}
			now += 0.15
			for _, f := range out {
				r.Ended(now, f, control.OK, 0.15)
			}
		}
		if local.window.limit < 20 {
			t.Errorf("limit grew from %g to %g, want at least 20", limit, local.window.limit)
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for name, s := range map[string]Settings{
		"no sites":      {Classes: classes},
		"no classes":    {Sites: []Site{{Name: "a"}}},
		"own unknown":   {Own: 1, Sites: []Site{{Name: "a"}}, Classes: classes},
		"not a number":  {Sites: []Site{{Name: "a"}, {Name: "b", Distance: math.NaN()}}, Classes: classes},
		"negative":      {Sites: []Site{{Name: "a"}, {Name: "b", Distance: -1}}, Classes: classes},
		"two own sites": {Sites: []Site{{Name: "a"}, {Name: "b"}}, Classes: classes},
		"own is remote": {Sites: []Site{{Name: "a", Distance: 1}}, Classes: classes},
	} {
		if _, err := New(s); err == nil {
			t.Errorf("%s: settings accepted", name)
		}
	}
}

// For any sequence of events: a try may use the remote site only if its link is up, it has ready servers and capacity,
// and enough time is left; a pinned try uses its own site or none; counts match the attempts sent; limits and learned
// times stay valid.
func TestRouterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(&testing.T{}, 3)
		now, crossed := 100.0, uint64(0)
		var out []Attempt
		states := rapid.SampledFrom([]control.MemberState{control.Ready, control.Ready, control.Draining, control.Removed})
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += rapid.Float64Range(0, 0.3).Draw(t, "dt")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				m := control.Member{Site: rapid.IntRange(0, 1).Draw(t, "site"), State: states.Draw(t, "state")}
				m.Server = serverID(m.Site, rapid.IntRange(0, 2).Draw(t, "server"))
				if rapid.Bool().Draw(t, "fresh") {
					m.Since = now
				}
				r.Members(now, control.Members{Entries: []control.Member{m}})
			case 1:
				up := false
				for _, a := range r.Tick(now, nil) {
					if p, ok := a.(Probe); ok {
						up = rapid.Bool().Draw(t, "answers")
						status := control.Timeout
						if up {
							status = control.OK
						}
						r.Probed(now+0.1, p.Server, status, 0.1)
						now += 0.1
					}
				}
			case 2, 3, 4:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					status := rapid.SampledFrom([]control.Status{control.OK, control.OK, control.OK, control.Error, control.Full,
						control.Timeout, control.Reset, control.ConnectFailed, control.Cancelled}).Draw(t, "status")
					r.Ended(now, out[i], status, 0)
					r.Ended(now, out[i], status, 0) // reported twice, counted once
					out = append(out[:i], out[i+1:]...)
				}
			default:
				c := rapid.IntRange(0, 1).Draw(t, "class")
				try := Try{Class: c, Left: rapid.Float64Range(0.01, 7).Draw(t, "left"),
					Elapsed: rapid.Float64Range(0, 1).Draw(t, "elapsed")}
				if rapid.IntRange(0, 9).Draw(t, "bound") == 0 {
					try.Pinned, try.PinnedSite = true, rapid.IntRange(0, 1).Draw(t, "at")
				}
				v := r.Route(now, try)
				local, remote := &r.sites[0], &r.sites[1]
				crosses := v.Reach.First == 1 || v.Reach.Then == 1
				switch {
				case try.Pinned && crosses != (try.PinnedSite == 1 && !remote.link.down):
					t.Fatalf("bound to %d: %+v", try.PinnedSite, v)
				case try.Pinned:
				case crosses && (remote.link.down || remote.ready == 0 || remote.classes[c].highTime+remote.link.rtt > try.Left):
					t.Fatalf("may cross with no usable server or too little time: %+v, left %g", v, try.Left)
				case crosses && float64(remote.attempts.count)+1 > max(1, r.remoteLimit(remote, c)):
					t.Fatalf("may cross beyond the limit: %d in flight, limit %g", remote.attempts.count, r.remoteLimit(remote, c))
				case v.Reach.First == 1 && local.ready > 0 && float64(local.attempts.count)+1 <= local.window.limit*mostUrgentShare:
					t.Fatalf("crosses although the local window is not full: %d in flight, limit %g",
						local.attempts.count, local.window.limit)
				case !crosses && v.DenyReason == NotDenied && local.ready == 0:
					t.Fatalf("may not cross, without a reason, and no local server is ready: %+v", v)
				}
				site := r.sites[v.Reach.First]
				if len(site.servers) == 0 {
					continue
				}
				f, ok := r.Sent(now, site.servers[0].id, c, v)
				if !ok {
					t.Fatal("Sent does not know a listed server")
				}
				if f.remote {
					crossed++
				}
				out = append(out, f)
			}
			outBySite := [2]int{}
			for _, f := range out {
				outBySite[f.Site]++
			}
			for i := range r.sites {
				st := &r.sites[i]
				if st.attempts.count != outBySite[i] {
					t.Fatalf("site %d: %d attempts in flight, counted %d", i, outBySite[i], st.attempts.count)
				}
				if !(st.window.limit >= remoteMinLimit) || i == 1 && math.IsInf(st.window.limit, 1) {
					t.Fatalf("site %d: invalid limit %g", i, st.window.limit)
				}
				for _, c := range st.classes {
					if !(c.baseline > 0) || !(c.highTime >= c.baseline) || math.IsInf(c.highTime, 1) {
						t.Fatalf("site %d: invalid times %+v", i, c)
					}
				}
			}
			if r.Crossings() != crossed {
				t.Fatalf("%d crossed, counted %d", crossed, r.Crossings())
			}
		}
	})
}

func BenchmarkRoute(b *testing.B) {
	r := newTestRouter(b, 50)
	now := 100.0
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 0.001
		v := r.Route(now, newTry(i&1))
		f, _ := r.Sent(now, r.sites[v.Reach.First].servers[i%50].id, i&1, v)
		r.Ended(now+0.15, f, control.OK, 0.15)
	}
}
