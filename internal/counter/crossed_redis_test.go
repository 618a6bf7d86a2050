package counter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionring/control"
	"junctionring/internal/counter"
)

// duplicatingRedis is a Redis store that answers each transaction on its first connection twice: the second time when the
// next one has arrived completely, right before the answer to that one. On every other connection it answers correctly.
type duplicatingRedis struct {
	net.Listener

	mu     sync.Mutex
	totals map[string]float64
	conns  []net.Conn
}

func newDuplicatingRedis(t *testing.T) *duplicatingRedis {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &duplicatingRedis{Listener: l, totals: map[string]float64{}}
	var serving sync.WaitGroup
	t.Cleanup(func() {
		l.Close()
		s.closeConns()
		serving.Wait()
	})
	serving.Go(func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			serving.Go(func() { s.serve(c, first) })
		}
	})
	return s
}

func (s *duplicatingRedis) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func (s *duplicatingRedis) serve(c net.Conn, twice bool) {
	defer c.Close()
	in, duplicate := bufio.NewReader(c), ""
	for {
		words, err := readWords(in)
		if err != nil {
			return
		}
		if words[0] != "multi" { // sent by go-redis when it opens a connection
			io.WriteString(c, "-ERR unknown command\r\n")
			continue
		}
		reply, err := s.transaction(in)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, duplicate+reply); err != nil {
			return
		}
		if twice {
			duplicate = reply
		}
	}
}

// transaction reads the rest of a transaction and returns the answer to all of it.
func (s *duplicatingRedis) transaction(in *bufio.Reader) (answer string, err error) {
	answer = "+OK\r\n"
	var results []string
	for {
		words, err := readWords(in)
		if err != nil {
			return "", err
		}
		if words[0] == "exec" {
			return answer + fmt.Sprintf("*%d\r\n", len(results)) + strings.Join(results, ""), nil
		}
		answer += "+QUEUED\r\n"
		results = append(results, s.run(words))
	}
}

func (s *duplicatingRedis) run(words []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := words[1]
	switch words[0] {
	case "set":
		return "+OK\r\n"
	case "incrbyfloat":
		amount, _ := strconv.ParseFloat(words[2], 64)
		s.totals[words[1]] += amount
		text = strconv.FormatFloat(s.totals[words[1]], 'f', -1, 64)
	}
	return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
}

// readWords reads one command: an array of bulk strings.
func readWords(in *bufio.Reader) ([]string, error) {
	line := func() (string, error) {
		text, err := in.ReadString('\n')
		return strings.TrimSuffix(text, "\r\n"), err
	}
	head, err := line()
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(head, "*"))
	if err != nil {
		return nil, err
	}
	var words []string
	for range n {
		if _, err := line(); err != nil { // the length, not needed: no word contains a line end
			return nil, err
		}
		word, err := line()
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	words[0] = strings.ToLower(words[0])
	return words, nil
}

// Guards against the total of one name being taken for another's when a store answers a call twice, the second time
// late.
func TestSecondRedisAnswerIsNotTakenForAnotherName(t *testing.T) {
	s := newDuplicatingRedis(t)
	add := startCounter(t, counter.NewRedis(s.Addr().String(), 5*time.Second))
	if a := <-add(1, 5); a != (answer{control.OK, 5}) {
		t.Fatalf("the first call was answered %v", a)
	}
	if a := <-add(2, 1); a != (answer{status: control.Timeout}) { // its amount was added, but the total is unknown
		t.Errorf("the call on name 2, whose total is 1, ended as %v", a)
	}
	for i := range 10 {
		want := float64(2 + i)
		if a := <-add(2, 1); a != (answer{control.OK, want}) {
			t.Errorf("a later call was answered %v, want %g", a, want)
		}
	}
}
