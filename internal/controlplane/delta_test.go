package controlplane_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"junctionring/configdelta"
	"junctionring/internal/controlplane"
	"junctionring/internal/standin"
	"junctionring/internal/standin/controlservice"
)

// hollow is a gateway that keeps the document in force and nothing else. It outlives its clients, as a snapshot does.
type hollow struct {
	mu       sync.Mutex
	number   int64
	document []byte
	applied  []int64
	gone     bool
	hold     chan struct{} // not nil: an offer waits for it
	changed  chan struct{} // closed at each change, and made anew
}

func newHollow() *hollow { return &hollow{changed: make(chan struct{})} }

func (g *hollow) Offer(ctx context.Context, v controlplane.Version) (string, error) {
	g.mu.Lock()
	hold := g.hold
	g.mu.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.gone:
		return "", errors.New("the gateway is gone")
	case strings.Contains(string(v.Document), "broken"):
		return "route 3: there is no class \"broken\"", nil
	case v.Number <= g.number && !v.Rollback:
		return fmt.Sprintf("no newer than %d", g.number), nil
	}
	g.number, g.document, g.applied = v.Number, v.Document, append(g.applied, v.Number)
	close(g.changed)
	g.changed = make(chan struct{})
	return "", nil
}

func (g *hollow) Running(context.Context) (int64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.number, nil
}

func (g *hollow) Document(_ context.Context, number int64) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if number != g.number || g.document == nil {
		return nil, errors.New("not kept")
	}
	return g.document, nil
}

// await waits until a version is in force.
func (g *hollow) await(t testing.TB, number int64) {
	t.Helper()
	late := time.After(30 * time.Second)
	for {
		g.mu.Lock()
		now, changed := g.number, g.changed
		g.mu.Unlock()
		if now == number {
			return
		}
		select {
		case <-changed:
		case <-late:
			t.Fatalf("version %d in force, want %d", now, number)
		}
	}
}

// mustRun fails unless the document in force is this one, with no more than the lines that tell its parts.
func (g *hollow) mustRun(t testing.TB, want string) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if got := withoutMarks(string(g.document)); got != want {
		t.Errorf("%d bytes in force, want %d: another document", len(got), len(want))
	}
}

func withoutMarks(document string) string {
	var b strings.Builder
	for line := range strings.Lines(document) {
		if !strings.HasPrefix(line, "#part ") && !strings.HasPrefix(line, "#increments ") {
			b.WriteString(line)
		}
	}
	return b.String()
}

func routesDocument(routes int, class string, changed ...int) string {
	var b strings.Builder
	b.WriteString("trusted_proxies = [\"127.0.0.0/8\"]\n[[class]]\nname = \"view\"\n")
	for i := range routes {
		this := "view"
		if slices.Contains(changed, i) {
			this = class
		}
		fmt.Fprintf(&b, "[[route]]\npath = \"/service-%d/resource-%d/*\"\nclass = %q\n", i%32, i, this)
	}
	return b.String()
}

// followIncrements runs a client until the returned function, or the test's end, stops it.
func followIncrements(t testing.TB, g controlplane.Gateway, node string, services ...string) (c *controlplane.Client, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c = &controlplane.Client{Services: services, Node: node, Gateway: g, Log: slog.New(slog.DiscardHandler), Increments: true}
	go func() {
		defer close(ended)
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	stop = func() { cancel(); <-ended }
	t.Cleanup(stop)
	return c, stop
}

func pushIncrement(t testing.TB, s *controlservice.Service, number int64, epoch uint64, text string) {
	t.Helper()
	if err := s.PushIncrement(number, epoch, text, false); err != nil {
		t.Fatal(err)
	}
}

// sentDuring is how many bytes a service sends while something happens.
func sentDuring(s *controlservice.Service, do func()) int64 {
	before, _ := s.Traffic()
	do()
	after, _ := s.Traffic()
	return after - before
}

func TestIncrementsGoodBrokenAndRollback(t *testing.T) {
	s, g := service(t), newHollow()
	followIncrements(t, g, "gw-0", s.Addr())
	one := routesDocument(3000, "")
	pushIncrement(t, s, 1, 1, one)
	await(t, s, answered(1))
	g.mustRun(t, one)
	pushIncrement(t, s, 2, 1, routesDocument(3000, "broken", 7))
	if by := await(t, s, answered(2)); !strings.Contains(by[2], "there is no class") {
		t.Errorf("version 2: %q", by[2])
	}
	g.mustRun(t, one)
	three := routesDocument(3000, "other", 7)
	sent := sentDuring(s, func() {
		pushIncrement(t, s, 3, 1, three)
		await(t, s, answered(3))
	})
	g.mustRun(t, three)
	if sent > int64(len(three))/10 {
		t.Errorf("%d bytes sent for one route of a document of %d", sent, len(three))
	}
	if err := s.PushIncrement(1, 1, one, true); err != nil {
		t.Fatal(err)
	}
	g.await(t, 1)
	g.mustRun(t, one)
}

// A gateway whose client starts anew goes on from the document that it has.
func TestIncrementsGoOnAfterARestart(t *testing.T) {
	s, g := service(t), newHollow()
	_, stop := followIncrements(t, g, "gw-0", s.Addr())
	pushIncrement(t, s, 1, 1, routesDocument(3000, ""))
	g.await(t, 1)
	stop()
	three := routesDocument(3000, "other", 1, 2900)
	pushIncrement(t, s, 2, 1, routesDocument(3000, "other", 1))
	pushIncrement(t, s, 3, 1, three)
	sent := sentDuring(s, func() {
		followIncrements(t, g, "gw-0", s.Addr())
		g.await(t, 3)
	})
	g.mustRun(t, three)
	if sent > int64(len(three))/10 {
		t.Errorf("%d bytes sent to one that has the base", sent)
	}
	if !slices.Equal(g.applied, []int64{1, 3}) {
		t.Errorf("applied %v: what came meanwhile is one change", g.applied)
	}
}

// A base that the service has forgotten, or a document pushed by hand, is no base: the whole state comes in pieces.
func TestForgottenBaseGetsTheWholeState(t *testing.T) {
	s, g := service(t), newHollow()
	_, stop := followIncrements(t, g, "gw-0", s.Addr())
	pushIncrement(t, s, 1, 1, routesDocument(3000, ""))
	g.await(t, 1)
	stop()
	two := routesDocument(3000, "other", 1)
	pushIncrement(t, s, 2, 1, two)
	s.ForgetBases()
	sent := sentDuring(s, func() {
		followIncrements(t, g, "gw-0", s.Addr())
		g.await(t, 2)
	})
	g.mustRun(t, two)
	if sent < int64(len(two)) {
		t.Errorf("%d bytes sent of a whole state of %d", sent, len(two))
	}

	byHand := newHollow()
	byHand.number, byHand.document = 1, []byte(routesDocument(2, ""))
	followIncrements(t, byHand, "gw-1", s.Addr())
	byHand.await(t, 2)
	byHand.mustRun(t, two)
}

// The service goes in the middle of a whole state; the next one has it begin again. Nothing half comes into force.
func TestServiceGoneMidChange(t *testing.T) {
	text := routesDocument(3000, "")
	h := configdelta.NewHistory(1, 16<<10)
	if err := h.Publish(1, 1, false, text); err != nil {
		t.Fatal(err)
	}
	pieces := h.Whole()
	first := &script{ends: true, answers: make(chan *discovery.DeltaDiscoveryRequest, 1000)}
	for _, piece := range pieces[:len(pieces)/2] {
		m, err := controlplane.EncodePiece(piece)
		if err != nil {
			t.Fatal(err)
		}
		first.send = append(first.send, m)
	}
	second, g := service(t), newHollow()
	followIncrements(t, g, "gw-0", first.serve(t), second.Addr())
	for range first.send {
		if answer := <-first.answers; answer.ErrorDetail != nil {
			t.Fatal(answer.ErrorDetail)
		}
	}
	if n, _ := g.Running(t.Context()); n != 0 {
		t.Fatalf("version %d in force before all pieces came", n)
	}
	pushIncrement(t, second, 1, 1, text)
	g.await(t, 1)
	g.mustRun(t, text)
}

// A region is cut off while both sides go on, and is joined again: it runs what it has, and then the newest at once.
func TestCutOffAndJoined(t *testing.T) {
	s, near, far := service(t), newHollow(), newHollow()
	l := standin.NewLink(standin.LinkOptions{Delay: time.Millisecond})
	defer l.Close()
	over, err := l.To(s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	followIncrements(t, near, "near", s.Addr())
	followIncrements(t, far, "far", over)
	pushIncrement(t, s, 1, 1, routesDocument(1000, ""))
	near.await(t, 1)
	far.await(t, 1)
	l.Cut()
	for n := int64(2); n <= 9; n++ {
		pushIncrement(t, s, n, 1, routesDocument(1000, "other", int(n)))
		near.await(t, n)
	}
	far.mustRun(t, routesDocument(1000, ""))
	if err := l.Heal(); err != nil {
		t.Fatal(err)
	}
	far.await(t, 9)
	far.mustRun(t, routesDocument(1000, "other", 9))
	if !slices.Equal(far.applied, []int64{1, 9}) {
		t.Errorf("applied %v", far.applied)
	}
}

// One slow reader holds nobody up, and gets what came meanwhile as one change.
func TestSlowReader(t *testing.T) {
	s, slow, quick := service(t), newHollow(), newHollow()
	hold := make(chan struct{})
	slow.hold = hold
	followIncrements(t, slow, "slow", s.Addr())
	followIncrements(t, quick, "quick", s.Addr())
	pushIncrement(t, s, 1, 1, routesDocument(1000, ""))
	quick.await(t, 1)
	for n := int64(2); n <= 20; n++ {
		pushIncrement(t, s, n, 1, routesDocument(1000, "other", int(n)))
		quick.await(t, n)
	}
	close(hold)
	slow.await(t, 20)
	slow.mustRun(t, routesDocument(1000, "other", 20))
	if len(slow.applied) > 2 {
		t.Errorf("applied %v", slow.applied)
	}
}

// Two writers: the one whose lease went to another goes on, and is refused wherever the later one was heard of.
func TestReplacedWriterIsRefused(t *testing.T) {
	old, now, g := service(t), service(t), newHollow()
	_, stop := followIncrements(t, g, "gw-0", now.Addr())
	text := routesDocument(100, "")
	pushIncrement(t, now, 1, 6, routesDocument(100, "other", 1))
	g.await(t, 1)
	pushIncrement(t, now, 2, 7, text)
	g.await(t, 2)
	stop()
	pushIncrement(t, old, 3, 6, routesDocument(100, "other", 2))
	client, _ := followIncrements(t, g, "gw-0", old.Addr()) // a client that starts anew reads the epoch in its document
	if by := await(t, old, answered(3)); !strings.Contains(by[3], "old epoch") {
		t.Errorf("%q", by[3])
	}
	g.mustRun(t, text)
	if n := client.Refusals()[configdelta.OldEpoch]; n != 1 {
		t.Errorf("%d refusals counted", n)
	}
}

// script is a control service that sends what a test says, and keeps the answers.
type script struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	send    []*discovery.DeltaDiscoveryResponse
	ends    bool // its stream ends after the last one
	answers chan *discovery.DeltaDiscoveryRequest
}

func (s *script) DeltaAggregatedResources(stream discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	for _, m := range s.send {
		if err := stream.Send(m); err != nil {
			return err
		}
		answer, err := stream.Recv()
		if err != nil {
			return err
		}
		s.answers <- answer
	}
	if s.ends {
		return errors.New("the service is gone")
	}
	<-stream.Context().Done()
	return nil
}

// serve serves the script until the test ends, and returns where.
func (s *script) serve(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	discovery.RegisterAggregatedDiscoveryServiceServer(server, s)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// Each kind of bad increment is refused at once with its reason, and the next good one is taken.
func TestBadIncrementsAreRefused(t *testing.T) {
	h := configdelta.NewHistory(8, 256<<10)
	states := make([]configdelta.State, 4)
	for n := 1; n < len(states); n++ {
		if err := h.Publish(int64(n), 1, false, routesDocument(200, "other", n)); err != nil {
			t.Fatal(err)
		}
		states[n] = h.Newest()
	}
	message := func(from *configdelta.State, to configdelta.State) *discovery.DeltaDiscoveryResponse {
		m, err := controlplane.EncodePiece(configdelta.Diff(from, to, false, 256<<10)[0])
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	changed := func(change func(*discovery.DeltaDiscoveryResponse)) *discovery.DeltaDiscoveryResponse {
		m := proto.Clone(message(&states[1], states[2])).(*discovery.DeltaDiscoveryResponse)
		change(m)
		return m
	}
	cases := []struct {
		m    *discovery.DeltaDiscoveryResponse
		code codes.Code
		why  string
	}{
		{message(nil, states[1]), codes.OK, ""},
		{message(nil, states[1]), codes.Aborted, "duplicate"},
		{message(&states[2], states[3]), codes.FailedPrecondition, "wrong base"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) { m.Resources = m.Resources[:1] }), codes.FailedPrecondition, "wrong hash"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) { m.Resources = m.Resources[1:] }), codes.FailedPrecondition, "no manifest"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) {
			value := m.Resources[1].Resource.Value
			m.Resources[1].Resource.Value = value[:len(value)/2]
		}), codes.FailedPrecondition, "can't be read"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) { m.RemovedResources = []string{"none"} }), codes.FailedPrecondition, "unknown part"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) { m.SystemVersionInfo = "9" }), codes.FailedPrecondition, "system_version_info"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) { m.TypeUrl = controlplane.TypeURL }), codes.FailedPrecondition, "resource type"},
		{changed(func(m *discovery.DeltaDiscoveryResponse) {
			for i := range 40_000 {
				m.RemovedResources = append(m.RemovedResources, fmt.Sprintf("%016x", i))
			}
		}), codes.Aborted, "oversized"},
		{message(&states[1], states[2]), codes.OK, ""},
		{message(&states[2], states[1]), codes.Aborted, "out of order"},
	}
	s := &script{answers: make(chan *discovery.DeltaDiscoveryRequest, len(cases))}
	for _, c := range cases {
		s.send = append(s.send, c.m)
	}
	g := newHollow()
	followIncrements(t, g, "gw-0", s.serve(t))
	for i, c := range cases {
		select {
		case answer := <-s.answers:
			detail := answer.GetErrorDetail()
			if codes.Code(detail.GetCode()) != c.code || !strings.Contains(detail.GetMessage(), c.why) {
				t.Errorf("message %d: code %v, %q; want %v, %q", i, codes.Code(detail.GetCode()), detail.GetMessage(), c.code, c.why)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("message %d was not answered", i)
		}
	}
	if !slices.Equal(g.applied, []int64{1, 2}) {
		t.Errorf("applied %v", g.applied)
	}
}

func FuzzDecodePiece(f *testing.F) {
	h := configdelta.NewHistory(2, 64<<10)
	if err := h.Publish(1, 1, false, routesDocument(5, "")); err != nil {
		f.Fatal(err)
	}
	m, err := controlplane.EncodePiece(h.Whole()[0])
	if err != nil {
		f.Fatal(err)
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m discovery.DeltaDiscoveryResponse
		if proto.Unmarshal(raw, &m) != nil {
			return
		}
		p, err := controlplane.DecodePiece(&m)
		var refusal *configdelta.Refusal
		if err != nil && !errors.As(err, &refusal) {
			t.Errorf("%T: %v", err, err)
		}
		if err == nil {
			r := configdelta.NewReader(configdelta.State{})
			if state, err := r.Receive(p); err == nil && state != nil && state.Hash() != p.Hash {
				t.Error("a state with another hash was taken")
			}
		}
	})
}
