package egress

import (
	"encoding/binary"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	answersKept = 1024             // of a site's answers, and of what is known to be common, and of resources
	commonFor   = 10 * time.Minute // that an answer counts as common, from when it was last given
	learnedFrom = 8                // different requests, after whose answers connections are used for others
	mostDoubled = 7                // times that learnedFrom is doubled where answers were dropped
)

// fingerprint tells requests, or answers, apart. The zero value is that of none, and equals no other.
type fingerprint uint64

var fingerprintSeed = maphash.MakeSeed()

func fingerprintOf(parts ...[]byte) fingerprint {
	var h maphash.Hash
	h.SetSeed(fingerprintSeed)
	for _, part := range parts {
		h.Write(part)
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
	}
	return fingerprint(h.Sum64() | 1)
}

// is tells whether two fingerprints are those of equal things.
func (f fingerprint) is(other fingerprint) bool { return f != 0 && f == other }

// answerMemory tells which answers the targets of a site give to different requests. It is safe for use by several
// goroutines; a nil one knows and learns nothing.
type answerMemory struct {
	ready   atomic.Bool   // it has learned enough for connections to be used for different requests
	changes atomic.Uint64 // how many times an answer became common, or a resource contested

	mu        sync.Mutex
	once      *simplelru.LRU[fingerprint, fingerprint] // the request that an answer was given to, alone as far as is known
	commons   *simplelru.LRU[fingerprint, time.Time]   // when an answer was last given that is given to different requests
	contested *simplelru.LRU[fingerprint, struct{}]    // resources of answers that were dropped
	requests  []fingerprint                            // the first that were learned from
	missing   int                                      // answers to be learned before it is ready
	drops     int                                      // answers that were dropped with no other behind them
}

func newAnswerMemory() *answerMemory {
	return &answerMemory{
		once:      newLRU[fingerprint](answersKept),
		commons:   newLRU[time.Time](answersKept),
		contested: newLRU[struct{}](answersKept),
		missing:   learnedFrom,
	}
}

func newLRU[V any](size int) *simplelru.LRU[fingerprint, V] {
	lru, _ := simplelru.NewLRU[fingerprint, V](size, nil) // fails only for a size under 1
	return lru
}

// learned tells whether enough is known of the answers for a connection to be used for different requests.
func (m *answerMemory) learned() bool { return m == nil || m.ready.Load() }

// learn takes in an answer that came for the first time on its connection, and tells whether it is common.
func (m *answerMemory) learn(answer, request fingerprint, now time.Time) (common bool) {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count(request)
	if m.isCommon(answer, now) {
		m.commons.Add(answer, now)
		return true
	}
	first, known := m.once.Get(answer)
	switch {
	case !known:
		m.once.Add(answer, request)
		return false
	case first.is(request):
		return false
	}
	m.makeCommon(answer, now)
	return true
}

// makeCommon moves an answer to those that are common. m.mu is held.
func (m *answerMemory) makeCommon(answer fingerprint, now time.Time) {
	m.once.Remove(answer)
	m.commons.Add(answer, now)
	m.changes.Add(1)
}

// isCommon tells whether an answer is given to different requests. m.mu is held.
func (m *answerMemory) isCommon(answer fingerprint, now time.Time) bool {
	given, ok := m.commons.Peek(answer)
	return ok && now.Sub(given) <= commonFor
}

// count counts the answers learned from, the first ones by their requests, until there are enough. m.mu is held.
func (m *answerMemory) count(request fingerprint) {
	if m.ready.Load() || request != 0 && slices.Contains(m.requests, request) {
		return
	}
	if len(m.requests) < learnedFrom {
		m.requests = append(m.requests, request)
	}
	if m.missing--; m.missing <= 0 {
		m.ready.Store(true)
	}
}

// drop notes an answer that was taken for another request's, with no other behind it. Unless the target answered twice it
// gives different requests the same answer, on that resource at least. Where this happens again and again, more and more is
// learned before connections are used for different requests.
func (m *answerMemory) drop(answer, resource fingerprint, now time.Time) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contested.Add(resource, struct{}{})
	m.makeCommon(answer, now)
	if m.drops++; m.drops > 1 {
		m.missing = learnedFrom << min(m.drops, mostDoubled)
		m.ready.Store(false)
	}
}

// anyCommon tells whether one of these answers is common.
func (m *answerMemory) anyCommon(given []givenAnswer, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(given, func(g givenAnswer) bool { return m.isCommon(g.answer, now) })
}

// isContested tells whether different requests of a resource may have the same answer.
func (m *answerMemory) isContested(resource fingerprint) bool {
	if m == nil || m.changes.Load() == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contested.Contains(resource)
}
