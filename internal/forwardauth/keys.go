package forwardauth

import (
	"strings"
	"sync"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/egress"
)

const (
	keyRetention  = time.Minute // after its last exchange a key is remembered at least, and not run again if in doubt
	maxKeys       = 8192
	maxReplayBody = 4 << 10 // bytes of a body that is kept for a repeat; a longer body is not replayed
)

// keyState is the state of an idempotency key that this gateway has accepted.
type keyState struct {
	inFlight  bool // an exchange with the key is in progress
	served    bool
	firstSeen time.Time
	window    time.Duration     // in which targets drop a repeat, from firstSeen on
	ranAt     control.Placement // where the request may have run first
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

// begin registers an exchange with a key. After keyNew and keyRepeat, the caller must call end. Targets of the group of
// ranAt drop a repeat for the window from firstSeen on.
func (k *keyGuard) begin(key string, now time.Time, window time.Duration) (
	status keyStatus, firstSeen time.Time, reply *egress.Reply, ranAt control.Placement,
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
			return keyGuardFull, now, nil, ranAt
		}
		k.states[key] = &keyState{inFlight: true, firstSeen: now, window: window}
		return keyNew, now, nil, ranAt
	}
	switch {
	case s.inFlight:
		return keyInFlight, s.firstSeen, nil, ranAt
	case s.reply != nil:
		return keyReplay, s.firstSeen, s.reply, ranAt
	case s.served, now.After(s.firstSeen.Add(window)):
		return keyExpired, s.firstSeen, nil, ranAt
	}
	s.inFlight = true
	return keyRepeat, s.firstSeen, nil, s.ranAt
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
	if windowEnd := s.firstSeen.Add(s.window); windowEnd.After(s.expires) { // targets of another group would run it again
		s.expires = windowEnd
	}
	if a.MayHaveRun && !earlierInDoubt {
		s.ranAt = a.RanAt
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
