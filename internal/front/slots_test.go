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

// Connections that wait in the listener's queue when the drain stops taking new ones are taken all the same;
// only then is the listener closed, and nothing new is taken after it.
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

// heldUp is a listener on a machine that is held up: the first deadlines that are set have passed by the time that the
// queue is to be looked at.
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
	for i := range waiting { // the kernel completes their handshakes: they wait in the queue, unaccepted
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
		t.Errorf("%d of the %d connections that waited were taken", taken, len(waiting))
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("a connection was taken after the listener stopped")
	}
}

// served is a front's server on loopback whose handler says which server it is. The slots are there once it
// takes connections.
func startServer(t *testing.T, name string) (s *Server, address string) {
	t.Helper()
	return startServerWithLimit(t, name, 64)
}

// servedWith is served with so many slots.
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

// client is a connection on which requests are sent one by one.
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

// ask sends text, a request or its rest, and returns the answer's body.
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

// gone waits for the connection's end.
func (c *client) expectClosed(t *testing.T) {
	t.Helper()
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("the connection is not closed in good order: %v", err)
	}
}

// At the end of a drain a connection that has just come, with its request not yet sent, is not closed under it;
// one that rests after a request is, also where its client has left half of it; one with a request under way,
// be it a part of its head, is not.
func TestWhatIsClosedAtTheEnd(t *testing.T) {
	s, address := startServer(t, "here")
	idle, half, fresh := dial(t, address), dial(t, address), dial(t, address)
	for _, c := range []*client{idle, half} {
		c.ask(t, request)
	}
	io.WriteString(half, request[:7])
	l := s.listener.Load()
	for arrived := 0; arrived < 3; runtime.Gosched() { // until the third is accepted, the half head read, and none is busy
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
		t.Errorf("a request half read at the end was answered %q", got)
	}
	if got := fresh.ask(t, request); got != "here" {
		t.Errorf("a connection's first request was answered %q", got)
	}
}

// busyClients ask again and again, each on one connection, until stop is closed; a request without its answer, or a
// connection that ends, is an error. They report how many answers each server gave.
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

// adopts gives a server a descriptor of its own, as another process gets one.
func adoptDuplicate(s *Server, c *net.TCPConn) bool {
	f, err := c.File()
	if err != nil {
		return false
	}
	defer f.Close()
	dup, err := net.FileConn(f)
	return err == nil && s.Adopt(dup.(*net.TCPConn))
}

// Under load every connection goes to the successor between two requests, with none lost and none closed, also one
// whose request ends late; the first server ends with nothing left. The successor answers on them.
func TestHandOverUnderLoad(t *testing.T) {
	s, address := startServer(t, "old")
	next, _ := startServer(t, "new")
	stop := make(chan struct{})
	wait := startClients(t, address, 24, stop)
	idle := dial(t, address)
	idle.ask(t, request)
	slow := dial(t, address)
	io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: g\r\n\r\n")
	for s.listener.Load().count() < 26 { // here the queue is not the successor's too
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
		t.Errorf("a connection at rest was answered by the %s server", got)
	}
	slow.Close()
	if err := <-over; err != nil {
		t.Fatal(err)
	}
	close(stop)
	if got := wait(); got["new"] == 0 {
		t.Errorf("answers by server: %v", got)
	}
}

// A successor that takes some connections and is then lost: what it did not take is served on here, new connections
// are accepted again, and the drain goes on.
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
		t.Error("handing over, and clients are welcome")
	}
	close(lost)
	if err := <-over; err == nil {
		t.Fatal("it counts as done")
	}
	for _, c := range append(clients, dial(t, address)) {
		if got := c.ask(t, request); got != "old" {
			t.Errorf("answered by %q", got)
		}
	}
	if s.Available() {
		t.Error("it was told to end, and clients are welcome")
	}
}

// A connection that has arrived and still waits for its slot is not forgotten: neither a handover nor a drain counts
// as done before it is followed.
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
	s.tryAcquire() // the only slot
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := adoptionListener{s}.Accept()
		if err != nil {
			t.Error(err)
		}
		accepted <- c
	}()
	if !s.adopt(c.(*net.TCPConn), false) { // it is taken in, and waits
		t.Fatal("nobody serves")
	}
	over := make(chan struct{})
	close(over)
	if s.waitEmpty(nil, over) {
		t.Error("a handover is done, with a connection that nobody has")
	}
	s.release()
	a := <-accepted
	a.Close()
	s.connState(a, http.StateClosed)
	if !s.waitEmpty(nil, nil) {
		t.Error("never done")
	}
	client.expectClosed(t)
}

// Clients with a part of a head fill every slot, on new connections or on used ones, and send nothing more: the one
// that has been silent longest makes room for a client that asks.
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
				t.Errorf("the one that was silent longest was told %q, and then %v", said, err)
			}
			if got := halves[slots-1].ask(t, request[c.bytes:]); got != "here" {
				t.Errorf("the one that began last, ended then: %q", got)
			}
		})
	}
}

// reading is how many connections have a part of a head.
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
