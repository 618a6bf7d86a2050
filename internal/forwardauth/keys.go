package forwardauth

import (
	"strings"
	"sync"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/egress"
)

const (
	keyRetention  = time.Minute // a key whose end is in doubt is not run again this long
	maxKeys       = 8192
	maxReplayBody = 4 << 10 // of a body kept for a repeat; a longer one is not replayed
)

// keyState is what is known of a key that this gateway has taken.
type keyState struct {
	inFlight  bool // an exchange with it is held
	served    bool
	firstSeen time.Time
	ranAt     int // the site where it may have run
	expires   time.Time
	reply     *egress.Reply // of one that was served
}

// keys guards against running a key twice: targets drop its repeats for a window only, and two exchanges with
// one key may meet two targets at the same instant.
type keyGuard struct {
	mu     sync.Mutex
	states map[string]*keyState
}

type keyStatus int

const (
	keyNew       keyStatus = iota
	keyRepeat              // in doubt, but targets still drop a repeat: send it on, within the window
	keyInFlight            // another exchange with this key is held
	keyReplay              // here is what it was answered
	keyExpired             // in doubt or served long ago: it can't be run again safely
	keyGuardFull           // more keys than are remembered
)

// begin takes a key. After fresh and repeat, end must follow.
func (k *keyGuard) begin(key string, now time.Time, window time.Duration) (v keyStatus, by time.Time, reply *egress.Reply, ranAt int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.states[key]
	if s != nil && !s.inFlight && now.After(s.expires) {
		delete(k.states, key)
		s = nil
	}
	if s == nil {
		if len(k.states) >= maxKeys && !k.evictExpired(now) {
			return keyGuardFull, by, nil, 0
		}
		k.states[key] = &keyState{inFlight: true, firstSeen: now}
		return keyNew, now.Add(window), nil, 0
	}
	by = s.firstSeen.Add(window)
	switch {
	case s.inFlight:
		return keyInFlight, by, nil, 0
	case s.reply != nil:
		return keyReplay, by, s.reply, 0
	case s.served, now.After(by):
		return keyExpired, by, nil, 0
	}
	s.inFlight = true
	return keyRepeat, by, nil, s.ranAt
}

// inDoubt counts the keys of a class that may have run and may still be repeated.
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

func (k *keyGuard) evictExpired(now time.Time) (room bool) {
	for key, s := range k.states {
		if !s.inFlight && now.After(s.expires) {
			delete(k.states, key)
		}
	}
	return len(k.states) < maxKeys
}

// end books how an exchange with the key ended. again tells that an earlier one is in doubt.
func (k *keyGuard) end(key string, now time.Time, a core.Answer, again bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.states[key]
	if s == nil {
		return
	}
	s.inFlight, s.expires = false, now.Add(keyRetention)
	if a.MayHaveRun && !again {
		s.ranAt = a.RanAt
	}
	if a.Kind == core.Served {
		s.served = true
		if reply := a.Reply.(*egress.Reply); reply.Long == nil && len(reply.Body) <= maxReplayBody {
			s.reply = reply
		}
		return
	}
	if !a.MayHaveRun && !again {
		delete(k.states, key) // nothing has run: the key is as good as new
	}
}
