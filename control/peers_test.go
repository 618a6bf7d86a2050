package control_test

import (
	"strings"
	"testing"

	"junctionring/control"
)

func TestPeersAreToldOnlyInASilence(t *testing.T) {
	s := settings()
	s.Limits.Peers = true
	for _, silent := range []bool{false, true} {
		f := newFleet(t, s, "a", "b", "c")
		if silent {
			f.counterAnswer = func() (float64, control.Status) { return 0.05, control.Timeout }
		}
		told := 0
		for i := range 200 {
			f.offer(0, 0, uint64(i%5))
			f.now += 0.02
			for _, m := range filter[control.MessagePeer](f.handle(control.Timer{})) {
				told++
				if len(m.Data) > 256 {
					t.Errorf("message of %d bytes, want at most 256", len(m.Data))
				}
			}
			f.step(0)
		}
		if silent != (told > 0) {
			t.Errorf("counter silent: %v: %d messages to peers, want some only if it is silent", silent, told)
		}
	}
}

// While the counter is silent, a customer that uses no other gateway may use its whole quota here, and one whose quota
// is used up at others may not.
func TestPeerReportsDecideAdmission(t *testing.T) {
	s := settings()
	s.Limits.Peers = true
	run := func(message func(step int) string) int {
		f := newFleet(t, s, "a", "b", "c", "d")
		f.counterAnswer = func() (float64, control.Status) {
			if f.now < 1002 {
				return 0.002, control.OK // looked up before the counter fell silent
			}
			return 0.05, control.Timeout
		}
		sent := 0
		for i := range 500 { // 10 s at 2.5 a second against a rate of 2
			if i%20 == 0 && f.offer(0, 0, 5) {
				sent++
			}
			if i%8 == 0 {
				f.perform(f.handle(control.PeerMessage{From: 1, Data: message(i)}))
			}
			f.step(0.02)
		}
		return sent
	}
	quiet := run(func(int) string { return "" })
	busy := run(func(int) string { return "5:1" }) // peers report 6 units a second
	if quiet < 20 || busy > quiet/2 {
		t.Errorf("%d requests sent without use at peers and %d with it, want at least 20, and at most half as many",
			quiet, busy)
	}
	if garbled := run(func(int) string { return strings.Repeat("5:", 3) + "-1 x" }); garbled == 0 {
		t.Error("no request admitted after a garbled message")
	}
}

// Messages go only to gateways that the customers' requests may come through, and no more of them than a gateway can
// take in, at any number of gateways.
func TestPeersAreToldSparingly(t *testing.T) {
	for _, gateways := range []int{2, 10, 100, 500} {
		s := settings()
		s.Limits.Peers, s.Limits.PeerIntake, s.Gateways = true, 100, gateways
		f := newFleet(t, s, "a", "b", "c")
		f.counterAnswer = func() (float64, control.Status) { return 0.05, control.Timeout }
		told, spread := 0, max(2, gateways/4)
		for i := range 1000 { // 20 s
			f.lastID++
			f.perform(f.handle(control.Request{
				ID: f.lastID, Plan: 0, Customer: uint64(i % 5), TimeLeft: 3, Units: 1, Spread: spread, First: gateways - 1,
			}))
			f.now += 0.02
			acts := f.handle(control.Timer{})
			f.perform(acts)
			for _, m := range filter[control.MessagePeer](acts) {
				told++
				if m.Peer == 0 || m.Peer < 0 || m.Peer != gateways-1 && m.Peer >= spread-1 {
					t.Fatalf("%d gateways: message to gateway %d, which no customer's requests come through", gateways, m.Peer)
				}
			}
			f.step(0)
		}
		if told == 0 || told > 20*60 {
			t.Errorf("%d gateways: %d messages in 20 s, want 1 to 1200", gateways, told)
		}
	}
}

// Units that peers reported for a customer count when its first request comes to this gateway.
func TestPeerReportsCountAtFirstSight(t *testing.T) {
	s := settings()
	s.Limits.Peers = true
	admitted := func(told string) bool {
		r := newHarness(t, s, readyMembers("a", "b")...)
		r.handle(control.PeerMessage{From: 1, Data: told})
		_, acts := r.request(0, 0, 7)
		return len(filter[control.Send](acts)) > 0
	}
	if !admitted("8:3") || admitted("7:20") {
		t.Error("want a customer admitted that peers did not report, and one refused that used over twice its burst there")
	}
}
