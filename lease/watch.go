package lease

import "time"

// ExpiryTracker is a leader's count of lives while it is in office. It is not replicated: the next leader counts every
// life anew from its own start, and so waits at least as long as any answer of this one allowed.
type ExpiryTracker struct {
	term          uint64
	maxTTL        time.Duration            // life that any session may have
	expiresAt     map[string]time.Duration // when a session's life has passed
	expiring      map[string]bool          // its end is on the way to the log: no renewal counts any more
	revoked       map[string]revocation
	unsealAt      time.Duration
	disabledGuard guard
}

type revocation struct {
	token  uint64
	freeAt time.Duration
	holder string
}

// reproposeAfter is how long after an own command that may have been lost it is proposed reproposeAfter.
const reproposeAfter = time.Second

// NewExpiryTracker begins a term of office. The state holds all that earlier leaders did.
func NewExpiryTracker(now time.Duration, s *State, maxTTL time.Duration) *ExpiryTracker {
	w := &ExpiryTracker{term: s.Term, maxTTL: maxTTL, expiresAt: map[string]time.Duration{}, expiring: map[string]bool{},
		revoked: map[string]revocation{}, unsealAt: now + maxTTL, disabledGuard: s.disabledGuard}
	for id, session := range s.Sessions {
		w.expiresAt[id] = now + session.TTL
		if w.disabledGuard == guardTTLAfterElection {
			w.expiresAt[id] = now
		}
	}
	for name, l := range s.Leases {
		if l.Revoked {
			w.revoke(now, s, name, l)
		}
	}
	return w
}

// revoke starts the wait for the holder of a revoked lease: its last renewal that still named it came before now.
func (w *ExpiryTracker) revoke(now time.Duration, s *State, name string, l *Lease) {
	ttl := w.maxTTL
	if session := s.Sessions[l.Holder]; session != nil {
		ttl = session.TTL
	}
	if w.disabledGuard == guardRevocationWait {
		ttl = 0
	}
	w.revoked[name] = revocation{token: l.Token, freeAt: now + ttl, holder: l.Holder}
}

// Renewed tells that a session asked to live on. received is when its ask came in; the leader has made sure since
// then that it is still the leader. An Open that was applied in this term is such an ask too, also the second time.
// False: the session is not there, or its end can't be stopped any more; it must not be told that it lives.
func (w *ExpiryTracker) Renewed(received time.Duration, s *State, id string) bool {
	session := s.Sessions[id]
	if session == nil || w.expiring[id] {
		return false
	}
	w.expiresAt[id] = max(w.expiresAt[id], received+session.TTL)
	return true
}

// Applied takes in a command that was applied to the state.
func (w *ExpiryTracker) Applied(now time.Duration, s *State, c Command, e Effect) {
	switch c.Op {
	case Open:
		if _, tracked := w.expiresAt[c.Session]; s.Sessions[c.Session] != nil && !tracked {
			w.expiresAt[c.Session] = now + c.TTL
		}
	case Close, Expire:
		if s.Sessions[c.Session] == nil {
			delete(w.expiresAt, c.Session)
			delete(w.expiring, c.Session)
		}
	case Revoke:
		if l := s.Leases[c.Name]; e.Status == Done && l != nil {
			if _, tracked := w.revoked[c.Name]; !tracked || w.revoked[c.Name].token != l.Token {
				w.revoke(now, s, c.Name, l)
			}
		}
	}
	for name, r := range w.revoked {
		if l := s.Leases[name]; l == nil || l.Token != r.token || !l.Revoked {
			delete(w.revoked, name)
		}
	}
}

// Due are the commands that time calls for. Each is named once, and again after a while if it was lost.
func (w *ExpiryTracker) Due(now time.Duration, s *State) (due []Command) {
	for _, id := range sortedKeys(w.expiresAt) {
		if now >= w.expiresAt[id] {
			w.expiring[id] = true
			w.expiresAt[id] = now + reproposeAfter
			due = append(due, Command{Op: Expire, Term: w.term, Session: id})
		}
	}
	for _, name := range sortedKeys(w.revoked) {
		if r := w.revoked[name]; now >= r.freeAt {
			r.freeAt = now + reproposeAfter
			w.revoked[name] = r
			due = append(due, Command{Op: Free, Term: w.term, Name: name, Token: r.token})
		}
	}
	if s.Sealed && now >= w.unsealAt {
		w.unsealAt = now + reproposeAfter
		due = append(due, Command{Op: Unseal, Term: w.term})
	}
	return due
}

// Remaining is how long a session has until its life has passed, as this leader counts.
func (w *ExpiryTracker) Remaining(now time.Duration, session string) time.Duration {
	return w.expiresAt[session] - now
}
