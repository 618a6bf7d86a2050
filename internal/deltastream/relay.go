package deltastream

import (
	"context"
	"errors"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"junctionring/configdelta"
	"junctionring/internal/controlplane"
)

// Relay serves the readers of a zone from one upstream stream, so that a control service sends each increment only
// once to a zone. To the client of the upstream stream it is a gateway that accepts every complete version; the
// gateways behind the relay validate the content.
type Relay struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	server *Server

	mu    sync.Mutex
	state configdelta.State
}

// NewRelay returns a relay. The parameters are those of New.
func NewRelay(maxVersions, pieceBytes int, onAnswer func(Answer)) *Relay {
	return &Relay{server: New(maxVersions, pieceBytes, onAnswer)}
}

// DeltaAggregatedResources implements the discovery service.
func (r *Relay) DeltaAggregatedResources(stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return r.server.Serve(stream)
}

// Offer implements controlplane.Gateway.
func (r *Relay) Offer(_ context.Context, v controlplane.Version) (reason string, err error) {
	state, err := configdelta.ParseDocument(v.Number, v.Document)
	if err != nil {
		return err.Error(), nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.server.Add(state, v.Rollback)
	return "", nil
}

// Running implements controlplane.Gateway.
func (r *Relay) Running(context.Context) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Number, nil
}

// Document implements controlplane.DocumentHolder.
func (r *Relay) Document(_ context.Context, number int64) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number != r.state.Number {
		return nil, errors.New("the relay holds a different version")
	}
	return r.state.Document(), nil
}
