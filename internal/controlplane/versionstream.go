package controlplane

import (
	"context"
	"fmt"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/structpb"
)

// versionStream is one stream of whole versions, from its request to its end. One version is at the gateway at a time
// and the newest waits; every one that is received is answered.
type versionStream struct {
	client   *Client
	stream   discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	source   int
	running  int64         // the version in force
	offering bool          // a version is at the gateway
	offered  chan answered // what the gateway said of it
	next     *answered     // the version that waits; nil: none
}

// received is a response of the stream, or its end.
type received struct {
	*discovery.DiscoveryResponse
	err error
}

// answered is what the gateway said of a version.
type answered struct {
	nonce   string
	version Version
	reason  string
	err     error
}

// followVersions keeps one stream of whole versions until it ends.
func (c *Client) followVersions(ctx context.Context, service discovery.AggregatedDiscoveryServiceClient, source int) error {
	stream, err := service.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	running, err := c.running(ctx)
	if err != nil {
		return err
	}
	s := &versionStream{client: c, stream: stream, source: source, running: running, offered: make(chan answered, 1)}
	if err := s.subscribe(); err != nil {
		return err
	}
	responses := make(chan received)
	go s.receive(ctx, responses)
	for {
		s.offerNext(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-responses:
			err = s.handle(m)
		case a := <-s.offered:
			err = s.finish(a)
		}
		if err != nil {
			return err
		}
	}
}

// subscribe asks for what follows the version in force.
func (s *versionStream) subscribe() error {
	node := &corev3.Node{Id: s.client.Node, UserAgentName: "junctionring"}
	if err := s.stream.Send(&discovery.DiscoveryRequest{Node: node, TypeUrl: TypeURL, VersionInfo: word(s.running)}); err != nil {
		return err
	}
	s.client.Log.Info("stream open", "service", s.client.Services[s.source], "from", s.running)
	return nil
}

// receive passes the responses on, and the stream's end after them.
func (s *versionStream) receive(ctx context.Context, responses chan<- received) {
	for {
		m, err := s.stream.Recv()
		select {
		case responses <- received{m, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// offerNext offers the version that waits to the gateway, unless another one is there.
func (s *versionStream) offerNext(ctx context.Context) {
	if s.offering || s.next == nil {
		return
	}
	a := *s.next
	s.offering, s.next = true, nil
	go func() {
		a.reason, a.err = s.client.Gateway.Offer(ctx, a.version)
		s.offered <- a
	}()
}

// handle takes one response in. Of two versions that wait the newer stays, and the other one is answered.
func (s *versionStream) handle(m received) error {
	if m.err != nil {
		return m.err
	}
	v, err := Decode(m.DiscoveryResponse)
	v.Source = s.source
	newer := answered{nonce: m.Nonce, version: v}
	if err != nil {
		newer.reason = err.Error()
		return s.reply(newer)
	}
	if s.next != nil {
		older := *s.next
		if v.Number < older.version.Number && !v.Rollback {
			older, newer = newer, older
		}
		older.reason = fmt.Sprintf("superseded by version %d", newer.version.Number)
		if err := s.reply(older); err != nil {
			return err
		}
	}
	s.next = &newer
	return nil
}

// finish takes in what the gateway said of the version that it was offered.
func (s *versionStream) finish(a answered) error {
	s.offering = false
	if a.err != nil { // the gateway is gone: a new stream asks from what it runs when it is back
		return fmt.Errorf("the gateway did not answer for version %d: %w", a.version.Number, a.err)
	}
	if a.reason == "" {
		s.running = a.version.Number
	}
	return s.reply(a)
}

// reply acknowledges a version, or rejects it for a reason.
func (s *versionStream) reply(a answered) error {
	r := &discovery.DiscoveryRequest{Node: &corev3.Node{Id: s.client.Node, Metadata: s.report(a)}, TypeUrl: TypeURL,
		VersionInfo: word(s.running), ResponseNonce: a.nonce}
	if a.reason != "" {
		r.ErrorDetail = &status.Status{Code: int32(codes.InvalidArgument), Message: a.reason}
	}
	return s.stream.Send(r)
}

// report is what the control service is told of this gateway beside the answer.
func (s *versionStream) report(a answered) *structpb.Struct {
	fields, err := structpb.NewStruct(map[string]any{"running": float64(s.running), "answered": float64(a.version.Number), "turned_down": a.reason})
	if err != nil { // a reason that is no UTF-8
		return nil
	}
	return fields
}
