package forwardauth

import (
	"strings"
	"sync"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/egress"
)

const (
	keyRetention  = time.Minute // after its last exchange a key is remembered, and not run again if in doubt
	maxKeys       = 8192
	maxReplayBody = 4 << 10 // bytes of a body that is kept for a repeat; a longer body is not replayed
)

// keyState is the state of an idempotency key that this gateway has accepted.
type keyState struct {
	inFlight  bool // an exchange with the key is in progress
	served    bool
	firstSeen time.Time
	ranAt     int // site where the request may have run
	expires   time.Time
	reply     *egress.Reply // the response, if served and short enough
}

// keyGuard prevents a key from running twice: targets drop repeats only within a window, and two concurrent exchanges
// with one key may reach two targets.
type keyGuard struct {
	mu     sync.Mutex
	states map[string]*keyState
}

type keyStatus int

const (
	keyNew       keyStatus = iota
	keyRepeat              // outcome in doubt, but targets still drop a repeat: forward it within the window
	keyInFlight            // another exchange with the key is in progress
	keyReplay              // already served: replay the response
	keyExpired             // in doubt after the window, or served without a kept response: unsafe to run again
	keyGuardFull           // the maximum number of keys is reached
)

// begin registers an exchange with a key. After keyNew and keyRepeat, the caller must call end. windowEnd is the end of
// the window in which targets drop a repeat.
func (k *keyGuard) begin(key string, now time.Time, window time.Duration) (
	status keyStatus, windowEnd time.Time, reply *egress.Reply, ranAt int,
) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.states[key]
	if s != nil && !s.inFlight && now.After(s.expires) {
		delete(k.states, key)
		s = nil
	}
	if s == nil {
		if len(k.states) >= maxKeys && !k.evictExpired(now) {
			return keyGuardFull, windowEnd, nil, 0
		}
		k.states[key] = &keyState{inFlight: true, firstSeen: now}
		return keyNew, now.Add(window), nil, 0
	}
	windowEnd = s.firstSeen.Add(window)
	switch {
	case s.inFlight:
		return keyInFlight, windowEnd, nil, 0
	case s.reply != nil:
		return keyReplay, windowEnd, s.reply, 0
	case s.served, now.After(windowEnd):
		return keyExpired, windowEnd, nil, 0
	}
	s.inFlight = true
	return keyRepeat, windowEnd, nil, s.ranAt
}

// inDoubt counts the keys of a class that may have run and may still be repeated within the window.
func (k *keyGuard) inDoubt(class string, now time.Time, window time.Duration) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, s := range k.states {
		if name, _, _ := strings.Cut(key, "\x00"); name == class && !s.served && now.Before(s.firstSeen.Add(window)) {
			n++
		}
	}
	return n
}

// evictExpired removes expired keys and reports whether there is room for another. The caller holds mu.
func (k *keyGuard) evictExpired(now time.Time) (hasRoom bool) {
	for key, s := range k.states {
		if !s.inFlight && now.After(s.expires) {
			delete(k.states, key)
		}
	}
	return len(k.states) < maxKeys
}

// end records how an exchange with the key ended. earlierInDoubt means that an earlier one is in doubt.
func (k *keyGuard) end(key string, now time.Time, a core.Answer, earlierInDoubt bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.states[key]
	if s == nil {
		return
	}
	s.inFlight, s.expires = false, now.Add(keyRetention)
	if a.MayHaveRun && !earlierInDoubt {
		s.ranAt = a.RanAtSite
	}
	if a.Kind == core.Served {
		s.served = true
		if reply := a.Reply.(*egress.Reply); reply.Long == nil && len(reply.Body) <= maxReplayBody {
			s.reply = reply
		}
		return
	}
	if !a.MayHaveRun && !earlierInDoubt {
		delete(k.states, key) // nothing has run, so the key can be used again
	}
}
