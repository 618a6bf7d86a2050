package lease

import "time"

// ExpiryTracker holds a leader's expiry times of sessions and revoked leases during its term. It is not replicated:
// the next leader measures every TTL anew from the start of its own term, and so waits at least as long as any
// answer of this leader allowed.
type ExpiryTracker struct {
	term          uint64
	maxTTL        time.Duration            // the longest TTL that a session may have
	expiresAt     map[string]time.Duration // when each session's TTL has passed, or when to propose its Expire again
	expiring      map[string]bool          // sessions whose Expire is proposed: their renewals no longer count
	revoked       map[string]revocation
	unsealAt      time.Duration // when to propose Unseal, or to propose it again
	disabledGuard guard
}

type revocation struct {
	token  uint64
	freeAt time.Duration // when to propose Free, or to propose it again
	holder string
}

// reproposeAfter is the time after which the leader proposes a command again, as the first one may have been lost.
const reproposeAfter = time.Second

// NewExpiryTracker starts a leader's term. The state holds everything that earlier leaders applied.
func NewExpiryTracker(now time.Duration, s *State, maxTTL time.Duration) *ExpiryTracker {
	t := &ExpiryTracker{term: s.Term, maxTTL: maxTTL, expiresAt: map[string]time.Duration{}, expiring: map[string]bool{},
		revoked: map[string]revocation{}, unsealAt: now + maxTTL, disabledGuard: s.disabledGuard}
	for id, session := range s.Sessions {
		t.expiresAt[id] = now + session.TTL
		if t.disabledGuard == guardTTLAfterElection {
			t.expiresAt[id] = now
		}
	}
	for name, l := range s.Leases {
		if l.Revoked {
			t.startRevocationWait(now, s, name, l)
		}
	}
	return t
}

// startRevocationWait starts the wait until the holder of a revoked lease can no longer act. It lasts the TTL of the
// holder's session, or the longest TTL if the session is gone: the last renewal that still listed the lease was
// received before now.
func (t *ExpiryTracker) startRevocationWait(now time.Duration, s *State, name string, l *Lease) {
	ttl := t.maxTTL
	if session := s.Sessions[l.Holder]; session != nil {
		ttl = session.TTL
	}
	if t.disabledGuard == guardRevocationWait {
		ttl = 0
	}
	t.revoked[name] = revocation{token: l.Token, freeAt: now + ttl, holder: l.Holder}
}

// Renewed records a session's renewal. received is when the renewal arrived; the leader has confirmed since then
// that it is still the leader. An Open that was applied in this term counts as a renewal too, also a repeated one.
// It returns false if the session does not exist or its expiry can no longer be stopped; the renewal must then
// not be confirmed.
func (t *ExpiryTracker) Renewed(received time.Duration, s *State, id string) bool {
	session := s.Sessions[id]
	if session == nil || t.expiring[id] {
		return false
	}
	t.expiresAt[id] = max(t.expiresAt[id], received+session.TTL)
	return true
}

// Applied updates the expiry times after a command was applied to the state.
func (t *ExpiryTracker) Applied(now time.Duration, s *State, c Command, e Effect) {
	switch c.Op {
	case Open:
		if _, tracked := t.expiresAt[c.Session]; s.Sessions[c.Session] != nil && !tracked {
			t.expiresAt[c.Session] = now + c.TTL
		}
	case Close, Expire:
		if s.Sessions[c.Session] == nil {
			delete(t.expiresAt, c.Session)
			delete(t.expiring, c.Session)
		}
	case Revoke:
		if l := s.Leases[c.Name]; e.Status == Done && l != nil {
			if _, tracked := t.revoked[c.Name]; !tracked || t.revoked[c.Name].token != l.Token {
				t.startRevocationWait(now, s, c.Name, l)
			}
		}
	}
	for name, r := range t.revoked {
		if l := s.Leases[name]; l == nil || l.Token != r.token || !l.Revoked {
			delete(t.revoked, name)
		}
	}
}

// Due returns the commands whose time has come. Each is returned once, and again after reproposeAfter if it was lost.
func (t *ExpiryTracker) Due(now time.Duration, s *State) (due []Command) {
	for _, id := range sortedKeys(t.expiresAt) {
		if now >= t.expiresAt[id] {
			t.expiring[id] = true
			t.expiresAt[id] = now + reproposeAfter
			due = append(due, Command{Op: Expire, Term: t.term, Session: id})
		}
	}
	for _, name := range sortedKeys(t.revoked) {
		if r := t.revoked[name]; now >= r.freeAt {
			r.freeAt = now + reproposeAfter
			t.revoked[name] = r
			due = append(due, Command{Op: Free, Term: t.term, Name: name, Token: r.token})
		}
	}
	if s.Sealed && now >= t.unsealAt {
		t.unsealAt = now + reproposeAfter
		due = append(due, Command{Op: Unseal, Term: t.term})
	}
	return due
}

// Remaining returns how long a session has until its TTL has passed, as measured by this leader; once its Expire is
// proposed, the time until that is proposed again.
func (t *ExpiryTracker) Remaining(now time.Duration, session string) time.Duration {
	return t.expiresAt[session] - now
}
