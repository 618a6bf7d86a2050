package ingress_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"junctionring/control"
)

// startWithShortAim starts a gateway whose safe class has an aim that is far below its deadline.
func startWithShortAim(t *testing.T, servers ...*testServer) string {
	settings := defaultSettings()
	settings.Classes[0] = control.Class{Aim: 0.2, Deadline: 2.4, Worth: 2, Repeat: control.Safe}
	address, _, _ := startWithSettings(t, 64, fleet(), nil, settings, rejectingCounter{}, servers...)
	return address
}

// Guards against a sound answer that is cut off, and asked for again elsewhere, because its body begins later after its
// head than the attempt may take to be answered.
func TestLateBodyOfABegunAnswerIsAwaited(t *testing.T) {
	body := distinctBytes(200 << 10)
	for name, c := range map[string]struct{ head, framed string }{
		"chunked":             {"Transfer-Encoding: chunked\r\n", chunkedBody(body, 16<<10)},
		"ended by the close":  {"Connection: close\r\n", body},
		"chunked, and closed": {"Connection: close\r\nTransfer-Encoding: chunked\r\n", chunkedBody(body, 16<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			p, other := newTestServer(t), newTestServer(t)
			client := dial(t, startWithShortAim(t, p, other))
			io.WriteString(client, viewRequest)
			r, _ := receiveFromEither(p, other)
			io.WriteString(r.conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n")
			late := time.NewTimer(time.Second) // five times the aim
			defer late.Stop()
			<-late.C
			go func() {
				io.WriteString(r.conn, c.framed)
				r.conn.Close()
			}()
			resp, err := http.ReadResponse(client.in, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || string(got) != body || err != nil {
				t.Errorf("answered %d with %d bytes, want 200 with %d; %v", resp.StatusCode, len(got), len(body), err)
			}
			if n := len(p.requests) + len(other.requests); n > 0 {
				t.Errorf("sent %d more times", n)
			}
		})
	}
}

// Guards against a server that holds a client beyond its time by sending a head and then nothing.
func TestBegunAnswerDoesNotHoldItsClient(t *testing.T) {
	p := newTestServer(t)
	client := dial(t, startWithShortAim(t, p))
	began := time.Now()
	io.WriteString(client, viewRequest)
	r := <-p.requests
	io.WriteString(r.conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	const deadline, slack = 3 * time.Second, 500 * time.Millisecond
	resp, _ := client.read(t)
	if took := time.Since(began); resp.StatusCode != 503 || took > deadline+slack {
		t.Errorf("answered %d after %v, want 503 within %v", resp.StatusCode, took, deadline+slack)
	}
	r.awaitClosed(t)
}
