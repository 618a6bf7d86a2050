package forwardauth

import (
	"strings"
	"sync"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/egress"
)

const (
	keyMemory = time.Minute // a key whose end is in doubt is not run again this long
	keysMost  = 8192
	replyMost = 4 << 10 // of a body kept for a repeat; a longer one is not replayed
)

// keyState is what is known of a key that this gateway has taken.
type keyState struct {
	out     bool // an exchange with it is held
	served  bool
	first   time.Time
	ranAt   int // the site where it may have run
	expires time.Time
	reply   *egress.Reply // of one that was served
}

// keys guards against running a key twice: targets drop its repeats for a window only, and two exchanges with
// one key may meet two targets at the same instant.
type keys struct {
	mu    sync.Mutex
	known map[string]*keyState
}

type verdict int

const (
	fresh   verdict = iota
	repeat          // in doubt, but targets still drop a repeat: send it on, within the window
	running         // another exchange with this key is held
	served          // here is what it was answered
	spent           // in doubt or served long ago: it can't be run again safely
	crowded         // more keys than are remembered
)

// begin takes a key. After fresh and repeat, end must follow.
func (k *keys) begin(key string, now time.Time, window time.Duration) (v verdict, by time.Time, reply *egress.Reply, ranAt int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.known[key]
	if s != nil && !s.out && now.After(s.expires) {
		delete(k.known, key)
		s = nil
	}
	if s == nil {
		if len(k.known) >= keysMost && !k.sweep(now) {
			return crowded, by, nil, 0
		}
		k.known[key] = &keyState{out: true, first: now}
		return fresh, now.Add(window), nil, 0
	}
	by = s.first.Add(window)
	switch {
	case s.out:
		return running, by, nil, 0
	case s.reply != nil:
		return served, by, s.reply, 0
	case s.served, now.After(by):
		return spent, by, nil, 0
	}
	s.out = true
	return repeat, by, nil, s.ranAt
}

// inDoubt counts the keys of a class that may have run and may still be repeated.
func (k *keys) inDoubt(class string, now time.Time, window time.Duration) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, s := range k.known {
		if name, _, _ := strings.Cut(key, "\x00"); name == class && !s.served && now.Before(s.first.Add(window)) {
			n++
		}
	}
	return n
}

func (k *keys) sweep(now time.Time) (room bool) {
	for key, s := range k.known {
		if !s.out && now.After(s.expires) {
			delete(k.known, key)
		}
	}
	return len(k.known) < keysMost
}

// end books how an exchange with the key ended. again tells that an earlier one is in doubt.
func (k *keys) end(key string, now time.Time, a core.Answer, again bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.known[key]
	if s == nil {
		return
	}
	s.out, s.expires = false, now.Add(keyMemory)
	if a.MayHaveRun && !again {
		s.ranAt = a.RanAtSite
	}
	if a.Kind == core.Served {
		s.served = true
		if reply := a.Reply.(*egress.Reply); reply.Long == nil && len(reply.Body) <= replyMost {
			s.reply = reply
		}
		return
	}
	if !a.MayHaveRun && !again {
		delete(k.known, key) // nothing has run: the key is as good as new
	}
}
