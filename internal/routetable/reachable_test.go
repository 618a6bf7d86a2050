package routetable_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/routetable"
)

// outage is a discovery that is unavailable until reachableAt, and from then on answers each call with a list in which
// the target drains, whatever version the call asks from.
type outage struct {
	listener      *pipeListener
	reachableAt   time.Time
	respondBefore http.HandlerFunc // answers calls that begin before reachableAt; nil: connections are refused
	dialHangs     bool             // connections dialed before reachableAt are never established
	pendingDials  atomic.Int64     // connections that are not established yet
}

func (o *outage) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch {
	case !time.Now().Before(o.reachableAt):
	case o.dialHangs:
		o.pendingDials.Add(1)
		defer o.pendingDials.Add(-1)
		<-ctx.Done()
		return nil, ctx.Err()
	case o.respondBefore == nil:
		return nil, errors.New("connection refused")
	}
	return o.listener.dial(ctx, network, address)
}

func (o *outage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if time.Now().Before(o.reachableAt) {
		o.respondBefore(w, r)
		return
	}
	io.WriteString(w, listLine(43, true, "s-1", "DRAINING"))
	sendHeartbeats(w, r)
}

// noResponse accepts a call and sends nothing until the caller cancels it.
func noResponse(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// abortResponse accepts a call and closes the connection without a response.
func abortResponse(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond503(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// watchUntil sends a list and heartbeats until end, and then continues with another handler.
func watchUntil(end time.Time, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, listLine(42, true, "s-1", "SERVING"))
		for {
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(min(2*time.Second, time.Until(end))):
				if !time.Now().Before(end) {
					then(w, r)
					return
				}
				io.WriteString(w, "\n")
			}
		}
	}
}

func endCleanly(http.ResponseWriter, *http.Request) {}

// However earlier calls fail, each gateway learns of a drain within 6 s of the moment in which discovery is reachable and
// has it, both with an agent each and with one discovery for all.
func TestChangesAreLearnedWithin6sOfDiscoverysReturn(t *testing.T) {
	const limit = 6 * time.Second
	for _, c := range []struct {
		name           string
		reachableAfter time.Duration // since the start of the test
		respondBefore  func(reachableAt time.Time) http.HandlerFunc
		dialHangs      bool
		gateways       []int // gateways that share one discovery; 0: 30 gateways with an agent each
	}{
		{name: "refused", reachableAfter: 8 * time.Second, gateways: []int{0, 3, 30, 300}},
		{name: "refused for long", reachableAfter: 61 * time.Second, gateways: []int{0, 3, 30, 300}},
		{name: "never come up", reachableAfter: 8 * time.Second, dialHangs: true, gateways: []int{0, 3, 30, 300}},
		{name: "given up", reachableAfter: 8 * time.Second, respondBefore: func(time.Time) http.HandlerFunc { return noResponse }, gateways: []int{0, 3, 30, 300}},
		{name: "given up for long", reachableAfter: 47 * time.Second, respondBefore: func(time.Time) http.HandlerFunc { return noResponse }, gateways: []int{0, 3, 30, 300}},
		{name: "reset", reachableAfter: 23 * time.Second, respondBefore: func(time.Time) http.HandlerFunc { return abortResponse }, gateways: []int{0, 3, 30, 300}},
		{name: "failed with 503", reachableAfter: 33 * time.Second, respondBefore: func(time.Time) http.HandlerFunc { return respond503 }, gateways: []int{0, 3, 30, 50}},
		{name: "watches end in place of telling", reachableAfter: 9 * time.Second, gateways: []int{0, 3, 30, 300},
			respondBefore: func(reachableAt time.Time) http.HandlerFunc { return watchUntil(reachableAt, endCleanly) }},
		{name: "watches are reset in place of telling", reachableAfter: 9 * time.Second, gateways: []int{0, 3, 30, 300},
			respondBefore: func(reachableAt time.Time) http.HandlerFunc { return watchUntil(reachableAt, abortResponse) }},
		{name: "watches fall silent after 13 s", reachableAfter: 13 * time.Second, gateways: []int{0, 3, 30, 300},
			respondBefore: func(reachableAt time.Time) http.HandlerFunc { return watchUntil(reachableAt, noResponse) }},
	} {
		for _, sharedBy := range c.gateways {
			t.Run(fmt.Sprintf("%s, %d ask together", c.name, sharedBy), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					o := &outage{listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})},
						reachableAt: time.Now().Add(c.reachableAfter), dialHangs: c.dialHangs}
					if c.respondBefore != nil {
						o.respondBefore = c.respondBefore(o.reachableAt)
					}
					size := sharedBy
					if size == 0 {
						size = 30
					}
					result := measureLearning(t, o, size, sharedBy)
					t.Logf("%d of %d learned, the last one %v after discovery could be reached", result.count, size, result.last)
					if result.count != size || result.last > limit {
						t.Errorf("%d of %d learned, the last one after %v, want all within %v", result.count, size, result.last, limit)
					}
				})
			})
		}
	}
}

type learnResult struct {
	count int
	last  time.Duration
}

// measureLearning runs gateways until 20 s after the discovery becomes reachable, and returns how many of them learned of
// the drain and when the last one did.
func measureLearning(t *testing.T, o *outage, gateways, sharedBy int) learnResult {
	server := &http.Server{Handler: o}
	go server.Serve(o.listener)
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	var mu sync.Mutex
	var l learnResult
	for range gateways {
		learned := false
		d := &routetable.Discovery{Address: "registry:80", Gateways: sharedBy, HasList: true, From: 41,
			Log: slog.New(slog.DiscardHandler), Dial: o.dial, Publish: func(table core.Table) {
				if learned || table.Targets[0].State != control.Draining {
					return
				}
				learned = true
				mu.Lock()
				defer mu.Unlock()
				l.count++
				l.last = max(l.last, time.Since(o.reachableAt))
			}}
		if sharedBy > 0 {
			d.AskEvery = 10 * time.Second
		}
		ended.Go(func() { d.Run(ctx) })
	}
	time.Sleep(time.Until(o.reachableAt) + 20*time.Second) // virtual time
	cancel()
	ended.Wait()
	if n := o.pendingDials.Load(); n > int64(gateways) {
		t.Errorf("%d connections of %d gateways are still being opened", n, gateways)
	}
	time.Sleep(5 * time.Second) // http.Transport goes on dialing after the call has ended
	server.Close()
	o.listener.Close()
	return l
}

// A gateway that is moved to another discovery learns of a drain there within 4 s, even if the first call there gets no
// answer, and while the old discovery keeps its watch open.
func TestMoveLearnsWithin4s(t *testing.T) {
	for _, c := range []struct {
		name  string
		first http.HandlerFunc
	}{{"answers", nil}, {"is silent first", noResponse}, {"hangs up first", abortResponse}, {"turns away first", respond503}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listeners := map[string]*pipeListener{}
				calls := 0
				handlers := map[string]http.HandlerFunc{
					"old:80": watchUntil(time.Now().Add(time.Hour), noResponse),
					"new:80": func(w http.ResponseWriter, r *http.Request) {
						if calls++; calls == 1 && c.first != nil {
							c.first(w, r)
							return
						}
						io.WriteString(w, listLine(43, true, "s-1", "DRAINING"))
						sendHeartbeats(w, r)
					},
				}
				for address, handler := range handlers {
					listeners[address] = &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
					server := &http.Server{Handler: handler}
					go server.Serve(listeners[address])
					defer listeners[address].Close()
					defer server.Close()
				}
				moves, learned := make(chan string, 1), make(chan core.Table, 8)
				d := &routetable.Discovery{Address: "old:80", AddressChanges: moves, From: 41, Log: slog.New(slog.DiscardHandler),
					Publish: func(table core.Table) { learned <- table },
					Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						return listeners[address].dial(ctx, network, address)
					}}
				ctx, cancel := context.WithCancel(t.Context())
				var ended sync.WaitGroup
				ended.Go(func() { d.Run(ctx) })
				<-learned
				moved := time.Now()
				moves <- "new:80"
				if got := <-learned; got.Targets[0].State != control.Draining {
					t.Errorf("learned %+v", got)
				}
				t.Logf("learned %v after the move", time.Since(moved))
				if late := time.Since(moved); late > 4*time.Second {
					t.Errorf("learned %v after the move", late)
				}
				cancel()
				ended.Wait()
			})
		})
	}
}

// checkFleetLearns runs gateways against one discovery that fails all calls for 33 s, and checks that each gateway learns
// of a drain within 6 s of the discovery's return.
func checkFleetLearns(t *testing.T, gateways int, respondBefore http.HandlerFunc) {
	t.Helper()
	const limit = 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		o := &outage{listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})},
			reachableAt: time.Now().Add(33 * time.Second), respondBefore: respondBefore}
		result := measureLearning(t, o, gateways, gateways)
		if result.count != gateways || result.last > limit {
			t.Errorf("%d of %d learned, the last one after %v, want all within %v", result.count, gateways, result.last, limit)
		}
	})
}

// Guards against a large fleet that learns of a drain as late as 20 s after the return of a discovery that answered 5xx
// at once.
func TestLargeFleetsLearnWithin6sOfDiscoverysReturn(t *testing.T) {
	for _, gateways := range []int{60, 300, 900} {
		t.Run(fmt.Sprintf("%d ask together", gateways), func(t *testing.T) {
			checkFleetLearns(t, gateways, respond503)
		})
	}
}

// respond503Late answers 503 after 1 s, as a discovery does whose calls fail after waiting in a queue.
func respond503Late(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(time.Second) // virtual time
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against a large fleet that learns of a drain more than 6 s after the return of a discovery whose calls failed
// after waiting in a queue.
func TestLargeFleetsLearnWithin6sOfACrowdedDiscoverysReturn(t *testing.T) {
	checkFleetLearns(t, 300, respond503Late)
}
