package standin

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Work is how long a core at speed 1 takes for requests of a class.
type Work struct{ Least, Most time.Duration }

// TableOptions describe one table server.
type TableOptions struct {
	ID       string
	Site     string
	Cores    int
	Speed    float64         // of a core
	Queue    int             // requests that may wait; more are turned away
	Work     map[string]Work // by the first part of the path
	ColdFrom float64         // share of its capacity that it starts with; 0 or 1: warm
	Ramp     time.Duration   // until it is warm
	Window   time.Duration   // for which a repeat of a key is dropped; 0: 4 s
	Keys     *Keys           // of all servers that drop each other's repeats
	Record   *Record
	Seed     uint64
}

// Keys is what the table servers of one group know of keys.
type Keys struct {
	mu    sync.Mutex
	first map[string]time.Time
}

// NewKeys makes an empty group.
func NewKeys() *Keys { return &Keys{first: map[string]time.Time{}} }

// run tells whether a key is to run: its repeats within the window are not.
func (k *Keys) run(key string, window time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if first, ok := k.first[key]; ok && now.Sub(first) < window {
		return false
	}
	k.first[key] = now
	return true
}

// Arrival is one request that reached a table server whole.
type Arrival struct {
	At, Begun, Ended time.Time // Begun and Ended are zero where it never ran, or not yet
	Server, Site     string
	Class, ID, Key   string
	Ran              bool // false: turned away, dropped as a repeat, or given up while it waited
	Repeat           bool
	Draining         bool // the server was draining
}

// Record is what all table servers were sent, and what broke on the way.
type Record struct {
	mu       sync.Mutex
	arrivals []*Arrival
	fallen   []string
}

func (r *Record) add(a *Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// All is every arrival so far, in order.
func (r *Record) All() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Arrival, len(r.arrivals))
	for i, a := range r.arrivals {
		all[i] = *a
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return a.At.Compare(b.At) })
	return all
}

// Fallen names the servers that were sent too much while they were cold.
func (r *Record) Fallen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.fallen)
}

// TwiceRun lists the keys that ran more than once, on whatever servers.
func (r *Record) TwiceRun() []string {
	runs := map[string]int{}
	var twice []string
	for _, a := range r.All() {
		if a.Ran && a.Key != "" {
			if runs[a.Key]++; runs[a.Key] == 2 {
				twice = append(twice, a.Key)
			}
		}
	}
	return twice
}

// TwiceOut lists the requests of which two attempts were at work, or waiting, at once. slack allows for the
// time that the end of a connection takes over a link.
func (r *Record) TwiceOut(slack time.Duration) []string {
	last, twice := map[string]Arrival{}, []string{}
	for _, a := range r.All() {
		if before, ok := last[a.ID]; ok && a.ID != "" && (before.Ended.IsZero() || before.Ended.After(a.At.Add(slack))) {
			twice = append(twice, a.ID)
		}
		last[a.ID] = a
	}
	return twice
}

// Table is a stand-in for a table server.
type Table struct {
	o        TableOptions
	listener net.Listener
	server   *http.Server
	started  time.Time
	rng      *rand.Rand

	mu       sync.Mutex
	free     int // cores
	waiting  []chan struct{}
	held     int
	draining bool
	silent   chan struct{} // not nil: nothing is answered until it is closed
	down     bool
	recent   []coldWork // asked of it while it is cold
	open     int        // connections
	opened   int
}

type coldWork struct {
	at   time.Time
	work float64 // seconds of a core at speed 1
}

// NewTable starts a table server.
func NewTable(listen string, o TableOptions) (*Table, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	o.Window, o.Cores, o.Queue = cmp.Or(o.Window, 4*time.Second), max(1, o.Cores), cmp.Or(o.Queue, 64)
	if o.Speed <= 0 {
		o.Speed = 1
	}
	if o.Keys == nil {
		o.Keys = NewKeys()
	}
	if o.Record == nil {
		o.Record = &Record{}
	}
	t := &Table{o: o, listener: l, free: o.Cores, started: time.Now(), rng: rand.New(rand.NewPCG(o.Seed, 7))}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 5 * time.Second, ConnState: t.connection}
	go t.server.Serve(l)
	return t, nil
}

// Addr is where the server listens.
func (t *Table) Addr() string { return t.listener.Addr().String() }

// Connections tells how many connections are open, and how many ever were.
func (t *Table) Connections() (open, opened int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open, t.opened
}

func (t *Table) connection(_ net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.open, t.opened = t.open+1, t.opened+1
	case http.StateClosed, http.StateHijacked:
		t.open--
	}
}

// Instance is the server's entry for a registry; address may be a link's.
func (t *Table) Instance(address string) Instance {
	e := Instance{ID: t.o.ID, HostPort: address, Zone: t.o.Site, Lifecycle: "SERVING", Weight: 1}
	if t.o.ColdFrom > 0 && t.o.ColdFrom < 1 {
		e.StartedAt = t.started.UnixMilli()
	}
	return e
}

// Drain makes the server take nothing new; what it has it completes.
func (t *Table) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// Slow changes the speed of its cores.
func (t *Table) Slow(speed float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.o.Speed = speed
}

// Silence makes the server answer nothing until Speak: it vanished, or stands still.
func (t *Table) Silence() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent == nil {
		t.silent = make(chan struct{})
	}
}

// Speak ends a silence.
func (t *Table) Speak() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent != nil {
		close(t.silent)
		t.silent = nil
	}
}

// Crash ends the server at once: its connections are reset, new ones refused.
func (t *Table) Crash() { t.server.Close() }

// Close ends the server.
func (t *Table) Close() { t.Speak(); t.server.Close() }

// warm is the share of its capacity that the server has now.
func (t *Table) warm() float64 {
	if age := time.Since(t.started); t.o.ColdFrom > 0 && age < t.o.Ramp {
		return t.o.ColdFrom + (1-t.o.ColdFrom)*float64(age)/float64(t.o.Ramp)
	}
	return 1
}

// falls books work asked of a cold server: three times what it can do, for 1.5 s, and it is gone for good.
func (t *Table) falls(work float64) bool {
	const span = 1500 * time.Millisecond
	warm := t.warm()
	if t.down || warm >= 1 {
		return t.down
	}
	now := time.Now()
	t.recent = append(t.recent, coldWork{now, work})
	sum := 0.0
	for len(t.recent) > 0 && now.Sub(t.recent[0].at) > span {
		t.recent = t.recent[1:]
	}
	for _, c := range t.recent {
		sum += c.work
	}
	if now.Sub(t.started) < span || sum <= 3*float64(t.o.Cores)*t.o.Speed*warm*span.Seconds() {
		return false
	}
	t.down = true
	t.o.Record.mu.Lock()
	t.o.Record.fallen = append(t.o.Record.fallen, t.o.ID)
	t.o.Record.mu.Unlock()
	go t.server.Close()
	return true
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	silent := t.silent
	t.mu.Unlock()
	if silent != nil {
		select {
		case <-silent:
		case <-r.Context().Done():
			return
		}
	}
	if r.URL.Path == "/health/live" || r.URL.Path == "/stats" {
		w.Write([]byte(t.load()))
		return
	}
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	a := &Arrival{At: time.Now(), Server: t.o.ID, Site: t.o.Site, Class: class,
		ID: r.Header.Get("X-Request-ID"), Key: r.Header.Get("Idempotency-Key")}
	t.o.Record.add(a)
	defer func() {
		t.o.Record.mu.Lock()
		a.Ended = time.Now()
		t.o.Record.mu.Unlock()
	}()
	if !t.enter(r, a) {
		w.Header().Set("X-Not-Processed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a.Ran {
		t.work(a)
	}
	t.leave()
	w.Header().Set("X-Server-Load", t.load())
	fmt.Fprintf(w, "%s %s %s", t.o.ID, r.URL.Path, body)
}

// enter waits for a core. False: the request never ran.
func (t *Table) enter(r *http.Request, a *Arrival) bool {
	t.mu.Lock()
	work := t.o.Work[a.Class]
	t.o.Record.mu.Lock()
	a.Draining = t.draining
	t.o.Record.mu.Unlock()
	if t.draining || t.falls((work.Least+work.Most).Seconds()/2) || len(t.waiting) >= t.o.Queue {
		t.mu.Unlock()
		return false
	}
	t.held++
	if t.free > 0 {
		t.free--
	} else {
		turn := make(chan struct{}, 1)
		t.waiting = append(t.waiting, turn)
		t.mu.Unlock()
		select {
		case <-turn:
		case <-r.Context().Done(): // given up while it waited: it is dropped
		}
		t.mu.Lock()
		if i := slices.Index(t.waiting, turn); i >= 0 {
			t.waiting = slices.Delete(t.waiting, i, i+1)
			t.held--
			t.mu.Unlock()
			return false
		}
	}
	t.mu.Unlock()
	t.o.Record.mu.Lock()
	a.Begun, a.Ran = time.Now(), true
	t.o.Record.mu.Unlock()
	if a.Key != "" && !t.o.Keys.run(a.Key, t.o.Window) {
		t.o.Record.mu.Lock()
		a.Ran, a.Repeat = false, true
		t.o.Record.mu.Unlock()
	}
	return true
}

// work takes a core for as long as the request needs; it goes on when nobody waits any more.
func (t *Table) work(a *Arrival) {
	t.mu.Lock()
	w := t.o.Work[a.Class]
	need := w.Least + time.Duration(t.rng.Float64()*float64(w.Most-w.Least))
	took := time.Duration(float64(need) / t.o.Speed / t.warm())
	t.mu.Unlock()
	time.Sleep(took)
}

func (t *Table) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held--
	if len(t.waiting) > 0 {
		t.waiting[0] <- struct{}{}
		t.waiting = t.waiting[1:]
		return
	}
	t.free++
}

func (t *Table) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf(`{"inflight":%d,"queue":%d}`, t.held, len(t.waiting))
}
