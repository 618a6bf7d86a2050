package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// silentAgent is a discovery agent that takes connections and says nothing, until it is released with a list.
func silentAgent(t *testing.T, list string) (address string, release func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	released := make(chan struct{})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-released:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintln(w, list)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String(), func() { close(released) }
}

// oneServer is a list of one table server.
func oneServer(generation int, address string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s-%d","hostPort":%q,"zone":"hall-a","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}`,
		generation, generation, address)
}

// limitDescriptors gives a process that runs a limit on its open files, as the platform does.
func limitDescriptors(t *testing.T, pid, most int) {
	t.Helper()
	limit := unix.Rlimit{Cur: uint64(most), Max: uint64(most)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		t.Fatal(err)
	}
}

// resident is the most memory that a process has had, in kB.
func resident(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, _ := strconv.Atoi(strings.Fields(rest)[0])
	return kb
}

// descriptors is how many files a process has open.
func descriptors(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// crowd keeps so many connections open until stop is closed: some send nothing, some a part of a head. One that is
// closed is replaced at once. It tells of each that it opens.
func crowd(address string, clients int, stop <-chan struct{}) (opened chan struct{}) {
	opened = make(chan struct{}, 1<<16)
	for i := range clients {
		part := [...]string{"", "GET /move-submit/1 HT", "P"}[i%3]
		go func() {
			for open := true; open; {
				open = sitIdle(address, part, opened, stop)
			}
		}()
	}
	return opened
}

// sitIdle opens a connection and sends a part of a head until the far end closes it; false: there is no more to open.
func sitIdle(address, part string, opened chan<- struct{}, stop <-chan struct{}) bool {
	c, err := net.DialTimeout("tcp", address, 10*time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	io.WriteString(c, part)
	opened <- struct{}{}
	ended := make(chan struct{})
	go func() {
		c.Read(make([]byte, 1))
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-stop:
		return false
	}
}

// Clients that send nothing, or a part of a head, come in twice the number of descriptors while discovery is down, and
// come again as they are closed. Discovery, the counter and the table servers are reached all the same: within a
// second of discovery's return the list is taken up. A client that asks is served, in the time of its request.
func TestIdleClientsLeaveDescriptorsToTheRest(t *testing.T) {
	const sockets, memoryKB = 128, 192 << 10
	table, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { table.Close() })
	go answerMoves(table)
	discovery, release := silentAgent(t, oneServer(2, table.Addr().String()))
	counter, called := answeringCounter(t)
	text := strings.Replace(platform(discovery, counter, `{"generation":1,"reset":true,"instances":[]}`), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	cmd, address := start(t, "--config", write(t, "config.json", text))
	limitDescriptors(t, cmd.Process.Pid, sockets)

	steady := connect(t, address)
	if status := steady.ask(); status != http.StatusServiceUnavailable {
		t.Fatalf("answered %d while no table server is known", status)
	}
	stop := make(chan struct{})
	defer close(stop)
	const clients = 2 * sockets
	opened := crowd(address, clients, stop)
	most, each := 0, time.NewTicker(50*time.Millisecond)
	defer each.Stop()
	for n := 0; n < clients+clients/2; { // until half of them were closed and came again
		select {
		case <-opened:
			n++
			most = max(most, descriptors(t, cmd.Process.Pid))
		case <-each.C: // a client that asks keeps its connection
			steady.ask()
		}
	}
	release()
	returned := time.Now()
	for steady.ask() != http.StatusOK {
		if time.Since(returned) > 20*time.Second {
			t.Fatal("not served after discovery's return")
		}
		<-each.C
	}
	recovered := time.Since(returned)
	if status := connect(t, address).ask(); status != http.StatusOK {
		t.Errorf("a new client is answered %d", status)
	}
	late := time.Since(returned) - recovered
	<-called // the counter is reached too
	kb := resident(t, cmd.Process.Pid)
	t.Logf("%d idle clients on %d descriptors: %d at most in use; served %v after discovery's return, a new client behind the idle ones in %v; %d kB of memory at most",
		clients, sockets, most, recovered, late, kb)
	if recovered > time.Second {
		t.Errorf("served %v after discovery's return", recovered)
	}
	if most >= sockets {
		t.Errorf("all %d descriptors were in use", sockets)
	}
	if kb > memoryKB {
		t.Errorf("%d kB of memory, %d are allowed", kb, memoryKB)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	exits(t, cmd)
}

// mover is a client's connection on which moves of ever new customers are sent.
type mover struct {
	net.Conn
	in    *bufio.Reader
	moves int
}

func connect(t *testing.T, address string) *mover {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(60 * time.Second))
	return &mover{Conn: c, in: bufio.NewReader(c)}
}

// ask sends one move and returns its status; 0: there was no answer.
func (m *mover) ask() int {
	m.moves++
	io.WriteString(m, moveText(m.LocalAddr().String(), m.moves, "3000m"))
	resp, err := http.ReadResponse(m.in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// moveText is a whole request of a customer of its own.
func moveText(sender string, n int, wait string) string {
	key := fmt.Sprintf("%s-%d", sender, n)
	return fmt.Sprintf("POST /move-submit/1 HTTP/1.1\r\nHost: g\r\nX-Request-ID: %s\r\nIdempotency-Key: %s\r\nX-Plan: club\r\n"+
		"X-Timeout: %s\r\nCookie: account=%016x\r\nX-Quota: units=1,spread=1,first=0\r\nContent-Length: 4\r\n\r\ne2e4",
		key, key, wait, crc32.ChecksumIEEE([]byte(key)))
}

// answerMoves is a table server that answers every request at once.
func answerMoves(l net.Listener) {
	http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }))
}

// answeringCounter has nothing spent, and tells of every call.
func answeringCounter(t *testing.T) (address string, called chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	called = make(chan struct{}, 4096)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for in := bufio.NewScanner(c); in.Scan(); {
					if in.Text() == "ping" {
						io.WriteString(c, "pong\r\n")
						continue
					}
					called <- struct{}{}
					io.WriteString(c, "ok 0\r\n")
				}
			}()
		}
	}()
	return l.Addr().String(), called
}
