// Package deltastream is the serving end of configuration increments over Envoy's published incremental discovery
// service (delta ADS, v3). It owns the streams: what each reader holds, which piece is out, and what was answered.
// Which increment leads where is decided in package configdelta; where versions come from is the caller's affair.
package deltastream

import (
	"errors"
	"sync"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"

	"junctionring/configdelta"
	"junctionring/internal/controlplane"
)

var errStreamEnded = errors.New("the reader ended its stream")

// Answer is what a reader said of a version.
type Answer struct {
	Node   string
	Number int64
	Reason string // empty: it is in force there
}

// Server serves increments to any number of readers. Its methods may be called from anywhere.
type Server struct {
	mu       sync.Mutex
	history  *configdelta.History
	changed  chan struct{} // closed when there is a newer version, or the server is stalled or goes on
	stalled  bool
	onAnswer func(Answer)
}

// New makes a server that keeps so many versions as bases and sends pieces of so many bytes. answered is told of
// each answer; it must not wait.
func New(maxVersions, pieceBytes int, onAnswer func(Answer)) *Server {
	return &Server{history: configdelta.NewHistory(maxVersions, pieceBytes), changed: make(chan struct{}), onAnswer: onAnswer}
}

// Publish has all readers sent a document as the next version.
func (s *Server) Publish(number int64, epoch uint64, rollback bool, document string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.history.Publish(number, epoch, rollback, document); err != nil {
		return err
	}
	s.notifyStreams()
	return nil
}

// Add has all readers sent a state as the next version.
func (s *Server) Add(state configdelta.State, rollback bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Add(state, rollback)
	s.notifyStreams()
}

// Forget drops all bases but the newest version.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Forget()
}

// Stall keeps the streams open and sends nothing until it is called with false.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
	s.notifyStreams()
}

func (s *Server) notifyStreams() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// session is one reader's stream.
type session struct {
	server          *Server
	stream          discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	requests        chan *discovery.DeltaDiscoveryRequest
	node            string
	base            configdelta.Ref
	lastRefused     configdelta.Ref // the last version that the reader turned down: it is not sent again
	needsWholeState bool            // only a whole state helps
}

// Serve serves one stream until it ends.
func (s *Server) Serve(stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	reader := &session{server: s, stream: stream, node: first.GetNode().GetId(),
		requests: make(chan *discovery.DeltaDiscoveryRequest)}
	if reader.base, err = controlplane.DecodeRef(first.InitialResourceVersions[controlplane.ManifestName]); err != nil {
		reader.needsWholeState = true
	}
	go reader.forwardRequests()
	for {
		pieces, changed := reader.duePieces()
		if len(pieces) > 0 {
			if err := reader.sendAll(pieces); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case _, open := <-reader.requests: // an answer to nothing, or the end
			if !open {
				return nil
			}
		}
	}
}

// receive hands requests on until the stream ends.
func (r *session) forwardRequests() {
	defer close(r.requests)
	for {
		request, err := r.stream.Recv()
		if err != nil {
			return
		}
		select {
		case r.requests <- request:
		case <-r.stream.Context().Done():
			return
		}
	}
}

// due is what the reader is to be sent now; with nothing due, what to wait for.
func (r *session) duePieces() ([]configdelta.Piece, <-chan struct{}) {
	s := r.server
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.history.Newest().Ref()
	switch {
	case s.stalled || newest == r.lastRefused:
		return nil, s.changed
	case r.needsWholeState:
		return s.history.Whole(), s.changed
	}
	return s.history.From(r.base), s.changed
}

// sendAll sends the pieces of one increment, each once the one before was answered.
func (r *session) sendAll(pieces []configdelta.Piece) error {
	for _, piece := range pieces {
		message, err := controlplane.EncodePiece(piece)
		if err != nil {
			return err
		}
		if err := r.stream.Send(message); err != nil {
			return err
		}
		answer, err := r.waitForAnswer(message.Nonce)
		if err != nil {
			return err
		}
		if answer.ErrorDetail != nil {
			r.handleRefusal(piece, answer)
			return nil
		}
	}
	target := pieces[0].Target
	r.base, r.needsWholeState = configdelta.Ref{Number: target.Number, Hash: target.Hash}, false
	r.server.onAnswer(Answer{Node: r.node, Number: target.Number})
	return nil
}

// answerTo waits for the answer to one message.
func (r *session) waitForAnswer(nonce string) (*discovery.DeltaDiscoveryRequest, error) {
	for request := range r.requests {
		if request.ResponseNonce == nonce {
			return request, nil
		}
	}
	return nil, errStreamEnded
}

// turnedDown decides what follows a refusal: the whole state, once, where reader and server do not mean the same
// base; else the next version.
func (r *session) handleRefusal(piece configdelta.Piece, answer *discovery.DeltaDiscoveryRequest) {
	if codes.Code(answer.ErrorDetail.Code) == codes.FailedPrecondition && !piece.Whole {
		r.needsWholeState = true
		return
	}
	r.lastRefused = configdelta.Ref{Number: piece.Number, Hash: piece.Hash}
	r.server.onAnswer(Answer{Node: r.node, Number: piece.Number, Reason: answer.ErrorDetail.Message})
}
