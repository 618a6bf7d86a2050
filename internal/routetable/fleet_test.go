package routetable_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/routetable"
)

// pipeListener is a listener of in-memory pipes, so that a test can run entirely on synctest's virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.done) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.done:
		return nil, errors.New("refused")
	}
}

// limitedRegistry is a discovery of fixed capacity. It serves calls one after another, and answers 503 to a call
// that has waited for maxWait. Such a call still takes its service time, as work does that is not canceled. Calls that
// would wait for more than twice maxWait fail at once and take no service time.
type limitedRegistry struct {
	serviceTime, maxWait time.Duration
	mu                   sync.Mutex
	nextFree             time.Time
	calls, open          atomic.Int64
}

func (b *limitedRegistry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.calls.Add(1)
	b.mu.Lock()
	turn := time.Now()
	if b.nextFree.After(turn) {
		turn = b.nextFree
	}
	if longest := time.Now().Add(2 * b.maxWait); turn.After(longest) { // the queue is full
		b.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.nextFree = turn.Add(b.serviceTime)
	b.mu.Unlock()
	wait := time.Until(turn.Add(b.serviceTime))
	if wait > b.maxWait {
		time.Sleep(b.maxWait)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(wait)
	b.open.Add(1)
	defer b.open.Add(-1)
	fmt.Fprint(w, listLine(42, true, "s-1", "SERVING"))
	sendHeartbeats(w, r)
}

// sendHeartbeats sends an empty line every 2 s, as discovery does while nothing changes.
func sendHeartbeats(w http.ResponseWriter, r *http.Request) {
	for {
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
		}
	}
}

// Gateways that start together call a discovery that cannot answer them all at once. All get their watch within the
// stated time and number of calls, and a single gateway gets it at once. This guards against retries that overload
// discovery.
func TestFleetDoesNotStormDiscovery(t *testing.T) {
	for _, size := range []struct {
		gateways    int
		serviceTime time.Duration // that discovery takes for a call
		within      time.Duration
		mostCalls   int64
		hasList     bool
		askEvery    time.Duration
	}{
		{1, time.Second / 16, 200 * time.Millisecond, 1, false, 0},
		{4, time.Second / 16, 2 * time.Second, 4, true, 10 * time.Second},
		{80, time.Second / 16, 20 * time.Second, 240, true, 0},  // all hold a list and delay their first call
		{80, time.Second / 16, 20 * time.Second, 240, false, 0}, // none holds a list: all call at once
		{80, time.Second / 16, 20 * time.Second, 240, true, 10 * time.Second},
		{200, time.Second / 16, 60 * time.Second, 800, true, 10 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d gateways, a list known: %t, to ask every %v", size.gateways, size.hasList, size.askEvery), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := &limitedRegistry{serviceTime: size.serviceTime, maxWait: 2 * time.Second}
				listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
				server := &http.Server{Handler: registry}
				go server.Serve(listener)
				ctx, cancel := context.WithCancel(t.Context())
				var ended sync.WaitGroup
				for range size.gateways {
					d := &routetable.Discovery{Address: "registry:80", HasList: size.hasList, Gateways: size.gateways, AskEvery: size.askEvery,
						Publish: func(core.Table) {}, Log: slog.New(slog.DiscardHandler), Dial: listener.dial}
					ended.Go(func() { d.Run(ctx) })
				}
				time.Sleep(size.within) // virtual time
				synctest.Wait()
				if n := registry.open.Load(); n != int64(size.gateways) {
					t.Errorf("%d of %d have their watch after %v and %d calls", n, size.gateways, size.within, registry.calls.Load())
				}
				if n := registry.calls.Load(); n > size.mostCalls {
					t.Errorf("%d calls, want %d at the most", n, size.mostCalls)
				}
				cancel()
				ended.Wait()
				server.Close()
			})
		})
	}
}

// silentAfterFirstList is a discovery whose first watches send a list and then nothing. The next silentCalls watches
// send nothing at all, and later ones receive a change.
type silentAfterFirstList struct {
	mu          sync.Mutex
	calls       int
	silentCalls int // number of further calls that receive no data
	gateways    int
}

func (f *silentAfterFirstList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.calls++
	n := f.calls
	f.mu.Unlock()
	switch {
	case n <= f.gateways:
		fmt.Fprint(w, listLine(42, true, "s-1", "SERVING"))
		w.(http.Flusher).Flush()
	case n <= f.gateways+f.silentCalls:
	default:
		fmt.Fprint(w, listLine(43, false, "s-1", "DRAINING"))
		sendHeartbeats(w, r)
	}
	<-r.Context().Done()
}

// All open watches fall silent at once after their first list, and a drain begins. The gateways are assumed to know of
// the drain 6 s later, so each must have learned of it from a new watch by then, whether they are few or hundreds, and
// with an agent each or one discovery for all. With an agent each, this holds even if the first new watch is silent.
func TestSilentWatchesAreReplacedBeforeItCounts(t *testing.T) {
	for _, size := range []struct {
		name               string
		gateways, sharedBy int
		askEvery           time.Duration
		silentCalls        int
	}{
		{"an agent each", 3, 0, 0, 0},
		{"an agent each, silent again", 3, 0, 0, 3},
		{"300 with an agent each, silent again", 300, 0, 0, 300},
		{"3 that ask one discovery", 3, 3, 10 * time.Second, 0},
		{"300 that ask one discovery", 300, 300, 10 * time.Second, 0},
	} {
		t.Run(size.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
				server := &http.Server{Handler: &silentAfterFirstList{gateways: size.gateways, silentCalls: size.silentCalls}}
				go server.Serve(listener)
				ctx, cancel := context.WithCancel(t.Context())
				var ended sync.WaitGroup
				published := make(chan core.Table, 2*size.gateways)
				for range size.gateways {
					d := &routetable.Discovery{Address: "registry:80", Gateways: size.sharedBy, AskEvery: size.askEvery,
						Publish: func(t core.Table) { published <- t }, Log: slog.New(slog.DiscardHandler), Dial: listener.dial}
					ended.Go(func() { d.Run(ctx) })
				}
				for range size.gateways { // each watch falls silent after its first list
					<-published
				}
				time.Sleep(6 * time.Second) // virtual time
				synctest.Wait()
				if len(published) != size.gateways {
					t.Errorf("%d of %d have learned of the drain", len(published), size.gateways)
				}
				cancel()
				ended.Wait()
				server.Close()
				listener.Close()
			})
		})
	}
}
