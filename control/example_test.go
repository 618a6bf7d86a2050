package control_test

import (
	"fmt"

	"junctionring/control"
)

// The caller passes events to a gateway and carries out the actions that it returns.
func Example() {
	g, err := control.New(control.Settings{
		Gateways: 1,
		Classes:  []control.Class{{Aim: 0.5, Deadline: 2, Worth: 1, Repeat: control.Safe}},
		Plans:    []control.Plan{{Rate: 5, Burst: 10, Worth: 1, OverCost: 1}},
		Limits:   control.Limits{MaxAttempts: 2},
		Counter:  control.CounterInfo{Allowed: true, Timeout: 0.05},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 100.0
	var acts []control.Action
	acts = g.Handle(now, control.Members{Kind: control.Snapshot, Entries: []control.Member{{Server: "s1"}}}, acts[:0])
	acts = g.Handle(now, control.Request{ID: 1, Customer: 7, TimeLeft: 2, Units: 1, Spread: 1}, acts[:0])
	for _, a := range acts {
		if send, ok := a.(control.Send); ok {
			fmt.Printf("send request %d to %s\n", send.ID, send.Server)
		}
	}
	// Output: send request 1 to s1
}
