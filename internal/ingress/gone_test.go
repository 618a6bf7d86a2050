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

// gateway is a gateway under test and the figures that tell how far it is.
type gateway struct {
	address string
	core    *core.Core
	figures *telemetry.Figures
}

// stage holds the request of a client at one point of its way. hold sends the message on the client's connection and
// returns once it is held there, with what releases it and with the peers that must not see it.
type stage struct {
	name string
	hold func(t *testing.T, leaver *client, message string) (g gateway, release func(), peers []*peer)
}

// limitedFleet has so many connections in all.
func limitedFleet(conns int) *egress.Fleet {
	return egress.NewFleet(egress.Options{ConnectTimeout: 5 * time.Second, ConnIdle: time.Minute, Conns: conns})
}

func startGateway(t *testing.T, fleet *egress.Fleet, settings control.Settings, totals core.Counter, peers ...*peer) gateway {
	figures := telemetry.New("svc")
	address, c, _ := startSettings(t, 64, fleet, figures, settings, totals, peers...)
	return gateway{address, c, figures}
}

// connect gives a client that was made before its gateway its connection.
func (c *client) connect(t *testing.T, address string) {
	*c = *dial(t, address)
}

// lineCounter is a counter that answers no call before it is released.
func lineCounter(t *testing.T) (address string, called chan struct{}, release func()) {
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
			go answerCalls(c, called, released)
		}
	}()
	return l.Addr().String(), called, sync.OnceFunc(func() { close(released) })
}

func answerCalls(c net.Conn, called chan<- struct{}, released <-chan struct{}) {
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

// holdForCounter holds a first request of a customer of whom only the counter can tell.
func holdForCounter(t *testing.T, leaver *client, message string) (gateway, func(), []*peer) {
	settings := defaultSettings()
	settings.Gateways = 100
	settings.Plans[0] = control.Plan{Rate: 2, Burst: 6, Worth: 1, OverCost: 1}
	settings.Counter = control.CounterInfo{Allowed: true, Timeout: 0.7}
	address, called, release := lineCounter(t)
	line := counter.NewLineClient(address, 700*time.Millisecond)
	go line.Run(t.Context())
	p := newPeer(t)
	g := startGateway(t, limitedFleet(16), settings, line, p)
	leaver.connect(t, g.address)
	io.WriteString(leaver, strings.Replace(message, "spread=1", "spread=4", 1))
	<-called
	return g, release, []*peer{p}
}

// holdBetweenAttempts holds a request whose first attempt was turned away, and whose second waits for a connection: that
// of the only server which is ready by then does not come up.
func holdBetweenAttempts(t *testing.T, leaver *client, message string) (gateway, func(), []*peer) {
	one, two := newPeer(t), newFullPeer(t)
	g := startGateway(t, limitedFleet(16), defaultSettings(), uncounted{}, one)
	leaver.connect(t, g.address)
	io.WriteString(leaver, message)
	first := <-one.got
	g.core.Routes(mixed(one, control.Draining, two, control.Ready))
	g.core.Settle()
	one.answer(first, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	two.awaitHandshake(t)
	return g, func() { go two.accept() }, []*peer{one, two}
}

func mixed(one *peer, oneState control.MemberState, two *peer, twoState control.MemberState) core.Table {
	all := table(oneState, one)
	all.Targets = append(all.Targets, table(twoState, two).Targets...)
	return all
}

// newFullPeer is a server whose connections do not come up before it accepts: the queue of its listener is full.
func newFullPeer(t *testing.T) *peer {
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
	return &peer{l, make(chan *received, 64), make(chan net.Conn, 64)}
}

// holdWhileDialling holds a request whose connection does not come up.
func holdWhileDialling(t *testing.T, leaver *client, message string) (gateway, func(), []*peer) {
	p := newFullPeer(t)
	g := startGateway(t, limitedFleet(16), defaultSettings(), uncounted{}, p)
	leaver.connect(t, g.address)
	io.WriteString(leaver, message)
	p.awaitHandshake(t)
	return g, func() { go p.accept() }, []*peer{p}
}

// awaitHandshake waits until a connection to the server is being opened, and does not come up.
func (p *peer) awaitHandshake(t *testing.T) {
	t.Helper()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	opening := fmt.Sprintf(":%04X 02 ", p.Addr().(*net.TCPAddr).Port) // the far port, and the state SYN_SENT
	for late := time.Now().Add(10 * time.Second); ; <-look.C {
		text, err := os.ReadFile("/proc/self/net/tcp")
		if err != nil {
			t.Fatal("the kernel's list of connections cannot be read: ", err)
		}
		if strings.Contains(string(text), opening) {
			return
		}
		if time.Now().After(late) {
			t.Fatal("no connection is being opened")
		}
	}
}

// holdForConnection holds a request that waits for the only connection.
func holdForConnection(t *testing.T, leaver *client, message string) (gateway, func(), []*peer) {
	p := newPeer(t)
	g := startGateway(t, limitedFleet(1), defaultSettings(), uncounted{}, p)
	occupant := dial(t, g.address)
	io.WriteString(occupant, numbered(view, 1000))
	held := <-p.got
	leaver.connect(t, g.address)
	io.WriteString(leaver, message)
	holds(t, g.figures, 2)
	g.core.Settle()
	return g, func() { p.answer(held, ok) }, []*peer{p}
}

// reload gives each class other rules, as SIGHUP does.
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

// A client that leaves gets no attempt, first or further, wherever its request is held: once the gateway has noticed,
// what held the request is released, and the next request that a server sees is another client's.
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
				for _, leaving := range leavings {
					for _, message := range []string{view, move} {
						t.Run(fmt.Sprintf("%s, %s, %s, %s", stage.name, reload.name, leaving.name, message[:4]), func(t *testing.T) {
							t.Parallel()
							sent := leavesAt(t, stage, reload.before, reload.after, leaving.leave, message)
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
	t.Logf("attempts begun for a client that had gone: %d of %d", begun, left)
}

// leavesAt counts the attempts that are made for a client which leaves while its request is held.
func leavesAt(t *testing.T, stage stage, reloadBefore, reloadAfter bool, leave func(*net.TCPConn), message string) (begun int) {
	leaver := &client{}
	g, release, peers := stage.hold(t, leaver, numbered(message, 3))
	held := g.figures.Concurrent.Load()
	if reloadBefore {
		g.reload()
	}
	leave(leaver.Conn.(*net.TCPConn))
	holds(t, g.figures, held-1)
	if reloadAfter {
		g.reload()
	}
	g.core.Settle()
	release()
	return nextIsAnothers(t, g, peers)
}

// nextIsAnothers has another client ask until a server sees its request, and counts those that are seen before it. One
// whose time is up before its connection is there is answered, and sent anew.
func nextIsAnothers(t *testing.T, g gateway, peers []*peer) (begun int) {
	next := dial(t, g.address)
	answered := make(chan error)
	for n := 4; ; n++ {
		io.WriteString(next, strings.Replace(numbered(view, n), "b4d65521", "b4d65522", 1))
		go func() {
			_, err := http.ReadResponse(next.in, nil)
			answered <- err
		}()
		for seen := true; seen; {
			var r *received
			select {
			case r = <-peers[0].got:
			case r = <-peers[len(peers)-1].got:
			case err := <-answered:
				if err != nil {
					t.Fatal(err)
				}
				seen = false
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

// closes notes when each client has closed its connection, and how much later an attempt began for it.
type closes struct {
	mu       sync.Mutex
	at       map[string]time.Time
	attempts int
	late     []time.Duration // of each attempt that began after the close
}

func (c *closes) close(conn net.Conn, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at[id] = time.Now()
	conn.Close()
}

func (c *closes) attempt(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts++
	if at, gone := c.at[id]; gone {
		c.late = append(c.late, time.Since(at))
	}
}

// Clients leave at any time of their requests' way, between servers that answer, fail, turn away and stay silent, on
// few connections, while the settings change. No attempt begins more than 0.1 s later, beside what this machine itself
// holds a goroutine up for meanwhile.
func TestAttemptsBeginNoLaterThanTheClose(t *testing.T) {
	const clients, requests = 10, 100
	seen := &closes{at: map[string]time.Time{}}
	peers := []*peer{newPeer(t), newPeer(t), newPeer(t)}
	for _, p := range peers {
		go seen.serve(p)
	}
	g := startGateway(t, limitedFleet(6), defaultSettings(), uncounted{}, peers...)
	stop, stalled := make(chan struct{}), make(chan time.Duration, 1)
	go longestStall(stop, stalled)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for n := range requests {
				seen.leaveEarly(t, g.address, i*requests+n)
			}
		})
	}
	all.Go(func() {
		for range 20 {
			g.reload()
		}
	})
	all.Wait()
	close(stop)
	holds(t, g.figures, 0)
	stall := <-stalled
	seen.mu.Lock()
	defer seen.mu.Unlock()
	lateness := make([]time.Duration, len(seen.at)) // 0 for a client with no attempt after its close
	copy(lateness, seen.late)
	slices.Sort(lateness)
	over := 0
	for _, late := range lateness {
		if late > 100*time.Millisecond+stall {
			over++
		}
	}
	t.Logf("%d clients left, %d attempts, %d begun after the close, %d of %d over 0.1 s; lateness p99 %v, max %v (longest stall of this machine %v)",
		len(seen.at), seen.attempts, len(seen.late), over, len(seen.at), lateness[len(lateness)*99/100], lateness[len(lateness)-1], stall)
	if over > 0 {
		t.Errorf("%d attempts began more than 0.1 s after the client had gone", over)
	}
}

// leaveEarly sends one request and leaves at some time of its way.
func (c *closes) leaveEarly(t *testing.T, address string, n int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	id := fmt.Sprintf("leaver%d", n)
	text := strings.Replace(view, "9b1f03aa5c7e2d41", id, 1)
	io.WriteString(conn, strings.Replace(text, "b4d65521", fmt.Sprintf("%08x", n), 1))
	conn.SetReadDeadline(time.Now().Add(time.Duration(rand.IntN(30)) * time.Millisecond))
	conn.Read(make([]byte, 1)) // until an answer or the time to go
	c.close(conn, id)
}

// serve answers most messages after some milliseconds, turns away or fails some, and leaves a few without an answer.
func (c *closes) serve(p *peer) {
	for r := range p.got {
		c.attempt(r.Header.Get("X-Request-ID"))
		switch rand.IntN(20) {
		case 0:
			p.answer(r, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		case 1, 2:
			p.answer(r, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		case 3:
			go func() { // until the gateway closes it
				r.in.ReadByte()
				r.conn.Close()
			}()
		default:
			time.AfterFunc(time.Duration(rand.IntN(20))*time.Millisecond, func() { p.answer(r, ok) })
		}
	}
}

// longestStall measures, until stop is closed, by how much the machine at most overran a wait of a millisecond.
func longestStall(stop <-chan struct{}, longest chan<- time.Duration) {
	tick := time.NewTimer(time.Millisecond)
	var most time.Duration
	for began := time.Now(); ; began = time.Now() {
		tick.Reset(time.Millisecond)
		select {
		case <-tick.C:
			most = max(most, time.Since(began)-time.Millisecond)
		case <-stop:
			longest <- most
			return
		}
	}
}
