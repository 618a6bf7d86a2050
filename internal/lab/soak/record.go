package soak

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Sent is one request of a client, by its id.
type Sent struct {
	ID       string
	Class    int
	Key      string // of Keyed
	Gateway  int
	LastByte time.Time // when it was written whole; zero: it never was
	Timeout  time.Duration

	Left     time.Time // when the client closed its connection; zero: it stayed
	Answered time.Time // when the answer was whole; zero: there was none
	Status   int
	Body     string
	Broken   error // why there was none, or no whole one
	Cut      bool  // something of an answer came
}

// End is how an attempt ended at a server.
type End string

// The ends of attempts.
const (
	Ran       End = "ran"        // it was answered, or the answer was lost
	Dropped   End = "dropped"    // a repeat within its key's window: answered, and not run again
	TurnedOff End = "turned off" // unseen: it never ran
)

// Attempt is one request that came whole to a server.
type Attempt struct {
	ID, Key    string
	Server     int
	Begun      time.Time
	Ended      time.Time     // answered, or its connection ended
	TimeLeft   time.Duration // that the gateway told; 0: none
	End        End
	Unfinished bool // it is still out
}

// Told is when a gateway was told that a server drains.
type Told struct {
	Gateway, Server int
	At              time.Time
}

// Life is one gateway process.
type Life struct {
	Gateway     int
	Started     time.Time
	Ready       time.Time // zero: never
	Terminated  time.Time // when it was told to end; zero: never
	Ended       time.Time
	Killed      bool // it had not ended by the kill
	ExitedWith  string
	Descriptors int // at rest, at the run's end
	MemoryMB    int
	Unanswered  []string // ids of whole requests that it ended without an answer, by its own log
}

// Record is all that was seen of a run. Its methods may be called from anywhere.
type Record struct {
	mu       sync.Mutex
	sent     map[string]*Sent
	attempts []*Attempt
	told     []Told
	lives    []*Life
	lateness time.Duration // of this process's own timers, at most
	network  time.Duration // that a byte took within this process and back, over loopback, at most
	struck   map[FaultKind]int
}

// NewRecord makes an empty record.
func NewRecord() *Record { return &Record{sent: map[string]*Sent{}, struck: map[FaultKind]int{}} }

func (r *Record) addSent(s *Sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.ID] = s
}

func (r *Record) addAttempt(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Unfinished = a.Ended.IsZero()
	r.attempts = append(r.attempts, a)
}

func (r *Record) endAttempt(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.Unfinished {
		a.Ended, a.Unfinished = time.Now(), false
	}
}

func (r *Record) addTold(t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
}

func (r *Record) addLife(l *Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lives = append(r.lives, l)
}

func (r *Record) strike(k FaultKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.struck[k]++
}

func (r *Record) late(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateness = max(r.lateness, by)
}

func (r *Record) lateNetwork(by time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.network = max(r.network, by)
}

// Requests are all requests, by id.
func (r *Record) Requests() []*Sent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*Sent
	for _, id := range slices.Sorted(maps.Keys(r.sent)) {
		all = append(all, r.sent[id])
	}
	return all
}

// Struck counts the faults that were thrown, by kind.
func (r *Record) Struck() map[FaultKind]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.struck)
}
