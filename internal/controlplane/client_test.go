package controlplane_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"junctionring/internal/controlplane"
	"junctionring/internal/controlplane/versionpb"
	"junctionring/internal/standin"
	"junctionring/internal/standin/controlservice"
	"junctionring/versions"
)

// gate is a gateway with the real life of versions: a document that says "broken" has a fault.
type gate struct {
	mu      sync.Mutex
	life    *versions.Lifecycle
	now     float64
	offered []int64
	hold    chan struct{} // not nil: an offer waits for it
	gone    bool
}

func newGate() *gate {
	return &gate{life: versions.New(0, versions.Offer{Source: versions.FromDisk}, false)}
}

func (g *gate) Offer(ctx context.Context, v controlplane.Version) (string, error) {
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
	if g.gone {
		return "", errors.New("the gateway is gone")
	}
	g.offered = append(g.offered, v.Number)
	reason := "no answer"
	todo := []versions.Event{versions.Offer{Source: v.Source, Number: v.Number, Digest: uint64(len(v.Document)), Rollback: v.Rollback}}
	for len(todo) > 0 {
		g.now++
		var next []versions.Event
		for _, a := range g.life.Handle(g.now, todo[0], nil) {
			done := versions.Done{Number: v.Number, Digest: uint64(len(v.Document))}
			switch a := a.(type) {
			case versions.Check:
				if strings.Contains(string(v.Document), "broken") {
					done.Faults = []string{"plan club: rate must be above 0"}
				}
				next = append(next, done)
			case versions.Stage, versions.Apply:
				next = append(next, done)
			case versions.Answer:
				reason = a.Reason
			}
		}
		todo = append(todo[1:], next...)
	}
	return reason, nil
}

func (g *gate) Running(context.Context) (int64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.life.Status().InForce.Number, nil
}

func service(t *testing.T) *controlservice.Service {
	t.Helper()
	s, err := controlservice.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Vanish)
	return s
}

// follow has a gateway follow control services until the test ends.
func follow(t *testing.T, g controlplane.Gateway, services ...string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	c := controlplane.Client{Services: services, Node: "gw-0", Gateway: g, Log: slog.New(slog.DiscardHandler)}
	go func() {
		defer close(ended)
		if err := c.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
}

func await(t *testing.T, s *controlservice.Service, so func(map[int64]string) bool) map[int64]string {
	t.Helper()
	var by map[int64]string
	if err := s.Await(30*time.Second, func(all []controlservice.Answer) bool {
		by = map[int64]string{}
		for _, a := range all {
			by[a.Number] = a.Reason
		}
		return so(by)
	}); err != nil {
		t.Fatal(err)
	}
	return by
}

func answered(n ...int64) func(map[int64]string) bool {
	return func(by map[int64]string) bool {
		for _, k := range n {
			if _, ok := by[k]; !ok {
				return false
			}
		}
		return true
	}
}

func running(t *testing.T, g controlplane.Gateway, want int64) {
	t.Helper()
	by := time.Now().Add(20 * time.Second)
	for {
		n, err := g.Running(context.Background())
		if err == nil && n == want {
			return
		}
		if time.Now().After(by) {
			t.Fatalf("version %d in force, want %d (%v)", n, want, err)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func TestGoodAndBrokenVersions(t *testing.T) {
	s, g := service(t), newGate()
	follow(t, g, s.Addr())
	s.Push(1, "fine", false)
	await(t, s, answered(1))
	s.Push(2, "broken", false)
	by := await(t, s, answered(2))
	if by[1] != "" || by[2] != "plan club: rate must be above 0" {
		t.Errorf("%v", by)
	}
	raw, err := anypb.New(&versionpb.Version{Number: 3, Document: []byte("cut")})
	if err != nil {
		t.Fatal(err)
	}
	raw.Value = raw.Value[:len(raw.Value)-2] // a truncated resource
	s.PushRaw(3, &discovery.DiscoveryResponse{VersionInfo: "3", TypeUrl: controlplane.TypeURL, Resources: []*anypb.Any{raw}})
	s.PushRaw(4, &discovery.DiscoveryResponse{VersionInfo: "4", TypeUrl: controlplane.TypeURL})
	s.PushRaw(5, &discovery.DiscoveryResponse{VersionInfo: "5", TypeUrl: "type.googleapis.com/other"})
	by = await(t, s, answered(3, 4, 5))
	for n, want := range map[int64]string{3: "can't be read", 4: "0 resources", 5: "resource type"} {
		if !strings.Contains(by[n], want) {
			t.Errorf("version %d: %q, want %q", n, by[n], want)
		}
	}
	running(t, g, 1)
	if nodes := s.Nodes(); nodes["gw-0"] != "1" {
		t.Errorf("the control service believes %v", nodes)
	}
}

// A hundred versions while one is being looked at: each is answered, and the newest is in force.
func TestFloodOfVersions(t *testing.T) {
	s, g := service(t), newGate()
	g.hold = make(chan struct{})
	follow(t, g, s.Addr())
	for len(s.Nodes()) == 0 { // a node that comes later is sent the newest only
		time.Sleep(time.Millisecond)
	}
	var all []int64
	for n := range int64(100) {
		s.Push(n+1, fmt.Sprint("document ", n), false)
		all = append(all, n+1)
	}
	await(t, s, func(by map[int64]string) bool { return len(by) >= 90 })
	g.mu.Lock()
	close(g.hold)
	g.hold = nil
	g.mu.Unlock()
	by := await(t, s, answered(all[len(all)-1]))
	if by[100] != "" || !strings.Contains(by[50], "superseded") {
		t.Errorf("100: %q, 50: %q", by[100], by[50])
	}
	running(t, g, 100)
}

// The stream breaks in the middle of a message: nothing changes, and the next stream brings it whole.
func TestStreamEndsHalfway(t *testing.T) {
	s, g := service(t), newGate()
	l := standin.NewLink(standin.LinkOptions{Delay: 5 * time.Millisecond})
	defer l.Close()
	near, err := l.To(s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	follow(t, g, near)
	s.Push(1, "fine", false)
	await(t, s, answered(1))
	l.Silence() // some of it is on its way, and never comes
	s.Push(2, strings.Repeat("document ", 500_000), false)
	time.Sleep(20 * time.Millisecond)
	l.Cut()
	running(t, g, 1)
	if err := l.Heal(); err != nil {
		t.Fatal(err)
	}
	if by := await(t, s, answered(2)); by[2] != "" {
		t.Errorf("%q", by[2])
	}
	running(t, g, 2)
}

// The control service vanishes between its message and the answer; the second one takes over, offers the same
// version, and is answered. It may disagree, but not bring an older version back, unless it says so.
func TestSecondControlService(t *testing.T) {
	first, second, g := service(t), service(t), newGate()
	follow(t, g, first.Addr(), second.Addr())
	first.Push(6, "before", false)
	await(t, first, answered(6))
	g.mu.Lock()
	g.hold = make(chan struct{})
	hold := g.hold
	g.mu.Unlock()
	first.Push(7, "fine", false)
	first.Vanish()
	g.mu.Lock()
	g.hold = nil
	close(hold)
	g.mu.Unlock()
	second.Push(7, "fine", false)
	if by := await(t, second, answered(7)); by[7] != "" {
		t.Errorf("%q", by[7])
	}
	running(t, g, 7)
	second.Push(5, "older", false)
	if by := await(t, second, answered(5)); !strings.Contains(by[5], "no newer than 7") {
		t.Errorf("%q", by[5])
	}
	second.Push(4, "back", true)
	if by := await(t, second, answered(4)); by[4] != "" {
		t.Errorf("%q", by[4])
	}
	running(t, g, 4)
}

// A message beyond all bounds ends the stream and nothing else.
func TestMessageOfFiftyMegabytes(t *testing.T) {
	s, g := service(t), newGate()
	follow(t, g, s.Addr())
	s.Push(1, "fine", false)
	await(t, s, answered(1))
	s.Push(2, strings.Repeat("x", 50<<20), false)
	s.Push(3, "fine again", false)
	if by := await(t, s, answered(3)); by[3] != "" {
		t.Errorf("%q", by[3])
	}
	running(t, g, 3)
}

// A link that says nothing more is noticed by keep-alive, and the second control service is used.
func TestSilentControlService(t *testing.T) {
	t.Parallel()
	first, second, g := service(t), service(t), newGate()
	l := standin.NewLink(standin.LinkOptions{})
	defer l.Close()
	near, err := l.To(first.Addr())
	if err != nil {
		t.Fatal(err)
	}
	follow(t, g, near, second.Addr())
	first.Push(1, "fine", false)
	await(t, first, answered(1))
	second.Push(2, "from the second", false)
	l.Silence()
	await(t, second, answered(2))
	running(t, g, 2)
}

func FuzzDecode(f *testing.F) {
	good, err := proto.Marshal(&versionpb.Version{Number: 3, Document: []byte("listen")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("3", controlplane.TypeURL, good)
	f.Add("", "", []byte{0xff})
	f.Fuzz(func(t *testing.T, info, url string, raw []byte) {
		v, err := controlplane.Decode(&discovery.DiscoveryResponse{VersionInfo: info, TypeUrl: url,
			Resources: []*anypb.Any{{TypeUrl: url, Value: raw}}})
		if err == nil && fmt.Sprint(v.Number) != info {
			t.Errorf("version %d under %q", v.Number, info)
		}
	})
}
