package main

import (
	"log/slog"
	"net"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"junctionring/internal/deltastream"
)

const (
	relayBases      = 64       // versions that readers may have as their base
	relayPieceBytes = 64 << 10 // of one message
	relayPings      = 5 * time.Second
)

// serveRelay serves a relay until stop is called.
func serveRelay(address string, log *slog.Logger) (relay *deltastream.Relay, stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	relay = deltastream.NewRelay(relayBases, relayPieceBytes, func(a deltastream.Answer) {
		log.Info("answered", "node", a.Node, "version", a.Number, "reason", a.Reason)
	})
	server := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: relayPings}))
	discovery.RegisterAggregatedDiscoveryServiceServer(server, relay)
	go server.Serve(listener)
	log.Info("relay serving", "listen", listener.Addr())
	return relay, server.Stop, nil
}
