package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/counter"
	"junctionring/internal/egress"
	"junctionring/internal/retune"
	"junctionring/internal/telemetry"
)

// gateway is a gateway under test. Its metrics show how many requests it holds.
type gateway struct {
	address string
	core    *core.Core
	metrics *telemetry.Figures
}

// stage is one point at which the processing of a request can be blocked. hold sends message on leavingClient's
// connection and returns once the request is blocked there. It returns a function that unblocks it, and the servers
// that must not receive it.
type stage struct {
	name string
	hold func(t *testing.T, leavingClient *client, message string) (g gateway, release func(), servers []*testServer)
}

// fleetWithConns returns a fleet that opens at most conns connections.
func fleetWithConns(conns int) *egress.Fleet {
	return egress.NewFleet(egress.Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: conns})
}

func startGateway(t *testing.T, fleet *egress.Fleet, settings control.Settings, quotaCounter core.Counter,
	servers ...*testServer) gateway {
	metrics := telemetry.New("svc")
	address, c, _ := startWithSettings(t, 64, fleet, metrics, settings, quotaCounter, servers...)
	return gateway{address, c, metrics}
}

// connect opens the connection of a client that was created before its gateway's address was known.
func (c *client) connect(t *testing.T, address string) {
	*c = *dial(t, address)
}

// blockingCounter starts a counter server that answers no call until release is called. It sends to called when a
// call arrives.
func blockingCounter(t *testing.T) (address string, called chan struct{}, release func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	called, released := make(chan struct{}, 64), make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCounterCalls(c, called, released)
		}
	}()
	return l.Addr().String(), called, sync.OnceFunc(func() { close(released) })
}

func serveCounterCalls(c net.Conn, called chan<- struct{}, released <-chan struct{}) {
	defer c.Close()
	in := bufio.NewScanner(c)
	for in.Scan() {
		if in.Text() == "ping" {
			io.WriteString(c, "pong\r\n")
			continue
		}
		called <- struct{}{}
		<-released
		io.WriteString(c, "ok 0\r\n")
	}
}

// holdForCounter blocks the first request of a customer whose usage only the counter knows, while the counter is
// asked.
func holdForCounter(t *testing.T, leavingClient *client, message string) (gateway, func(), []*testServer) {
	settings := defaultSettings()
	settings.Gateways = 100
	settings.Plans[0] = control.Plan{Rate: 2, Burst: 6, Worth: 1, OverCost: 1}
	settings.Counter = control.CounterInfo{Allowed: true, Timeout: 0.7}
	address, called, release := blockingCounter(t)
	line := counter.NewLineClient(address, 700*time.Millisecond)
	go line.Run(t.Context())
	p := newTestServer(t)
	g := startGateway(t, fleetWithConns(16), settings, line, p)
	leavingClient.connect(t, g.address)
	io.WriteString(leavingClient, strings.Replace(message, "spread=1", "spread=4", 1))
	<-called
	return g, release, []*testServer{p}
}

// holdBetweenAttempts blocks a request whose first attempt was rejected unprocessed. The second attempt waits for a
// connection to the only ready server, which is not established.
func holdBetweenAttempts(t *testing.T, leavingClient *client, message string) (gateway, func(), []*testServer) {
	one, two := newTestServer(t), newTestServerWithFullBacklog(t)
	g := startGateway(t, fleetWithConns(16), defaultSettings(), rejectingCounter{}, one)
	leavingClient.connect(t, g.address)
	io.WriteString(leavingClient, message)
	first := <-one.requests
	g.core.Routes(tableWithStates(one, control.Draining, two, control.Ready))
	g.core.Settle()
	one.answer(first, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	two.awaitPendingHandshake(t)
	return g, func() { go two.acceptConns() }, []*testServer{one, two}
}

// tableWithStates returns a route table of two servers, each with its state.
func tableWithStates(one *testServer, oneState control.MemberState,
	two *testServer, twoState control.MemberState) core.Table {
	all := table(oneState, one)
	all.Targets = append(all.Targets, table(twoState, two).Targets...)
	return all
}

// newTestServerWithFullBacklog returns a server whose accept queue is full, so that no connection to it is
// established until it accepts.
func newTestServerWithFullBacklog(t *testing.T) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }) // room for one connection
	if err != nil {
		t.Fatal(err)
	}
	dial(t, l.Addr().String())
	return &testServer{l, make(chan *receivedRequest, 64), make(chan net.Conn, 64)}
}

// holdWhileDialling blocks a request whose connection is not established.
func holdWhileDialling(t *testing.T, leavingClient *client, message string) (gateway, func(), []*testServer) {
	p := newTestServerWithFullBacklog(t)
	g := startGateway(t, fleetWithConns(16), defaultSettings(), rejectingCounter{}, p)
	leavingClient.connect(t, g.address)
	io.WriteString(leavingClient, message)
	p.awaitPendingHandshake(t)
	return g, func() { go p.acceptConns() }, []*testServer{p}
}

// awaitPendingHandshake waits until a connection to the server is in state SYN_SENT.
func (p *testServer) awaitPendingHandshake(t *testing.T) {
	t.Helper()
	poll := time.NewTicker(5 * time.Millisecond)
	defer poll.Stop()
	synSent := fmt.Sprintf(":%04X 02 ", p.Addr().(*net.TCPAddr).Port) // the remote port, and the state SYN_SENT
	for deadline := time.Now().Add(10 * time.Second); ; <-poll.C {
		text, err := os.ReadFile("/proc/self/net/tcp")
		if err != nil {
			t.Fatal("the kernel's list of connections cannot be read: ", err)
		}
		if strings.Contains(string(text), synSent) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("no connection is being opened")
		}
	}
}

// holdForConnection blocks a request that waits for the only connection.
func holdForConnection(t *testing.T, leavingClient *client, message string) (gateway, func(), []*testServer) {
	p := newTestServer(t)
	g := startGateway(t, fleetWithConns(1), defaultSettings(), rejectingCounter{}, p)
	busyClient := dial(t, g.address)
	io.WriteString(busyClient, withID(viewRequest, 1000))
	held := <-p.requests
	leavingClient.connect(t, g.address)
	io.WriteString(leavingClient, message)
	awaitHeldRequests(t, g.metrics, 2)
	g.core.Settle()
	return g, func() { p.answer(held, okAnswer) }, []*testServer{p}
}

// reload changes the rules of each class, as a reload on SIGHUP does.
func (g gateway) reload() {
	old := defaultSettings()
	names := []string{"table-view", "move-submit", "stake"}
	before := retune.Start(names, old.Classes, []string{"club"}, old.Plans, old.Limits.MaxAttempts)
	changed := slices.Clone(old.Classes)
	for i := range changed {
		changed[i].Aim /= 2
	}
	next, from := before.Next(names, changed, []string{"club"}, old.Plans, old.Limits.MaxAttempts)
	g.core.Reconfigure(control.Reconfigured{Classes: retune.Rules(next.Classes), Plans: retune.Rules(next.Plans),
		From: from, Attempts: next.Attempts})
}

// Guards against an attempt for a client that has disconnected while its request was blocked at any stage. The
// request is unblocked after the gateway has noticed the disconnect; the next request at a server must be another
// client's.
func TestNoAttemptForAClientThatHasGone(t *testing.T) {
	stages := []stage{
		{"for the counter", holdForCounter},
		{"between attempts", holdBetweenAttempts},
		{"while dialling", holdWhileDialling},
		{"for a connection", holdForConnection},
	}
	reloads := []struct {
		name          string
		before, after bool
	}{{"no reload", false, false}, {"reload, then left", true, false}, {"left, then reload", false, true}}
	var begun, left int
	var mu sync.Mutex
	t.Run("stages", func(t *testing.T) {
		for _, stage := range stages {
			for _, reload := range reloads {
				for _, disconnect := range disconnects {
					for _, message := range []string{viewRequest, moveRequest} {
						t.Run(fmt.Sprintf("%s, %s, %s, %s", stage.name, reload.name, disconnect.name, message[:4]), func(t *testing.T) {
							t.Parallel()
							sent := attemptsAfterDisconnect(t, stage, reload.before, reload.after, disconnect.run, message)
							mu.Lock()
							defer mu.Unlock()
							left++
							begun += sent
						})
					}
				}
			}
		}
	})
	t.Logf("attempts begun for a client that had disconnected: %d of %d", begun, left)
}

// attemptsAfterDisconnect counts the attempts that are made for a client which disconnects while its request is
// blocked at a stage.
func attemptsAfterDisconnect(t *testing.T, stage stage, reloadBefore, reloadAfter bool,
	disconnect func(*net.TCPConn), message string) (begun int) {
	leavingClient := &client{}
	g, release, servers := stage.hold(t, leavingClient, withID(message, 3))
	held := g.metrics.Concurrent.Load()
	if reloadBefore {
		g.reload()
	}
	disconnect(leavingClient.Conn.(*net.TCPConn))
	awaitHeldRequests(t, g.metrics, held-1)
	if reloadAfter {
		g.reload()
	}
	g.core.Settle()
	release()
	return attemptsBeforeNextRequest(t, g, servers)
}

// attemptsBeforeNextRequest has another client send requests until a server receives one, and counts the requests
// that servers receive before it. A request that reaches its deadline before it has a connection is answered, and
// sent again.
func attemptsBeforeNextRequest(t *testing.T, g gateway, servers []*testServer) (begun int) {
	next := dial(t, g.address)
	answered := make(chan error)
	for n := 4; ; n++ {
		io.WriteString(next, strings.Replace(withID(viewRequest, n), "b4d65521", "b4d65522", 1))
		go func() {
			_, err := http.ReadResponse(next.in, nil)
			answered <- err
		}()
		for waiting := true; waiting; {
			var r *receivedRequest
			select {
			case r = <-servers[0].requests:
			case r = <-servers[len(servers)-1].requests:
			case err := <-answered:
				if err != nil {
					t.Fatal(err)
				}
				waiting = false
				continue
			}
			if r.Header.Get("X-Request-ID") == fmt.Sprint("id", n) {
				next.Close()
				<-answered
				return begun
			}
			t.Errorf("request %s was sent on", r.Header.Get("X-Request-ID"))
			begun++
			r.conn.Close()
		}
	}
}

// disconnectLog records when each client has closed its connection, and how long afterwards an attempt began for it.
type disconnectLog struct {
	mu           sync.Mutex
	closedAt     map[string]time.Time
	attempts     int
	lateAttempts []time.Duration // time from the close to each attempt that began after it
}

func (c *disconnectLog) close(conn net.Conn, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedAt[id] = time.Now()
	conn.Close()
}

func (c *disconnectLog) recordAttempt(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if at, closed := c.closedAt[id]; closed {
		c.lateAttempts = append(c.lateAttempts, time.Since(at))
	}
}

// Guards against attempts that begin more than 0.1 s after the client has disconnected. Clients disconnect at random
// times while servers answer, fail, reject or do not answer, connections are few and the settings are reloaded. The
// longest scheduling delay of this machine meanwhile is added to the 0.1 s.
func TestAttemptsBeginNoLaterThanTheClose(t *testing.T) {
	const clients, requests = 10, 100
	events := &disconnectLog{closedAt: map[string]time.Time{}}
	servers := []*testServer{newTestServer(t), newTestServer(t), newTestServer(t)}
	for _, p := range servers {
		go events.answerAtRandom(p)
	}
	g := startGateway(t, fleetWithConns(6), defaultSettings(), rejectingCounter{}, servers...)
	stop, stalled := make(chan struct{}), make(chan time.Duration, 1)
	go longestStall(stop, stalled)
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			for n := range requests {
				events.requestAndDisconnect(t, g.address, i*requests+n)
			}
		})
	}
	wg.Go(func() {
		for range 20 {
			g.reload()
		}
	})
	wg.Wait()
	close(stop)
	awaitHeldRequests(t, g.metrics, 0)
	stall := <-stalled
	events.mu.Lock()
	defer events.mu.Unlock()
	delays := make([]time.Duration, len(events.closedAt)) // 0 for a client with no attempt after it has disconnected
	copy(delays, events.lateAttempts)
	slices.Sort(delays)
	tooLate := 0
	for _, delay := range delays {
		if delay > 100*time.Millisecond+stall {
			tooLate++
		}
	}
	t.Logf("%d clients disconnected, %d attempts, %d begun after the disconnect, %d of %d over 0.1 s; delay p99 %v, max %v (longest scheduling delay of this machine %v)",
		len(events.closedAt), events.attempts, len(events.lateAttempts), tooLate, len(events.closedAt),
		delays[len(delays)*99/100], delays[len(delays)-1], stall)
	if tooLate > 0 {
		t.Errorf("%d attempts began more than 0.1 s after the client had disconnected", tooLate)
	}
}

// requestAndDisconnect sends one request and disconnects after a random time, or once an answer arrives.
func (c *disconnectLog) requestAndDisconnect(t *testing.T, address string, n int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	id := fmt.Sprintf("leaver%d", n)
	text := strings.Replace(viewRequest, "9b1f03aa5c7e2d41", id, 1)
	io.WriteString(conn, strings.Replace(text, "b4d65521", fmt.Sprintf("%08x", n), 1))
	conn.SetReadDeadline(time.Now().Add(time.Duration(rand.IntN(30)) * time.Millisecond))
	conn.Read(make([]byte, 1)) // until an answer arrives or the time is up
	c.close(conn, id)
}

// answerAtRandom answers most requests after some milliseconds, rejects or fails some, and leaves a few unanswered.
func (c *disconnectLog) answerAtRandom(p *testServer) {
	for r := range p.requests {
		c.recordAttempt(r.Header.Get("X-Request-ID"))
		switch rand.IntN(20) {
		case 0:
			p.answer(r, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		case 1, 2:
			p.answer(r, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		case 3:
			go func() { // waits until the gateway closes the connection
				r.in.ReadByte()
				r.conn.Close()
			}()
		default:
			time.AfterFunc(time.Duration(rand.IntN(20))*time.Millisecond, func() { p.answer(r, okAnswer) })
		}
	}
}

// longestStall measures until stop is closed, and sends the longest time by which a wait of a millisecond was
// overrun.
func longestStall(stop <-chan struct{}, result chan<- time.Duration) {
	timer := time.NewTimer(time.Millisecond)
	var longestSoFar time.Duration
	for began := time.Now(); ; began = time.Now() {
		timer.Reset(time.Millisecond)
		select {
		case <-timer.C:
			longestSoFar = max(longestSoFar, time.Since(began)-time.Millisecond)
		case <-stop:
			result <- longestSoFar
			return
		}
	}
}
