package ingress_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"junctionring/internal/telemetry"
)

// distinctBytes returns a body of n bytes that does not repeat itself, so that a misplaced part is detected.
func distinctBytes(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.String()[:n]
}

// chunkedBody encodes a body in chunks of a size, with a chunk extension and a trailer.
func chunkedBody(body string, size int) string {
	var b strings.Builder
	for ; body != ""; body = body[min(size, len(body)):] {
		piece := body[:min(size, len(body))]
		fmt.Fprintf(&b, "%x;note=1\r\n%s\r\n", len(piece), piece)
	}
	return b.String() + "0\r\nX-Trailer: 1\r\n\r\n"
}

// Guards against long answers that are buffered or changed, with each kind of framing: the beginning must reach the
// client before the target has sent the rest. After an answer with a defined end, both connections must be reused.
func TestLongAnswers(t *testing.T) {
	body := distinctBytes(3 << 20)
	for name, c := range map[string]struct {
		head, framed string
		kept         bool
	}{
		"length":         {fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, true},
		"chunked":        {"Transfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n", chunkedBody(body, 1000), true},
		"until the end":  {"Connection: close\r\n", body, false},
		"no word of end": {"", body, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestServer(t)
			address, _ := start(t, fleet(), p)
			client := dial(t, address)
			io.WriteString(client, viewRequest)
			r := <-p.requests
			first := len(c.framed) / 2
			go io.WriteString(r.conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n"+c.framed[:first])
			resp, err := http.ReadResponse(client.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			got := make([]byte, 1<<20)
			if _, err := io.ReadFull(resp.Body, got); err != nil {
				t.Fatalf("the beginning of the answer did not arrive before the rest was sent: %v", err)
			}
			go func() {
				io.WriteString(r.conn, c.framed[first:])
				if !c.kept {
					r.conn.Close()
				}
			}()
			rest, err := io.ReadAll(resp.Body)
			if string(got)+string(rest) != body || err != nil {
				t.Fatalf("got %d bytes, want the %d bytes that were sent; %v", len(got)+len(rest), len(body), err)
			}
			if !c.kept {
				return
			}
			go p.readRequest(r.conn, r.in)
			io.WriteString(client, viewRequest)
			if again := <-p.requests; again.conn != r.conn {
				t.Error("the connection to the target is not reused")
			} else {
				p.answer(again, okAnswer)
			}
			client.expectOK(t)
		})
	}
}

// Guards against a long answer that the target truncates or malforms, and that looks complete to the client. It must
// look truncated, count as failed, and not be requested again.
func TestLongAnswerIsCut(t *testing.T) {
	half := distinctBytes(1 << 20)
	for name, answer := range map[string]string{
		"length":  "Content-Length: 2097152\r\n\r\n" + half,
		"chunked": "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(chunkedBody(half, 5000), "0\r\nX-Trailer: 1\r\n\r\n"),
		"spoilt":  "Transfer-Encoding: chunked\r\n\r\n" + strings.Replace(chunkedBody(half, 5000), "0\r\nX", "zz\r\nX", 1),
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestServer(t)
			metrics := telemetry.New("svc")
			address, _, _ := startWithMetrics(t, 64, fleet(), metrics, p)
			client := dial(t, address)
			io.WriteString(client, viewRequest)
			r := <-p.requests
			go func() {
				io.WriteString(r.conn, "HTTP/1.1 200 OK\r\n"+answer)
				r.conn.Close()
			}()
			resp, err := http.ReadResponse(client.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err == nil {
				t.Errorf("%d bytes were read as a complete answer", n)
			}
			if n := metrics.Class(0); n.Error.Load() != 1 || n.Success.Load() != 0 {
				t.Errorf("counted: %d served, %d failed", n.Success.Load(), n.Error.Load())
			}
			if len(p.requests) != 0 {
				t.Error("the request was sent again")
			}
		})
	}
}

// Guards against unbounded buffering for a client that does not read: back pressure must reach the target, with no
// more kept than the sockets hold. When the client disconnects, the target's connection must be closed.
func TestLongAnswerWaitsForItsReader(t *testing.T) {
	p := newTestServer(t)
	address, _ := start(t, fleet(), p)
	client := dial(t, address)
	client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	io.WriteString(client, viewRequest)
	r := <-p.requests
	const all = 32 << 20
	wrote := make(chan int, 1)
	go func() {
		io.WriteString(r.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", all))
		n := 0
		for piece := make([]byte, 64<<10); ; {
			r.conn.SetWriteDeadline(time.Now().Add(time.Second)) // until no write succeeds for 1 s
			k, err := r.conn.Write(piece)
			if n += k; err != nil {
				wrote <- n
				return
			}
		}
	}()
	if n := <-wrote; n >= all/2 {
		t.Errorf("%d bytes of %d were taken for a client that reads nothing", n, all)
	}
	client.Close()
	r.awaitClosed(t)
}

// Guards against long bodies that are buffered before they are sent on, with a length or in chunks. The timeout must
// run from the last byte of the body.
func TestLongBodies(t *testing.T) {
	body := distinctBytes(3 << 20)
	for name, c := range map[string]struct {
		head, framed string
		length       int64
	}{
		"length":   {fmt.Sprintf("Content-Length: %d", len(body)), body, int64(len(body))},
		"expected": {fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d", len(body)), body, int64(len(body))},
		"chunked":  {"Transfer-Encoding: chunked", chunkedBody(body, 700), -1},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestServer(t)
			address, _ := start(t, fleet(), p)
			client := dial(t, address)
			io.WriteString(client, strings.Replace(strings.TrimSuffix(moveRequest, "e2e4"), "Content-Length: 4", c.head, 1))
			io.WriteString(client, c.framed[:len(c.framed)/2])
			<-p.conns // the body is sent on before the rest of it has arrived
			io.WriteString(client, c.framed[len(c.framed)/2:])
			r := <-p.requests
			if r.body != body || r.ContentLength != c.length || r.Header.Get("X-Timeout") != "2995m" || r.Header.Get("Expect") != "" {
				t.Errorf("the target got %d bytes (length %d), %v", len(r.body), r.ContentLength, r.Header)
			}
			p.answer(r, okAnswer)
			resp, body := client.read(t)
			for resp.StatusCode == http.StatusContinue {
				resp, body = client.read(t)
			}
			if resp.StatusCode != 200 || body != "here" {
				t.Errorf("answered %d %q", resp.StatusCode, body)
			}
			if resp.Close {
				return // after a chunked body a smuggled request could follow
			}
			io.WriteString(client, withID(viewRequest, 2))
			p.answer(<-p.requests, okAnswer)
			if resp, _ := client.read(t); resp.StatusCode != 200 {
				t.Errorf("the next request was answered %d", resp.StatusCode)
			}
		})
	}
}

// Guards against a long body that fails in transit being reported as successful, completed at a target, or sent
// twice. A target that cannot be reached is no such failure: nothing has been read from the client yet, so another
// target gets it.
func TestLongBodyFails(t *testing.T) {
	head := strings.Replace(strings.TrimSuffix(moveRequest, "e2e4"), "Content-Length: 4", "Content-Length: 3145728", 1)
	body := distinctBytes(3 << 20)
	for name, c := range map[string]struct {
		client func(c *client)     // runs after the first megabyte is sent
		target func(conn net.Conn) // runs on the connection from the gateway
	}{
		"the client stops":  {func(c *client) {}, nil},
		"the client ends":   {func(c *client) { c.Conn.(*net.TCPConn).CloseWrite() }, nil},
		"the target leaves": {func(c *client) { io.WriteString(c, body[1<<20:]) }, func(conn net.Conn) { conn.Close() }},
		"the target turns away": {func(c *client) { io.WriteString(c, body[1<<20:]) },
			func(conn net.Conn) { io.WriteString(conn, notProcessedAnswer); conn.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			address, _ := start(t, fleet(), &testServer{Listener: l})
			opened := make(chan net.Conn, 16)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					opened <- conn
				}
			}()
			client := dial(t, address)
			io.WriteString(client, head+body[:1<<20])
			conn := <-opened
			var got bytes.Buffer
			read := make(chan struct{})
			go func() {
				defer close(read)
				if c.target != nil {
					io.CopyN(&got, conn, 100<<10)
					c.target(conn)
					return
				}
				io.Copy(&got, conn)
			}()
			go c.client(client)
			if resp, err := http.ReadResponse(client.in, nil); err == nil && resp.StatusCode == 200 {
				t.Error("answered as though it had run")
			} else if e, ok := errors.AsType[net.Error](err); ok && e.Timeout() {
				t.Error("never answered")
			}
			<-read
			if got.Len() >= len(body) || len(opened) != 0 {
				t.Errorf("the target got %d bytes, and %d more connections", got.Len(), len(opened))
			}
		})
	}
	t.Run("nobody there", func(t *testing.T) {
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		gone.Close()
		p := newTestServer(t)
		address, _ := start(t, fleet(), &testServer{Listener: gone}, p)
		for range 4 { // each may be sent first to the target that is not there
			client := dial(t, address)
			io.WriteString(client, head+body)
			r := <-p.requests
			if r.body != body {
				t.Errorf("the target that is there got %d bytes", len(r.body))
			}
			p.answer(r, okAnswer)
			if resp, _ := client.read(t); resp.StatusCode != 200 {
				t.Errorf("answered %d", resp.StatusCode)
			}
		}
	})
}

const notProcessedAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"

// Guards against a short chunked answer that is held back until it is complete when the target sends it slowly.
func TestSlowAnswerIsPassedOn(t *testing.T) {
	p := newTestServer(t)
	address, _ := start(t, fleet(), p)
	client := dial(t, address)
	io.WriteString(client, viewRequest)
	r := <-p.requests
	io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhe")
	resp, err := http.ReadResponse(client.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	begun := make([]byte, 2)
	if _, err := io.ReadFull(resp.Body, begun); err != nil || string(begun) != "he" {
		t.Fatalf("got %q, %v", begun, err)
	}
	io.WriteString(r.conn, "re\r\n0\r\n\r\n")
	if rest, err := io.ReadAll(resp.Body); string(rest) != "re" || err != nil {
		t.Errorf("then got %q, %v", rest, err)
	}
}

// withID replaces the id of a message: the gateway rejects an id that is in use.
func withID(message string, n int) string {
	return strings.Replace(message, "9b1f03aa5c7e2d41", fmt.Sprint("id", n), 1)
}

// BenchmarkLong passes bodies and answers of several lengths through a gateway, and reports the memory that is held
// for each stream while many streams are half transferred.
func BenchmarkLong(b *testing.B) {
	for _, mb := range []int{1, 8, 32} {
		size := mb << 20
		body := strings.Repeat("x", size)
		b.Run(fmt.Sprintf("answer/%dMB", mb), func(b *testing.B) {
			p := newTestServer(b)
			address, _ := start(b, fleet(), p)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size) + body
			client := dial(b, address)
			client.SetDeadline(time.Time{})
			b.SetBytes(int64(size))
			for i := 0; b.Loop(); i++ {
				io.WriteString(client, withID(viewRequest, i))
				go p.answer(<-p.requests, answer)
				resp, err := http.ReadResponse(client.in, nil)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); n != int64(size) || err != nil {
					b.Fatal(n, err)
				}
			}
		})
		b.Run(fmt.Sprintf("body/%dMB", mb), func(b *testing.B) {
			p := newTestServer(b)
			address, _ := start(b, fleet(), p)
			client := dial(b, address)
			client.SetDeadline(time.Time{})
			message := strings.Replace(strings.TrimSuffix(moveRequest, "e2e4"), "Content-Length: 4",
				fmt.Sprintf("Content-Length: %d", size), 1) + body
			b.SetBytes(int64(size))
			for i := 0; b.Loop(); i++ {
				go io.WriteString(client, withID(message, i))
				p.answer(<-p.requests, okAnswer)
				if resp, _ := client.read(b); resp.StatusCode != 200 {
					b.Fatal(resp.StatusCode)
				}
			}
		})
		b.Run(fmt.Sprintf("held/%dMB", mb), func(b *testing.B) {
			const streams = 16
			p := newTestServer(b)
			address, _ := start(b, fleet(), p)
			var before, after runtime.MemStats
			for k := 0; b.Loop(); k++ {
				runtime.GC()
				runtime.ReadMemStats(&before)
				clients := make([]*client, streams)
				bodies := make([]*http.Response, streams)
				rest := body[size/2:]
				ends := make([]*receivedRequest, streams)
				for i := range clients {
					clients[i] = dial(b, address)
					clients[i].SetDeadline(time.Time{})
					io.WriteString(clients[i], withID(viewRequest, k*streams+i))
					ends[i] = <-p.requests
					go io.WriteString(ends[i].conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)+body[:size/2])
					var err error
					if bodies[i], err = http.ReadResponse(clients[i].in, nil); err != nil {
						b.Fatal(err)
					}
					io.CopyN(io.Discard, bodies[i].Body, int64(size/2))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc+after.StackInuse-before.StackInuse)/streams, "held-B/stream")
				for i := range clients {
					go p.answer(ends[i], rest)
					io.Copy(io.Discard, bodies[i].Body)
					clients[i].Close()
				}
			}
		})
	}
}
