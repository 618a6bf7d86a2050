package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"junctionring/internal/standin"
)

const (
	rushClients = 24
	rushEach    = 2 * time.Second // from the beginning of one rush to a gateway to that of the next
	rushLasts   = 1500 * time.Millisecond
)

// Rushed is the plan with clients at full speed at each gateway again and again, beside its other faults.
func (p Plan) Rushed() Plan {
	faults := slices.Clone(p.Faults)
	for at := quietStart; at < p.Length; at += rushEach {
		for n := range p.Gateways {
			faults = append(faults, Fault{At: at, For: rushLasts, Kind: Rush, Target: n})
		}
	}
	p.Faults = faults
	return p
}

// rushKinds are what clients at full speed send. None of it reaches a server.
var rushKinds = []standin.Rush{
	{Request: readinessRequest},
	{Request: readinessRequest, Unread: true},
	{Request: readinessRequest, Redial: true, Answered: true},
	{Request: func(int) string { return "nonsense\r\n\r\n" }},
	{Request: func(n int) string {
		return fmt.Sprintf("GET /class-%d HTTP/1.1\r\nHost: g\r\nX-Request-ID: %d\r\n\r\n", n, n)
	}},
	{Request: func(n int) string {
		return fmt.Sprintf("GET /view/1 HTTP/1.1\r\nHost: g\r\nX-Request-ID: rush%d\r\nX-Plan: plan-%d\r\n\r\n", n, n)
	}},
}

func readinessRequest(int) string { return "GET /health/ready HTTP/1.1\r\nHost: g\r\n\r\n" }

// rush has clients send requests of one kind to a gateway at full speed for some time.
func (w *gateway) rush(d time.Duration, random *rand.Rand) {
	kind := rushKinds[random.IntN(len(rushKinds))]
	ends := time.Now().Add(d)
	var clients sync.WaitGroup
	for range rushClients {
		clients.Go(func() { kind.Run(w.listen, ends) })
	}
	clients.Wait()
}
