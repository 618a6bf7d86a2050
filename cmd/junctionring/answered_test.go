package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// ledger is what became of all requests.
type ledger struct {
	mu         sync.Mutex
	asked      int
	crossed    int             // a close crossed them; each was sent once more
	unanswered int             // sent once more as well, and not answered either
	answered   map[string]bool // by id
	sentOn     map[string]bool // by id: a table server has seen it
	told       time.Time       // when the process was told to end
	notes      []string        // on each request that a close crossed
}

func newLedger() *ledger { return &ledger{answered: map[string]bool{}, sentOn: map[string]bool{}} }

func (l *ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.sentOn[r.Header.Get("X-Request-ID")] = true
	l.mu.Unlock()
	io.Copy(w, r.Body)
}

func (l *ledger) answer(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[id] = true
}

// unread books requests that got no answer on their connection; again tells that it was their second.
func (l *ledger) unread(n int, again bool, habit string, why error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, fmt.Sprintf("%s: %d without an answer %v after the signal, again %t: %v", habit, n, time.Since(l.told), again, why))
	if again {
		l.unanswered += n
		return
	}
	l.crossed += n
}

// lost is how many requests were sent on, and had no answer.
func (l *ledger) lost() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.sentOn {
		if !l.answered[id] {
			n++
		}
	}
	return n
}

// habit is how a client sends its requests.
type habit struct {
	name    string
	batch   int                                                 // requests in one piece
	write   func(c net.Conn, text string)                       // nil: in one piece
	between func(c *bufio.Reader, told <-chan bool) (open bool) // waits before the next request; nil: does not
	late    bool                                                // comes once the process has been told to end
	once    bool                                                // a connection for each request
}

var habits = []habit{
	{name: "asks on", batch: 1},
	{name: "byte by byte", batch: 1, write: func(c net.Conn, text string) {
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
		}
	}},
	{name: "pipelines", batch: 6},
	{name: "pipelines byte by byte", batch: 3, write: func(c net.Conn, text string) {
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return
			}
		}
	}},
	{name: "rests until the end", batch: 1, between: func(in *bufio.Reader, _ <-chan bool) bool {
		_, err := in.Peek(1)
		return err == nil
	}},
	{name: "asks as the close is under way", batch: 1, between: func(_ *bufio.Reader, told <-chan bool) bool {
		<-told
		pause := time.NewTimer(time.Duration(rand.IntN(100)) * time.Millisecond)
		defer pause.Stop()
		<-pause.C
		return true
	}},
	{name: "comes behind the signal", batch: 1, late: true, once: true},
}

// speak sends requests in a client's habit, on one connection after another, until there is none to be had.
func (h habit) speak(l *ledger, address, client string, told <-chan bool) {
	if h.late {
		<-told
	}
	next, again := 0, 0 // again: how many are to be sent once more
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			if again > 0 {
				l.unread(again, true, h.name, err)
			}
			return
		}
		next, again = h.converse(l, c, client, next, again, told)
		c.Close()
	}
}

// converse sends requests on one connection until it ends. It returns the number of the next request, and how many
// requests a close has crossed: those begin the next connection.
func (h habit) converse(l *ledger, c net.Conn, client string, next, again int, told <-chan bool) (int, int) {
	c.SetDeadline(time.Now().Add(30 * time.Second))
	in := bufio.NewReader(c)
	for {
		n := h.batch
		if again > 0 {
			n = again
		}
		first := next
		next += n
		h.send(l, c, client, first, n, again > 0)
		for i := range n {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				l.unread(n-i, again > 0, h.name, err)
				if again > 0 {
					return next, 0
				}
				return next, n - i
			}
			l.answer(fmt.Sprintf("%s-%d", client, first+i))
			if resp.Close { // what was sent behind it is not read: it is sent once more, and that counts as the first time
				return next, 0
			}
		}
		if again = 0; h.once {
			return next, 0
		}
		if h.between != nil && !h.between(in, told) {
			return next, 0
		}
	}
}

func (h habit) send(l *ledger, c net.Conn, client string, first, n int, again bool) {
	var text strings.Builder
	for i := range n {
		text.WriteString(moveText(client, first+i, "700m"))
	}
	if !again {
		l.mu.Lock()
		l.asked += n
		l.mu.Unlock()
	}
	if h.write == nil {
		io.WriteString(c, text.String())
		return
	}
	h.write(c, text.String())
}

// Clients of all habits ask while the process is told to end, and up to its end. Each request has its answer: of those
// that a close crosses, which are sent once more on a new connection, at most 1 in 2,000 has none. What a table server
// has seen is answered always: nothing is sent on that is read after the shutdown.
func TestEveryRequestIsAnswered(t *testing.T) {
	const rounds, clientsEach = 2, 4
	l := newLedger()
	for range rounds {
		endUnderLoad(t, l, clientsEach)
	}
	lost := l.lost()
	t.Logf("%d requests, %d crossed by a close and sent once more, %d unanswered; %d sent on and not answered", l.asked, l.crossed, l.unanswered, lost)
	for _, note := range l.notes {
		t.Log(note)
	}
	if l.unanswered*2000 > l.asked {
		t.Errorf("%d of %d requests are unanswered", l.unanswered, l.asked)
	}
	if lost > 0 {
		t.Errorf("%d requests were sent on and not answered", lost)
	}
}

// endUnderLoad starts the program, has clients ask, and ends it.
func endUnderLoad(t *testing.T, l *ledger, clientsEach int) {
	t.Helper()
	table, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer table.Close()
	go http.Serve(table, l)
	cmd, address := onPlatform(t, `"HardLimit":0.8`, table.Addr().String())
	told := make(chan bool)
	var all sync.WaitGroup
	for i, h := range habits {
		for k := range clientsEach {
			all.Go(func() { h.speak(l, address, fmt.Sprintf("p%d-h%d-c%d", cmd.Process.Pid, i, k), told) })
		}
	}
	l.reaches(t, 2000)
	l.mu.Lock()
	l.told = time.Now()
	l.mu.Unlock()
	cmd.Process.Signal(syscall.SIGTERM)
	close(told)
	all.Wait()
	exits(t, cmd)
}

// reaches waits until so many more requests were answered.
func (l *ledger) reaches(t *testing.T, more int) {
	t.Helper()
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.answered)
	}
	each := time.NewTicker(5 * time.Millisecond)
	defer each.Stop()
	for late, goal := time.Now().Add(20*time.Second), count()+more; count() < goal; <-each.C {
		if time.Now().After(late) {
			t.Fatalf("%d requests answered, %d expected", count(), goal)
		}
	}
}
