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
			f.answerCount = func() (float64, control.Status) { return 0.05, control.Timeout }
		}
		told := 0
		for i := range 200 {
			f.offer(0, 0, uint64(i%5))
			f.now += 0.02
			for _, m := range filter[control.MessagePeer](f.handle(control.Timer{})) {
				told++
				if len(m.Data) > 256 {
					t.Errorf("a message of %d bytes", len(m.Data))
				}
			}
			f.step(0)
		}
		if silent != (told > 0) {
			t.Errorf("silent %v: %d messages", silent, told)
		}
	}
}

// In a silence a customer that others leave alone may use its whole quota
// here, and one that others use up may not.
func TestPeerReportsDecideAdmission(t *testing.T) {
	s := settings()
	s.Limits.Peers = true
	sentOn := func(words func(step int) string) int {
		f := newFleet(t, s, "a", "b", "c", "d")
		f.answerCount = func() (float64, control.Status) {
			if f.now < 1002 {
				return 0.002, control.OK // looked up before the silence
			}
			return 0.05, control.Timeout
		}
		sent := 0
		for i := range 500 { // 10 s at 2.5 a second against a rate of 2
			if i%20 == 0 && f.offer(0, 0, 5) {
				sent++
			}
			if i%8 == 0 {
				f.perform(f.handle(control.PeerMessage{From: 1, Data: words(i)}))
			}
			f.step(0.02)
		}
		return sent
	}
	alone := sentOn(func(int) string { return "" })
	crowded := sentOn(func(int) string { return "5:1" }) // others send 6 a second
	if alone < 20 || crowded > alone/2 {
		t.Errorf("%d sent on with quiet peers and %d with busy ones", alone, crowded)
	}
	if garbled := sentOn(func(int) string { return strings.Repeat("5:", 3) + "-1 x" }); garbled == 0 {
		t.Error("a garbled message stopped all admission")
	}
}

// Only the gateways of a customer are told, and no gateway more often than it
// can take in, however many there are.
func TestPeersAreToldSparingly(t *testing.T) {
	for _, gateways := range []int{2, 10, 100, 500} {
		s := settings()
		s.Limits.Peers, s.Limits.PeerIntake, s.Gateways = true, 100, gateways
		f := newFleet(t, s, "a", "b", "c")
		f.answerCount = func() (float64, control.Status) { return 0.05, control.Timeout }
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
					t.Fatalf("%d gateways: %d is told, which the customers never come through", gateways, m.Peer)
				}
			}
			f.step(0)
		}
		if told == 0 || told > 20*60 {
			t.Errorf("%d gateways: %d messages in 20 s, want some, and fewer than can be taken in", gateways, told)
		}
	}
}

// What peers told of a customer counts when it comes here for the first time.
func TestPeerReportsCountAtFirstSight(t *testing.T) {
	s := settings()
	s.Limits.Peers = true
	first := func(told string) bool {
		r := newHarness(t, s, readyMembers("a", "b")...)
		r.handle(control.PeerMessage{From: 1, Data: told})
		_, acts := r.request(0, 0, 7)
		return len(filter[control.Send](acts)) > 0
	}
	if !first("8:3") || first("7:20") {
		t.Error("want a customer let in whom nobody spoke of, and one refused who has used twice its store")
	}
}
