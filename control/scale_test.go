package control_test

import (
	"fmt"
	"runtime"
	"testing"

	"junctionring/control"
)

// BenchmarkHandleAtSize shows the cost of a request with all its answers at the planned rate of a gateway, by the
// number of active customers and by the number of servers.
func BenchmarkHandleAtSize(b *testing.B) {
	for _, customers := range []int{100, 800, 3200, 12_000, 98_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) { benchmarkAt(b, customers, 100) })
	}
	for _, servers := range []int{10, 100, 1000, 4000, 13_000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) { benchmarkAt(b, 100, servers) })
	}
}

func benchmarkAt(b *testing.B, customers, servers int) {
	const rate = 267 // requests a second that are planned for a gateway
	s := settings()
	s.Gateways = 1200
	g, err := control.New(s, 1)
	if err != nil {
		b.Fatal(err)
	}
	now, acts, calls := 1000.0, []control.Action(nil), 0
	before := heapInUse()
	g.Handle(now, control.Members{Kind: control.Cached, Entries: readyMembers(serverNames(servers)...)}, nil)
	due := now
	request := func(i int) {
		now += 1.0 / rate
		acts = g.Handle(now, control.Request{
			ID: uint64(i), Customer: uint64(i % customers), TimeLeft: 3, Units: 1, Spread: 1200,
		}, acts[:0])
		if due <= now {
			acts = g.Handle(now, control.Timer{}, acts)
		}
		for i := 0; i < len(acts); i++ { // actions that follow from these answers are answered as well
			switch a := acts[i].(type) {
			case control.Send:
				acts = g.Handle(now, control.Outcome{ID: a.ID, Server: a.Server, Status: control.OK, Closed: true}, acts)
			case control.Count:
				calls++
				acts = g.Handle(now, control.Counted{Name: a.Name, Total: a.Amount, Elapsed: 0.002}, acts)
			case control.SetTimer:
				due = now + a.Delay
			}
		}
	}
	for i := range max(customers, 2000) { // all customers are known, and answer times are learned
		request(i)
	}
	after := heapInUse()
	calls = 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		request(customers + 2000 + i)
	}
	b.StopTimer()
	b.ReportMetric(float64(calls)/float64(b.N), "calls/op")
	b.ReportMetric(float64(after-before)/1024, "state-KB")
	runtime.KeepAlive(g)
}

// heapInUse returns the allocated heap after a garbage collection, in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
