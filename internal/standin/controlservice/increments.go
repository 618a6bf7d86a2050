package controlservice

import (
	"strconv"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"junctionring/internal/deltastream"
)

// PushIncrement sends a version to every node that follows increments, as the writer of an epoch.
func (s *Service) PushIncrement(number int64, epoch uint64, document string, rollback bool) error {
	s.mu.Lock()
	s.sent[strconv.FormatInt(number, 10)] = time.Now()
	s.mu.Unlock()
	return s.increments.Publish(number, epoch, rollback, document)
}

// ForgetBases drops all bases of increments but the newest version.
func (s *Service) ForgetBases() { s.increments.Forget() }

// DeltaAggregatedResources implements the service's incremental form.
func (s *Service) DeltaAggregatedResources(stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return s.increments.Serve(stream)
}

// answeredIncrement keeps what a node said of a version.
func (s *Service) answeredIncrement(a deltastream.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := strconv.FormatInt(a.Number, 10)
	if a.Reason == "" {
		s.nodes[a.Node] = number
	}
	s.answers = append(s.answers, Answer{Node: a.Node, Number: a.Number, Running: s.nodes[a.Node], Reason: a.Reason,
		Took: time.Since(s.sent[number])})
	s.changed.Broadcast()
}
