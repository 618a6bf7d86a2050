package control_test

import (
	"testing"

	"junctionring/control"
)

// A request with VerdictOnly draws on the same quota as any other, is admitted or refused at once, and is not sent to
// a server.
func TestAskDrawsOnTheQuota(t *testing.T) {
	g, err := control.New(control.Settings{
		Gateways: 1,
		Classes:  []control.Class{{Aim: 1, Deadline: 4, Worth: 1, Repeat: control.Safe}},
		Plans:    []control.Plan{{Rate: 0.1, Burst: 10, Worth: 1, OverCost: 1}},
		Limits:   control.Limits{MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 1},
		Counter:  control.CounterInfo{Allowed: true, Timeout: 0.05},
	}, 7)
	if err != nil {
		t.Fatal(err)
	}
	g.Handle(50, control.Members{Kind: control.Snapshot, Entries: []control.Member{{Server: "s1"}}}, nil)
	decide := func(id uint64, ask bool) (sent, admitted, over bool) {
		for _, a := range g.Handle(50, control.Request{
			ID: id, Customer: 3, TimeLeft: 4, Units: 4, Spread: 1, VerdictOnly: ask,
		}, nil) {
			switch a := a.(type) {
			case control.Send:
				sent = true
			case control.Admit:
				admitted = a.ID == id
			case control.Refuse:
				over = a.Over && a.RetryAfter > 0
			}
		}
		return sent, admitted, over
	}
	if sent, admitted, _ := decide(1, true); sent || !admitted {
		t.Errorf("first request, verdict only: sent %t, admitted %t, want only admitted", sent, admitted)
	}
	if sent, admitted, _ := decide(2, false); !sent || admitted {
		t.Errorf("second request, to be sent: sent %t, admitted %t, want only sent", sent, admitted)
	}
	if _, admitted, over := decide(3, true); admitted || !over { // 8 of 10 units are spent
		t.Errorf("verdict only, beyond the quota: admitted %t, refused as over quota with a hint %t, want only refused",
			admitted, over)
	}
	if sent, _, over := decide(4, false); sent || !over {
		t.Errorf("to be sent, beyond the quota: sent %t, refused as over quota with a hint %t, want only refused", sent, over)
	}
}
