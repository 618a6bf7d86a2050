package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	leastMemoryMB   = 32
	slowClients     = 330 // connected at once; under the descriptors' share for clients
	usualClients    = 12
	tableServers    = 10      // a gateway opens a limited number of connections to each
	streamedSize    = 8 << 20 // bytes of a long answer
	slowClientsLast = 6 * time.Second
	reconnectPause  = 250 * time.Millisecond // of a slow client
)

// slowClient is a kind of client that holds on to what the gateway keeps for it.
type slowClient struct {
	name string
	// send writes what the client sends; the rest of it never comes.
	send func(c net.Conn, n int)
}

// slowHead is a head without its end. %d stands for the number of the client.
const slowHead = "POST /move-submit/1 HTTP/1.1\r\nHost: g\r\nX-Request-ID: slow%[1]d\r\nIdempotency-Key: slow%[1]d\r\n" +
	"X-Plan: club\r\nX-Timeout: 900m\r\nCookie: account=%016[1]x\r\nX-Quota: units=0.001,spread=1,first=0\r\n"

func slowClientKinds() []slowClient {
	body := func(length, sent int) func(net.Conn, int) {
		return func(c net.Conn, n int) {
			fmt.Fprintf(c, slowHead+"Content-Length: %d\r\n\r\n", n, length)
			c.Write(make([]byte, sent))
		}
	}
	return []slowClient{
		{"heads of short fields", func(c net.Conn, n int) {
			fmt.Fprintf(c, slowHead+strings.Repeat("a:b\n", 3900), n)
		}},
		{"heads of distinct fields", func(c net.Conn, n int) {
			head := fmt.Sprintf(slowHead, n)
			for i := range 1900 {
				head += fmt.Sprintf("%x:b\n", 0x1000+i)
			}
			io.WriteString(c, head)
		}},
		{"heads of one long field", func(c net.Conn, n int) {
			fmt.Fprintf(c, slowHead+"X-Long: "+strings.Repeat("b", 15<<10), n)
		}},
		{"whole bodies", body(64<<10, 64<<10-100)},
		{"bodies in chunks", func(c net.Conn, n int) {
			fmt.Fprintf(c, slowHead+"Transfer-Encoding: chunked\r\n\r\n%x\r\n", n, 64<<10)
			c.Write(make([]byte, 64<<10-100))
		}},
		{"streamed bodies", body(2<<20, 1<<20)},
		{"streamed answers", func(c net.Conn, n int) {
			fmt.Fprintf(c, strings.Replace(strings.Replace(slowHead, "POST /move-submit", "GET /table-view", 1),
				"Idempotency-Key: slow%[1]d\r\n", "", 1)+"\r\n", n)
		}},
	}
}

// Guards against a process that passes its memory limit with hundreds of clients connected that send slowly or stop
// within a request, send heads of very many fields, or read long answers slowly. Other clients are served meanwhile.
func TestSlowClientsStayWithinTheMemoryLimit(t *testing.T) {
	kinds := slowClientKinds()
	all := slowClient{"all kinds", func(c net.Conn, n int) { kinds[n%len(kinds)].send(c, n) }}
	for _, kind := range append(kinds, all) {
		t.Run(kind.name, func(t *testing.T) { testSlowClients(t, kind) })
	}
}

func testSlowClients(t *testing.T, kind slowClient) {
	var instances []string
	for n := range tableServers {
		instances = append(instances, fmt.Sprintf(`{"instanceId":"s-%d","hostPort":%q,"zone":"hall-a","cell":0,`+
			`"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}`, n, memoryTable(t)))
	}
	known := `{"generation":2,"reset":true,"instances":[` + strings.Join(instances, ",") + `]}`
	discovery, _ := watched(t)
	counter, _ := dialled(t)
	text := strings.NewReplacer(`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, leastMemoryMB),
		`"Group":"all","Window":4}]`, `"Group":"all","Window":4},{"Name":"table-view","Aim":0.5,"HardLimit":2,"Worth":2,"Repeat":"read_like"}]`,
		`"PerSecond":50,"PeakUnits":50`, `"PerSecond":5000,"PeakUnits":5000`).Replace(platform(discovery, counter, known))
	cmd, address := start(t, "--config", write(t, "config.json", text))
	end := time.Now().Add(slowClientsLast)
	for n := range slowClients {
		go holdSlowly(address, kind, n, end)
	}
	served, failed := usualLoad(address, end)
	if got := resident(t, cmd.Process.Pid); got > leastMemoryMB<<10 {
		t.Errorf("peak resident memory of %d KB, want %d KB at most", got, leastMemoryMB<<10)
	} else {
		t.Logf("peak resident memory of %d KB", got)
	}
	if t.Logf("usual clients: %d served, %d not", served, failed); failed > served/2 {
		t.Errorf("of the usual clients' requests %d were served and %d not", served, failed)
	}
}

// holdSlowly connects a slow client again and again until the end.
func holdSlowly(address string, kind slowClient, n int, end time.Time) {
	for ; time.Now().Before(end); n += slowClients {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.(*net.TCPConn).SetReadBuffer(4 << 10)
		c.SetDeadline(end)
		kind.send(c, n)
		for one := make([]byte, 1<<10); ; {
			if _, err := c.Read(one); err != nil { // it ends once the gateway has closed it
				break
			}
			c.SetReadDeadline(end)
			time.Sleep(50 * time.Millisecond) // a reader of 20 KB a second
		}
		c.Close()
		time.Sleep(reconnectPause)
	}
}

// usualLoad has some clients send short requests until the end, and counts how they ended.
func usualLoad(address string, end time.Time) (served, failed int) {
	answers := make(chan bool, usualClients)
	done := make(chan struct{})
	for n := range usualClients {
		go func() {
			defer func() { done <- struct{}{} }()
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for i := 0; time.Now().Before(end); i++ {
				a := askOnce(address, http.MethodGet, "/table-view/short", fmt.Sprintf("usual%d-%d", n, i))
				answers <- a.err == nil && a.status == http.StatusOK
				<-tick.C
			}
		}()
	}
	for left := usualClients; left > 0; {
		select {
		case ok := <-answers:
			if ok {
				served++
			} else {
				failed++
			}
		case <-done:
			left--
		}
	}
	return served, failed
}

// memoryTable is a table server whose answers are long, but for a path that ends in short.
func memoryTable(t *testing.T) string {
	piece := make([]byte, 64<<10)
	return serveTable(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost || strings.HasSuffix(r.URL.Path, "short") {
			fmt.Fprintf(w, "answer to %s", r.Header.Get("X-Request-ID"))
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(streamedSize))
		for range streamedSize / len(piece) {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
}
