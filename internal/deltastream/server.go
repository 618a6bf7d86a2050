// Package deltastream serves configuration increments over Envoy's incremental discovery service (delta ADS, v3), and
// tracks for each stream which state the reader holds, which piece was sent and how the reader answered. It does not
// compute increments, which package configdelta does, and does not decide where versions come from.
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

// Answer is a reader's answer to a version.
type Answer struct {
	Node   string
	Number int64
	Reason string // empty if the version is in force at the reader
}

// Server serves increments to any number of readers. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	history  *configdelta.History
	changed  chan struct{} // closed when a version is added or Stall is called, and then replaced
	stalled  bool
	onAnswer func(Answer)
}

// New returns a server that keeps up to maxVersions versions as bases and sends pieces of up to pieceBytes bytes. It
// calls onAnswer for each answer to a version; onAnswer must not block.
func New(maxVersions, pieceBytes int, onAnswer func(Answer)) *Server {
	return &Server{history: configdelta.NewHistory(maxVersions, pieceBytes), changed: make(chan struct{}), onAnswer: onAnswer}
}

// Publish adds a document as the next version to send to all readers.
func (s *Server) Publish(number int64, epoch uint64, rollback bool, document string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.history.Publish(number, epoch, rollback, document); err != nil {
		return err
	}
	s.notifyStreams()
	return nil
}

// Add adds a state as the next version to send to all readers.
func (s *Server) Add(state configdelta.State, rollback bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Add(state, rollback)
	s.notifyStreams()
}

// Forget removes all bases except the newest version.
func (s *Server) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Forget()
}

// Stall with true stops sending increments, but keeps the streams open, until it is called with false.
func (s *Server) Stall(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = on
	s.notifyStreams()
}

// notifyStreams wakes the streams that wait for a change. The caller holds s.mu.
func (s *Server) notifyStreams() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// session is the stream of one reader.
type session struct {
	server          *Server
	stream          discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer
	requests        chan *discovery.DeltaDiscoveryRequest
	node            string
	base            configdelta.Ref
	lastRefused     configdelta.Ref // last version that the reader refused; it is not sent again
	needsWholeState bool            // the next increment must contain the whole state
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
		case _, open := <-reader.requests: // an answer that nothing waits for, or the end of the stream
			if !open {
				return nil
			}
		}
	}
}

// forwardRequests passes received requests to r.requests until the stream ends.
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

// duePieces returns the pieces to send now, if any, and a channel that is closed at the next change.
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

// sendAll sends the pieces of one increment, each after the previous one was answered.
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

// waitForAnswer waits for the reader's answer to one message.
func (r *session) waitForAnswer(nonce string) (*discovery.DeltaDiscoveryRequest, error) {
	for request := range r.requests {
		if request.ResponseNonce == nonce {
			return request, nil
		}
	}
	return nil, errStreamEnded
}

// handleRefusal determines what is sent after a refusal: the whole state, once, if reader and server disagree about
// the base, otherwise the next version.
func (r *session) handleRefusal(piece configdelta.Piece, answer *discovery.DeltaDiscoveryRequest) {
	if codes.Code(answer.ErrorDetail.Code) == codes.FailedPrecondition && !piece.Whole {
		r.needsWholeState = true
		return
	}
	r.lastRefused = configdelta.Ref{Number: piece.Number, Hash: piece.Hash}
	r.server.onAnswer(Answer{Node: r.node, Number: piece.Number, Reason: answer.ErrorDetail.Message})
}
