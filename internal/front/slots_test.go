package front

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// Connections that are in the accept queue when the drain stops accepting are still accepted. Only then is the
// listener closed, and no connection is accepted after that.
func TestStopTakesWhatWaits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Run("in time", func(t *testing.T) { testStopAcceptsQueued(t, l) })
	if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Run("held up", func(t *testing.T) {
		testStopAcceptsQueued(t, &lateListener{TCPListener: l.(*net.TCPListener), times: 3})
	})
}

// lateListener simulates a machine under load: the first deadlines that are set have passed by the time that the accept
// queue is checked.
type lateListener struct {
	*net.TCPListener
	times int
}

func (l *lateListener) SetDeadline(t time.Time) error {
	if l.times--; l.times >= 0 {
		t = time.Unix(1, 0)
	}
	return l.TCPListener.SetDeadline(t)
}

func testStopAcceptsQueued(t *testing.T, l net.Listener) {
	var err error
	s := newLimitListener(l, 64)
	waiting := make([]net.Conn, 5)
	for i := range waiting { // the kernel completes the handshakes; the connections wait in the accept queue
		if waiting[i], err = net.Dial("tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		defer waiting[i].Close()
		io.WriteString(waiting[i], request)
	}
	stopped := s.stop()
	taken := 0
	for {
		c, err := s.Accept()
		if err != nil {
			if !errors.Is(err, errListenerStopped) {
				t.Fatalf("accept: %v", err)
			}
			break
		}
		taken++
		c.Close()
	}
	<-stopped
	if taken != len(waiting) {
		t.Errorf("%d of the %d queued connections were accepted", taken, len(waiting))
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was accepted after the listener stopped")
	}
}

// startServer starts a front's server on loopback that answers with its name. Its limitListener is set when it returns.
func startServer(t *testing.T, name string) (s *Server, address string) {
	t.Helper()
	return startServerWithLimit(t, name, 64)
}

// startServerWithLimit is like startServer with a given connection limit.
func startServerWithLimit(t *testing.T, name string, limit int) (s *Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
		io.WriteString(w, name)
	}), MaxHeader, nil, slog.New(slog.DiscardHandler))
	go s.Serve(l, limit)
	t.Cleanup(func() { s.http.Close() })
	for s.listener.Load() == nil {
		runtime.Gosched()
	}
	s.MarkReady()
	return s, l.Addr().String()
}

// client is a connection for sending requests one at a time.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{c, bufio.NewReader(c)}
}

const request = "GET /table-view/1 HTTP/1.1\r\nHost: g\r\n\r\n"

// ask sends text, a request or the remainder of one, and returns the body of the response.
func (c *client) ask(t *testing.T, text string) string {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// expectClosed waits for the end of the connection, which has to be an orderly close.
func (c *client) expectClosed(t *testing.T) {
	t.Helper()
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("the connection did not end with an orderly close: %v", err)
	}
}

// At the end of a drain, a connection that is idle after a request is closed. A new connection whose request is not yet
// sent is not closed, and neither is one with a request in progress, even if only part of its header has arrived.
func TestWhatIsClosedAtTheEnd(t *testing.T) {
	s, address := startServer(t, "here")
	idle, half, fresh := dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []*client{idle, half} {
		c.ask(t, request)
	}
	io.WriteString(half, request[:7])
	l := s.listener.Load()
	for arrived := 0; arrived < 3; runtime.Gosched() { // until all are accepted, the partial header is read, and none is active
		l.mu.Lock()
		arrived = 0
		for c := range l.conns {
			c.mu.Lock()
			if c.phase == phaseIdle && c.RemoteAddr().String() == half.LocalAddr().String() || c.phase == phaseBeforeIdle || c.phase == phaseActive {
				arrived--
			}
			c.mu.Unlock()
			arrived++
		}
		l.mu.Unlock()
	}
	l.closeIdle(0)
	idle.expectClosed(t)
	if got := half.ask(t, request[7:]); got != "here" {
		t.Errorf("a request with a partial header at the end of the drain was answered %q", got)
	}
	if got := fresh.ask(t, request); got != "here" {
		t.Errorf("a connection's first request was answered %q", got)
	}
}

// startClients starts n clients that each send requests on one connection until stop is closed. A request without a
// response and a connection that ends are errors. wait returns how many responses each server gave.
func startClients(t *testing.T, address string, n int, stop <-chan struct{}) (wait func() map[string]int) {
	t.Helper()
	counts := make(chan map[string]int, n)
	for range n {
		c := dial(t, address)
		go func() {
			got := map[string]int{}
			defer func() { counts <- got }()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(c, request); err != nil {
					t.Errorf("a request could not be sent: %v", err)
					return
				}
				resp, err := http.ReadResponse(c.in, nil)
				if err != nil {
					t.Errorf("a request got no answer: %v", err)
					return
				}
				b, _ := io.ReadAll(resp.Body)
				if resp.Close || resp.StatusCode != 200 {
					t.Errorf("answered %d, close %v", resp.StatusCode, resp.Close)
				}
				got[string(b)]++
			}
		}()
	}
	return func() map[string]int {
		all := map[string]int{}
		for range n {
			for name, k := range <-counts {
				all[name] += k
			}
		}
		return all
	}
}

// adoptDuplicate has a server adopt a duplicate of the connection's descriptor, as another process would get one.
func adoptDuplicate(s *Server, c *net.TCPConn) bool {
	f, err := c.File()
	if err != nil {
		return false
	}
	defer f.Close()
	dup, err := net.FileConn(f)
	return err == nil && s.Adopt(dup.(*net.TCPConn))
}

// Under load, every connection is transferred to the successor between two requests, including one whose request ends
// late. No request is lost and no connection closed. The first server ends with no connection left, and the successor
// answers on the transferred ones.
func TestHandOverUnderLoad(t *testing.T) {
	s, address := startServer(t, "old")
	next, _ := startServer(t, "new")
	stop := make(chan struct{})
	wait := startClients(t, address, 24, stop)
	idle := dial(t, address)
	idle.ask(t, request)
	slow := dial(t, address)
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: g\r\n\r\n")
	for s.listener.Load().count() < 26 { // in this test the successor does not share the accept queue
		runtime.Gosched()
	}
	over := make(chan error, 1)
	go func() {
		over <- s.HandOver(t.Context(), func(c *net.TCPConn) bool { return adoptDuplicate(next, c) }, nil)
	}()
	for next.listener.Load().count() < 25 && !t.Failed() {
		runtime.Gosched()
	}
	if got := idle.ask(t, request); got != "new" {
		t.Errorf("an idle connection was answered by the %s server", got)
	}
	slow.Close()
	if err := <-over; err != nil {
		t.Fatal(err)
	}
	close(stop)
	if got := wait(); got["new"] == 0 {
		t.Errorf("responses by server: %v", got)
	}
}

// The successor declines connections and is then lost. Those it did not take are still served here, new connections are
// accepted again, and the server stays in its drain.
func TestHandOverIsBrokenOff(t *testing.T) {
	s, address := startServer(t, "old")
	clients := make([]*client, 6)
	for i := range clients {
		clients[i] = dial(t, address)
		clients[i].ask(t, request)
	}
	lost := make(chan struct{})
	tried := make(chan struct{}, 64)
	over := make(chan error, 1)
	go func() {
		over <- s.HandOver(t.Context(), func(*net.TCPConn) bool { tried <- struct{}{}; return false }, lost)
	}()
	for range clients {
		<-tried
	}
	if s.Available() {
		t.Error("the server is available during a handover")
	}
	close(lost)
	if err := <-over; err == nil {
		t.Fatal("a handover to a lost successor returned no error")
	}
	for _, c := range append(clients, dial(t, address)) {
		if got := c.ask(t, request); got != "old" {
			t.Errorf("answered by %q", got)
		}
	}
	if s.Available() {
		t.Error("the server is available after a failed handover")
	}
}

// A connection that is adopted and still waits for a place below the connection limit is counted: neither a handover
// nor a drain is complete before it is tracked.
func TestArrivalIsCounted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := dial(t, l.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	s := newLimitListener(l, 1)
	s.tryAcquire() // the only place
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := adoptionListener{s}.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	if !s.adopt(c.(*net.TCPConn), false) { // it is adopted, and waits
		t.Fatal("the connection was not adopted")
	}
	over := make(chan struct{})
	close(over)
	if s.waitEmpty(nil, over) {
		t.Error("waitEmpty returned true with an adoption pending")
	}
	s.release()
	a := <-accepted
	a.Close()
	s.connState(a, http.StateClosed)
	if !s.waitEmpty(nil, nil) {
		t.Error("waitEmpty returned false without a connection left")
	}
	client.expectClosed(t)
}

// Clients that sent a partial header on new or used connections use up the connection limit and send nothing more. The
// connection that has been silent longest is closed for a client that sends a request.
func TestHalfHeadsMakeRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		used  bool
		bytes int
	}{{"new", false, 30}, {"new, one byte", false, 1}, {"used", true, 30}, {"used, one byte", true, 1}, {"used, three bytes", true, 3}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const slots = 8
			s, address := startServerWithLimit(t, "here", slots)
			halves := make([]*client, slots)
			for i := range halves {
				halves[i] = dial(t, address)
				if c.used {
					halves[i].ask(t, request)
				}
				io.WriteString(halves[i], request[:c.bytes])
				for s.countReadingHeader() != i+1 {
					runtime.Gosched()
				}
			}
			began := time.Now()
			if got := dial(t, address).ask(t, request); got != "here" {
				t.Errorf("answered %q", got)
			}
			t.Logf("served after %v", time.Since(began))
			if said, err := io.ReadAll(halves[0].in); err != nil {
				t.Errorf("the connection that was silent longest got %q, then %v", said, err)
			}
			if got := halves[slots-1].ask(t, request[c.bytes:]); got != "here" {
				t.Errorf("the connection that began last, completing its request, was answered %q", got)
			}
		})
	}
}

// countReadingHeader returns how many connections have a partial header.
func (s *Server) countReadingHeader() (n int) {
	l := s.listener.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		if c.phase == phaseReadingHeader {
			n++
		}
		c.mu.Unlock()
	}
	return n
}
