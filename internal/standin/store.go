package standin

import (
	"bufio"
	"crypto/sha1"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for a Redis store, written from the RESP specification: SET NX PX, INCRBYFLOAT, ECHO and
// MULTI/EXEC, and the faults that a store may have.
type Store struct {
	listener net.Listener
	mu       sync.Mutex
	changed  *sync.Cond
	values   map[string]float64
	ends     map[string]time.Time
	sweep    time.Time // when names that nobody asks for any more are forgotten next
	added    float64   // all amounts ever added
	silent   bool
	conns    []net.Conn
	texts    map[string]string      // values that scripts wrote
	scripts  map[string]storeScript // by the checksum of their text
}

// sweepEvery is the time between two looks at all names: at each call it would make a call cost as much as there are
// names.
const sweepEvery = time.Second

// storeScript is what a script does. It returns a bulk string, or nil for false.
type storeScript func(get func(string) (string, bool), set func(key, value string), keys, args []string) (string, bool)

// Script has the store know a script by its text: EVAL and EVALSHA of it run do, and of any other are refused.
func (s *Store) Script(text string, do storeScript) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scripts[checksum(text)] = do
}

func checksum(text string) string { return fmt.Sprintf("%x", sha1.Sum([]byte(text))) }

// Text is a value that a script wrote.
func (s *Store) Text(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text, there := s.texts[key]
	return text, there
}

// eval runs a script: EVAL text, or EVALSHA checksum, then the number of keys, keys, arguments.
func (s *Store) eval(args []string) string {
	if len(args) < 3 {
		return "-ERR wrong number of arguments\r\n"
	}
	sum := args[1]
	if strings.EqualFold(args[0], "EVAL") {
		sum = checksum(args[1])
	}
	do := s.scripts[sum]
	n, err := strconv.Atoi(args[2])
	switch {
	case do == nil && strings.EqualFold(args[0], "EVALSHA"):
		return "-NOSCRIPT No matching script\r\n"
	case do == nil || err != nil || n < 0 || n > len(args)-3:
		return "-ERR this stand-in does not know the script\r\n"
	}
	out, any := do(func(key string) (string, bool) { v, ok := s.texts[key]; return v, ok },
		func(key, value string) { s.texts[key] = value }, args[3:3+n], args[3+n:])
	if !any {
		return "$-1\r\n"
	}
	return fmt.Sprintf("$%d\r\n%s\r\n", len(out), out)
}

// NewStore starts a store at an address; port 0 takes any.
func NewStore(listen string) (*Store, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, values: map[string]float64{}, ends: map[string]time.Time{}, texts: map[string]string{}, scripts: map[string]storeScript{}}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close ends the store and its connections.
func (s *Store) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// Addr is where the store listens.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Empty forgets all numbers.
func (s *Store) Empty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.values)
	clear(s.ends)
	clear(s.texts)
}

// Silence makes the store read on and answer nothing from now on.
func (s *Store) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// Life is how long each name with an end has left.
func (s *Store) Life() (lives []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range s.ends {
		lives = append(lives, time.Until(end))
	}
	return lives
}

// AwaitSum waits until the amounts added come to a sum, or a time has passed.
func (s *Store) AwaitSum(sum float64, within time.Duration) error {
	late := time.AfterFunc(within, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer late.Stop()
	by := time.Now().Add(within)
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.added < sum-1e-6 {
		if time.Now().After(by) {
			return fmt.Errorf("the store was told of %g units, want %g", s.added, sum)
		}
		s.changed.Wait()
	}
	return nil
}

// serve speaks RESP: arrays of bulk strings in; simple strings, bulk strings, arrays and errors out.
func (s *Store) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var queued [][]string
	multi := false
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		var out string
		switch name := strings.ToUpper(args[0]); {
		case name == "MULTI":
			multi, queued, out = true, nil, "+OK\r\n"
		case name == "EXEC":
			out = s.exec(queued)
			multi = false
		case multi:
			queued, out = append(queued, args), "+QUEUED\r\n"
		case name == "PING":
			out = "+PONG\r\n"
		case name == "EVAL" || name == "EVALSHA":
			s.mu.Lock()
			out = s.eval(args)
			s.mu.Unlock()
		default:
			out = "-ERR unknown command\r\n"
		}
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			io.WriteString(c, out)
		}
	}
}

func readCommand(in *bufio.Reader) ([]string, error) {
	n, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, n)
	for i := range args {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		args[i] = string(b[:size])
	}
	return args, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("RESP: %q where %q is due", line, kind)
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err == nil && (n < 1 && kind == '*' || n < 0 || n > 1<<20) {
		err = fmt.Errorf("RESP: a length of %d", n)
	}
	return n, err
}

func (s *Store) exec(commands [][]string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := fmt.Sprintf("*%d\r\n", len(commands))
	for _, args := range commands {
		out += s.run(args)
	}
	s.changed.Broadcast()
	return out
}

func (s *Store) run(args []string) string {
	now := time.Now()
	if now.After(s.sweep) {
		s.sweep = now.Add(sweepEvery)
		for key := range s.ends {
			s.expire(key, now)
		}
	}
	if len(args) > 1 {
		s.expire(args[1], now)
	}
	switch strings.ToUpper(args[0]) {
	case "SET":
		return s.set(args, now)
	case "INCRBYFLOAT":
		amount, err := strconv.ParseFloat(args[2], 64)
		if err != nil {
			return "-ERR value is not a valid float\r\n"
		}
		s.values[args[1]] += amount
		s.added += amount
		text := strconv.FormatFloat(s.values[args[1]], 'f', -1, 64)
		return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
	case "ECHO":
		return fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])
	}
	return "-ERR unknown command\r\n"
}

// expire forgets a name whose time has passed.
func (s *Store) expire(key string, now time.Time) {
	if end, ends := s.ends[key]; ends && now.After(end) {
		delete(s.ends, key)
		delete(s.values, key)
	}
}

// set takes SET key value with the options NX, EX and PX in any order.
func (s *Store) set(args []string, now time.Time) string {
	value, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return "-ERR value is not a valid float\r\n"
	}
	life := time.Duration(0)
	_, there := s.values[args[1]]
	for i := 3; i < len(args); i++ {
		switch strings.ToUpper(args[i]) {
		case "NX":
			if there {
				return "$-1\r\n"
			}
		case "EX", "PX":
			n, err := strconv.Atoi(args[i+1])
			if err != nil {
				return "-ERR value is not an integer\r\n"
			}
			life = time.Duration(n) * time.Millisecond
			if strings.EqualFold(args[i], "EX") {
				life *= 1000
			}
			i++
		default:
			return "-ERR syntax error\r\n"
		}
	}
	s.values[args[1]] = value
	if life > 0 {
		s.ends[args[1]] = now.Add(life)
	}
	return "+OK\r\n"
}

// Sum is all that was ever added.
func (s *Store) Sum() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.added
}
