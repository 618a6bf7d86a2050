// Package controlservice is a stand-in for a control service that speaks Envoy's published aggregated discovery
// service (v3): it pushes versions, good and broken, stalls and vanishes when it is told to, and keeps what each
// node answered.
package controlservice

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/types/known/anypb"

	"junctionring/internal/controlplane"
	"junctionring/internal/controlplane/versionpb"
	"junctionring/internal/deltastream"
)

// Answer is what a node said of a pushed version.
type Answer struct {
	Node    string
	Nonce   string
	Number  int64  // that the nonce stands for
	Running string // version_info: what the node runs
	Reason  string // empty: acknowledged
	Took    time.Duration
}

// Service is the stand-in.
type Service struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer

	listener net.Listener
	server   *grpc.Server

	mu      sync.Mutex
	changed *sync.Cond
	push    []*discovery.DiscoveryResponse // all, in order
	sent    map[string]time.Time           // by nonce
	numbers map[string]int64
	answers []Answer
	nodes   map[string]string // version that each runs
	stalled bool
	ended   bool

	increments *deltastream.Server
	traffic    traffic
}

// Sizes of the incremental form.
const (
	basesKept  = 64
	pieceBytes = 64 << 10
)

// New starts a control service with nothing to say.
func New(listen string) (*Service, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &Service{listener: l, server: grpc.NewServer(grpc.MaxSendMsgSize(64<<20),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second})), sent: map[string]time.Time{},
		numbers: map[string]int64{}, nodes: map[string]string{}}
	s.changed = sync.NewCond(&s.mu)
	s.increments = deltastream.New(basesKept, pieceBytes, s.answeredIncrement)
	discovery.RegisterAggregatedDiscoveryServiceServer(s.server, s)
	go s.server.Serve(&countedListener{l, &s.traffic})
	return s, nil
}

// Addr is where the service listens.
func (s *Service) Addr() string { return s.listener.Addr().String() }

// Push sends a version to every node, and to each that comes later.
func (s *Service) Push(number int64, document string, rollback bool) {
	any, err := anypb.New(&versionpb.Version{Number: number, Rollback: rollback, Document: []byte(document)})
	if err != nil {
		panic(err) // a message of three plain fields
	}
	s.PushRaw(number, &discovery.DiscoveryResponse{VersionInfo: strconv.FormatInt(number, 10), TypeUrl: controlplane.TypeURL,
		Resources: []*anypb.Any{any}})
}

// PushRaw sends a response as it is, but for its nonce.
func (s *Service) PushRaw(number int64, r *discovery.DiscoveryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Nonce = fmt.Sprintf("%d-%d", len(s.push), number)
	s.numbers[r.Nonce] = number
	s.push = append(s.push, r)
	s.changed.Broadcast()
}

// Stall keeps the streams open and says nothing until it is called with false.
func (s *Service) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
	s.increments.Stall(on)
	s.changed.Broadcast()
}

// Vanish ends the service with all its streams, in the middle of whatever is being sent.
func (s *Service) Vanish() {
	s.mu.Lock()
	s.ended = true
	s.changed.Broadcast()
	s.mu.Unlock()
	s.server.Stop()
}

// Answers are all answers so far.
func (s *Service) Answers() []Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Answer(nil), s.answers...)
}

// Nodes tells which version each node runs.
func (s *Service) Nodes() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]string{}
	for n, v := range s.nodes {
		all[n] = v
	}
	return all
}

// Await waits until the answers are as a test wants them, or a time has passed.
func (s *Service) Await(within time.Duration, so func([]Answer) bool) error {
	late := time.AfterFunc(within, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer late.Stop()
	by := time.Now().Add(within)
	s.mu.Lock()
	defer s.mu.Unlock()
	for !so(s.answers) {
		if time.Now().After(by) {
			return fmt.Errorf("not answered as it should be in %v: %+v", within, s.answers)
		}
		s.changed.Wait()
	}
	return nil
}

// StreamAggregatedResources implements the service. A node is sent the newest version first, if it has another,
// and all that come after.
func (s *Service) StreamAggregatedResources(stream discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	hello, err := stream.Recv()
	if err != nil {
		return err
	}
	node := hello.GetNode().GetId()
	s.mu.Lock()
	s.nodes[node] = hello.VersionInfo
	at := max(0, len(s.push)-1)
	if at < len(s.push) && s.push[at].VersionInfo == hello.VersionInfo {
		at++
	}
	s.mu.Unlock()
	go func() {
		for {
			r, err := stream.Recv()
			s.mu.Lock()
			if err == nil {
				s.nodes[node] = r.VersionInfo
				s.answers = append(s.answers, Answer{Node: node, Nonce: r.ResponseNonce, Number: s.numbers[r.ResponseNonce],
					Running: r.VersionInfo, Reason: r.GetErrorDetail().GetMessage(), Took: time.Since(s.sent[node+r.ResponseNonce])})
			}
			s.changed.Broadcast()
			s.mu.Unlock()
			if err != nil {
				return
			}
		}
	}()
	for {
		s.mu.Lock()
		for !s.ended && stream.Context().Err() == nil && (s.stalled || at >= len(s.push)) {
			s.changed.Wait()
		}
		if s.ended || stream.Context().Err() != nil {
			s.mu.Unlock()
			return stream.Context().Err()
		}
		r := s.push[at]
		at++
		s.sent[node+r.Nonce] = time.Now()
		s.mu.Unlock()
		if err := stream.Send(r); err != nil {
			return err
		}
	}
}
