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
	maxTrackedEntries  = 1024             // of a site's answers, and of what is known to be common, and of resources
	commonTTL          = 10 * time.Minute // that an answer counts as common, from when it was last given
	baseSamples        = 8                // different requests, after whose answers connections are used for others
	maxSampleDoublings = 7                // times that learnedFrom is doubled where answers were dropped
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
func (f fingerprint) matches(other fingerprint) bool { return f != 0 && f == other }

// answerMemory tells which answers the targets of a site give to different requests. It is safe for use by several
// goroutines; a nil one knows and learns nothing.
type answerTracker struct {
	sampled atomic.Bool   // it has learned enough for connections to be used for different requests
	changes atomic.Uint64 // how many times an answer became common, or a resource contested

	mu              sync.Mutex
	unique          *simplelru.LRU[fingerprint, fingerprint] // the request that an answer was given to, alone as far as is known
	commonSeen      *simplelru.LRU[fingerprint, time.Time]   // when an answer was last given that is given to different requests
	sharedResources *simplelru.LRU[fingerprint, struct{}]    // resources of answers that were dropped
	sampledRequests []fingerprint                            // the first that were learned from
	samplesLeft     int                                      // answers to be learned before it is ready
	drops           int                                      // answers that were dropped with no other behind them
}

func newAnswerTracker() *answerTracker {
	return &answerTracker{
		unique:          newLRU[fingerprint](maxTrackedEntries),
		commonSeen:      newLRU[time.Time](maxTrackedEntries),
		sharedResources: newLRU[struct{}](maxTrackedEntries),
		samplesLeft:     baseSamples,
	}
}

func newLRU[V any](size int) *simplelru.LRU[fingerprint, V] {
	lru, _ := simplelru.NewLRU[fingerprint, V](size, nil) // fails only for a size under 1
	return lru
}

// learned tells whether enough is known of the answers for a connection to be used for different requests.
func (t *answerTracker) hasEnoughSamples() bool { return t == nil || t.sampled.Load() }

// learn takes in an answer that came for the first time on its connection, and tells whether it is common.
func (t *answerTracker) record(answer, request fingerprint, now time.Time) (common bool) {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countSample(request)
	if t.isCommon(answer, now) {
		t.commonSeen.Add(answer, now)
		return true
	}
	first, known := t.unique.Get(answer)
	switch {
	case !known:
		t.unique.Add(answer, request)
		return false
	case first.matches(request):
		return false
	}
	t.markCommon(answer, now)
	return true
}

// makeCommon moves an answer to those that are common. m.mu is held.
func (t *answerTracker) markCommon(answer fingerprint, now time.Time) {
	t.unique.Remove(answer)
	t.commonSeen.Add(answer, now)
	t.changes.Add(1)
}

// isCommon tells whether an answer is given to different requests. m.mu is held.
func (t *answerTracker) isCommon(answer fingerprint, now time.Time) bool {
	lastSeen, ok := t.commonSeen.Peek(answer)
	return ok && now.Sub(lastSeen) <= commonTTL
}

// count counts the answers learned from, the first ones by their requests, until there are enough. m.mu is held.
func (t *answerTracker) countSample(request fingerprint) {
	if t.sampled.Load() || request != 0 && slices.Contains(t.sampledRequests, request) {
		return
	}
	if len(t.sampledRequests) < baseSamples {
		t.sampledRequests = append(t.sampledRequests, request)
	}
	if t.samplesLeft--; t.samplesLeft <= 0 {
		t.sampled.Store(true)
	}
}

// drop notes an answer that was taken for another request's, with no other behind it. Unless the target answered twice it
// gives different requests the same answer, on that resource at least. Where this happens again and again, more and more is
// learned before connections are used for different requests.
func (t *answerTracker) recordDrop(answer, resource fingerprint, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sharedResources.Add(resource, struct{}{})
	t.markCommon(answer, now)
	if t.drops++; t.drops > 1 {
		t.samplesLeft = baseSamples << min(t.drops, maxSampleDoublings)
		t.sampled.Store(false)
	}
}

// anyCommon tells whether one of these answers is common.
func (t *answerTracker) anyCommon(answers []pastAnswer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(answers, func(a pastAnswer) bool { return t.isCommon(a.answer, now) })
}

// isContested tells whether different requests of a resource may have the same answer.
func (t *answerTracker) mayShareAnswers(resource fingerprint) bool {
	if t == nil || t.changes.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sharedResources.Contains(resource)
}
