package controlplane_test

import (
	"fmt"
	"net"
	"testing"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"

	"junctionring/internal/deltastream"
)

// startRelay serves a relay that follows a service, and returns its address and how to end it.
func startRelay(t *testing.T, upstream string) (address string, stop func()) {
	t.Helper()
	relay := deltastream.NewRelay(64, 64<<10, func(deltastream.Answer) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(server, relay)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	followIncrements(t, relay, "relay", upstream)
	return listener.Addr().String(), server.Stop
}

// A zone behind a relay costs the control service what one reader costs, and the end of a relay moves its readers to
// the next.
func TestRelayOfAZone(t *testing.T) {
	const zone = 12
	s := service(t)
	first, endFirst := startRelay(t, s.Addr())
	second, _ := startRelay(t, s.Addr())
	gateways := make([]*hollow, zone)
	pushIncrement(t, s, 1, 1, routesDocument(2000, ""))
	for i := range gateways {
		gateways[i] = newHollow()
		followIncrements(t, gateways[i], fmt.Sprint("gw-", i), first, second)
	}
	everywhere := func(number int64) {
		for _, g := range gateways {
			g.await(t, number)
		}
	}
	everywhere(1)
	await(t, s, answered(1))
	size := int64(len(routesDocument(2000, "")))
	if sent, _ := s.Traffic(); sent > 3*size { // two relays, and not twelve gateways
		t.Errorf("the service sent %d bytes of a state of %d", sent, size)
	}
	pushIncrement(t, s, 2, 1, routesDocument(2000, "other", 9))
	everywhere(2)
	endFirst()
	last := routesDocument(2000, "other", 9, 1200)
	pushIncrement(t, s, 3, 1, last)
	everywhere(3)
	for _, g := range gateways {
		g.mustRun(t, last)
	}
}
