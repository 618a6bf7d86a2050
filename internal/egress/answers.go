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
	maxTrackedEntries  = 1024             // entries in each of a tracker's caches
	commonTTL          = 10 * time.Minute // from the last time that a common answer was given
	baseSamples        = 8                // distinct requests to record before a connection may carry differing ones
	maxSampleDoublings = 7                // times that baseSamples is doubled after dropped answers
)

// fingerprint is a hash that identifies a request, a resource or an answer. The zero value stands for none and
// matches nothing.
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

// matches reports whether two fingerprints are set and equal.
func (f fingerprint) matches(other fingerprint) bool { return f != 0 && f == other }

// answerTracker records which answers the targets of a site give to different requests. An answer that was given
// to different requests is a common one. The tracker is safe for concurrent use; a nil one records nothing and
// knows no common answers.
type answerTracker struct {
	sampled atomic.Bool   // enough answers are recorded for a connection to carry differing requests
	changes atomic.Uint64 // incremented when an answer becomes common or a resource shared

	mu              sync.Mutex
	unique          *simplelru.LRU[fingerprint, fingerprint] // the only known request that an answer was given to
	commonSeen      *simplelru.LRU[fingerprint, time.Time]   // when each common answer was last given
	sharedResources *simplelru.LRU[fingerprint, struct{}]    // resources of which an answer was dropped
	sampledRequests []fingerprint                            // the first distinct requests recorded
	samplesLeft     int                                      // answers still to be recorded until sampled is set
	drops           int                                      // answers that were dropped with no other following
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
	lru, _ := simplelru.NewLRU[fingerprint, V](size, nil) // fails only for a size below 1
	return lru
}

// hasEnoughSamples reports whether enough answers are recorded for a connection to carry differing requests.
func (t *answerTracker) hasEnoughSamples() bool { return t == nil || t.sampled.Load() }

// record adds an answer that came for the first time on its connection, and reports whether it is common.
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

// markCommon marks an answer as given to different requests. The caller holds t.mu.
func (t *answerTracker) markCommon(answer fingerprint, now time.Time) {
	t.unique.Remove(answer)
	t.commonSeen.Add(answer, now)
	t.changes.Add(1)
}

// isCommon reports whether an answer is given to different requests, the last time within commonTTL. The caller
// holds t.mu.
func (t *answerTracker) isCommon(answer fingerprint, now time.Time) bool {
	lastSeen, ok := t.commonSeen.Peek(answer)
	return ok && now.Sub(lastSeen) <= commonTTL
}

// countSample counts a recorded answer until there are enough. Further answers to one of the sampled requests do
// not count. The caller holds t.mu.
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

// recordDrop records an answer that was taken for another request's and dropped, with no other answer following.
// Unless the target answered twice, it gives different requests the same answer, at least on that resource. If
// this happens repeatedly, a growing number of answers must be recorded before connections carry differing
// requests again.
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

// anyCommon reports whether one of these answers is common.
func (t *answerTracker) anyCommon(answers []pastAnswer, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(answers, func(a pastAnswer) bool { return t.isCommon(a.answer, now) })
}

// mayShareAnswers reports whether different requests of a resource may have the same answer.
func (t *answerTracker) mayShareAnswers(resource fingerprint) bool {
	if t == nil || t.changes.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sharedResources.Contains(resource)
}
