package controlplane

import (
	"context"
	"errors"
	"fmt"
	"maps"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"

	"junctionring/configdelta"
)

// DocumentHolder is a Gateway that shows the document of a version that it has, so that increments can go on from
// it after a restart.
type DocumentHolder interface {
	Document(ctx context.Context, number int64) ([]byte, error)
}

// deltaStream is one stream of increments, from its request to its end.
type deltaStream struct {
	client *Client
	stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	source int
}

// followIncrements keeps one stream of delta ADS until it ends. The service sends one piece at a time and waits for
// its answer; a version is answered once the gateway has taken it or turned it down.
func (c *Client) followIncrements(ctx context.Context, service discovery.AggregatedDiscoveryServiceClient, source int) error {
	stream, err := service.DeltaAggregatedResources(ctx)
	if err != nil {
		return err
	}
	if err := c.resume(ctx); err != nil {
		return err
	}
	s := &deltaStream{client: c, stream: stream, source: source}
	if err := s.subscribe(); err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := s.handle(ctx, m); err != nil {
			return err
		}
	}
}

// resume makes what the gateway runs the base of what follows. A document that did not come from increments is no
// base: its number is told, and the whole state comes.
func (c *Client) resume(ctx context.Context) error {
	running, err := c.running(ctx)
	if err != nil {
		return err
	}
	if c.reader != nil && c.reader.Held().Number == running {
		c.reader.Disconnected()
		return nil
	}
	held := configdelta.State{Number: running}
	if holder, ok := c.Gateway.(DocumentHolder); ok && running > 0 {
		held = c.stateOf(ctx, holder, running)
	}
	c.reader = configdelta.NewReader(held)
	return nil
}

func (c *Client) stateOf(ctx context.Context, holder DocumentHolder, running int64) configdelta.State {
	document, err := holder.Document(ctx, running)
	if err == nil {
		var held configdelta.State
		if held, err = configdelta.ParseDocument(running, document); err == nil {
			return held
		}
	}
	c.Log.Info("what runs is no base for increments; the whole state is asked for", "version", running, "why", err)
	return configdelta.State{Number: running}
}

// subscribe asks for all parts from the base that is held.
func (s *deltaStream) subscribe() error {
	base := s.client.reader.Held().Ref()
	s.client.Log.Info("stream of increments open", "service", s.client.Services[s.source], "from", base)
	return s.stream.Send(&discovery.DeltaDiscoveryRequest{
		Node:    &corev3.Node{Id: s.client.Node, UserAgentName: "junctionring"},
		TypeUrl: PartTypeURL, ResourceNamesSubscribe: []string{"*"},
		InitialResourceVersions: map[string]string{ManifestName: EncodeRef(base)},
	})
}

// handle takes one response in and answers it.
func (s *deltaStream) handle(ctx context.Context, m *discovery.DeltaDiscoveryResponse) error {
	piece, err := DecodePiece(m)
	var state *configdelta.State
	if err == nil {
		state, err = s.client.reader.Receive(piece)
	}
	if err != nil {
		return s.refuse(m.Nonce, err)
	}
	if state == nil {
		return s.answer(m.Nonce, nil)
	}
	reason, err := s.client.Gateway.Offer(ctx, Version{Number: piece.Number, Rollback: piece.Rollback,
		Document: state.Document(), Source: s.source})
	if err != nil { // the gateway is gone: a new stream asks from what it runs when it is back
		return fmt.Errorf("the gateway did not answer for version %d: %w", piece.Number, err)
	}
	if reason != "" {
		s.client.reader.Reject()
		return s.answer(m.Nonce, &status.Status{Code: int32(codes.InvalidArgument), Message: reason})
	}
	s.client.reader.Accept()
	return s.answer(m.Nonce, nil)
}

// refuse counts and logs what was refused, and tells the service whether only a whole state mends it.
func (s *deltaStream) refuse(nonce string, err error) error {
	code := codes.Aborted
	var refusal *configdelta.Refusal
	if errors.As(err, &refusal) {
		total := s.client.countRefusal(refusal.Reason)
		s.client.Log.Warn("increment refused", "service", s.client.Services[s.source], "reason", refusal.Reason,
			"total", total, "err", err)
		if refusal.NeedsWholeState() {
			code = codes.FailedPrecondition
		}
	}
	return s.answer(nonce, &status.Status{Code: int32(code), Message: err.Error()})
}

func (s *deltaStream) answer(nonce string, detail *status.Status) error {
	return s.stream.Send(&discovery.DeltaDiscoveryRequest{TypeUrl: PartTypeURL, ResponseNonce: nonce, ErrorDetail: detail})
}

// countRefusal adds one to the refusals for a reason, and returns how many there were.
func (c *Client) countRefusal(reason configdelta.Reason) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusals == nil {
		c.refusals = map[configdelta.Reason]int{}
	}
	c.refusals[reason]++
	return c.refusals[reason]
}

// Refusals tells how many increments were refused so far, by reason.
func (c *Client) Refusals() map[configdelta.Reason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.refusals)
}
