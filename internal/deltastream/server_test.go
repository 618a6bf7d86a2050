package deltastream_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	status "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"

	"junctionring/configdelta"
	"junctionring/internal/controlplane"
	"junctionring/internal/deltastream"
)

type service struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	server *deltastream.Server
}

func (s service) DeltaAggregatedResources(stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return s.server.Serve(stream)
}

// reader is the client side of one stream. The test determines its answers.
type reader struct {
	t      *testing.T
	stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
}

// openStream opens a stream for a reader that holds a base.
func openStream(t *testing.T, s *deltastream.Server, base configdelta.Ref) *reader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(server, service{server: s})
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	stream, err := discovery.NewAggregatedDiscoveryServiceClient(conn).DeltaAggregatedResources(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r := &reader{t, stream}
	r.send(&discovery.DeltaDiscoveryRequest{
		InitialResourceVersions: map[string]string{controlplane.ManifestName: controlplane.EncodeRef(base)}})
	return r
}

func (r *reader) send(request *discovery.DeltaDiscoveryRequest) {
	r.t.Helper()
	if err := r.stream.Send(request); err != nil {
		r.t.Fatal(err)
	}
}

// expect receives a piece of the given version and answers it with a status code.
func (r *reader) expect(number int64, whole bool, code codes.Code) {
	r.t.Helper()
	m, err := r.stream.Recv()
	if err != nil {
		r.t.Fatal(err)
	}
	p, err := controlplane.DecodePiece(m)
	if err != nil {
		r.t.Fatal(err)
	}
	if p.Number != number || p.Whole != whole {
		r.t.Fatalf("version %d, whole %v; want %d, %v", p.Number, p.Whole, number, whole)
	}
	request := &discovery.DeltaDiscoveryRequest{ResponseNonce: m.Nonce}
	if code != codes.OK {
		request.ErrorDetail = &status.Status{Code: int32(code), Message: "refused by the test"}
	}
	r.send(request)
}

func document(changed int) string {
	var b strings.Builder
	for i := range 100 {
		fmt.Fprintf(&b, "[[route]]\npath = \"/resource-%d/*\"\nclass = \"%v\"\n", i, i == changed)
	}
	return b.String()
}

// After a refusal of the base, the server must send the whole state, once; after any other refusal, the next version;
// after an acknowledgement, only the next change.
func TestWhatFollowsAnAnswer(t *testing.T) {
	var answers []deltastream.Answer
	notified := make(chan struct{}, 16)
	s := deltastream.New(8, 64<<10, func(a deltastream.Answer) {
		answers = append(answers, a)
		notified <- struct{}{}
	})
	publish := func(number int64) {
		t.Helper()
		if err := s.Publish(number, 1, false, document(int(number))); err != nil {
			t.Fatal(err)
		}
	}
	publish(1)
	r := openStream(t, s, configdelta.Ref{Number: 9}) // a base that the server does not know
	r.expect(1, true, codes.OK)
	<-notified
	publish(2)
	r.expect(2, false, codes.FailedPrecondition)
	r.expect(2, true, codes.FailedPrecondition)
	<-notified
	publish(3)
	r.expect(3, true, codes.OK)
	<-notified
	publish(4)
	r.expect(4, false, codes.InvalidArgument)
	<-notified
	publish(5)
	r.expect(5, false, codes.Aborted)
	<-notified
	publish(6)
	r.expect(6, false, codes.OK)
	<-notified
	for i, want := range []string{"", "refused by the test", "", "refused by the test", "refused by the test", ""} {
		if answers[i].Number != int64(i+1) || answers[i].Reason != want {
			t.Errorf("answer %d: %+v", i, answers[i])
		}
	}
}
