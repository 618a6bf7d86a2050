package lease

import "time"

// Watch is a leader's count of lives while it is in office. It is not replicated: the next leader counts every
// life anew from its own start, and so waits at least as long as any answer of this one allowed.
type Watch struct {
	term    uint64
	longest time.Duration            // life that any session may have
	ends    map[string]time.Duration // when a session's life has passed
	ending  map[string]bool          // its end is on the way to the log: no renewal counts any more
	revoked map[string]revoked
	unseal  time.Duration
	without guard
}

type revoked struct {
	token  uint64
	frees  time.Duration
	holder string
}

// again is how long after an own command that may have been lost it is proposed again.
const again = time.Second

// NewWatch begins a term of office. The state holds all that earlier leaders did.
func NewWatch(now time.Duration, s *State, longest time.Duration) *Watch {
	w := &Watch{term: s.Term, longest: longest, ends: map[string]time.Duration{}, ending: map[string]bool{},
		revoked: map[string]revoked{}, unseal: now + longest, without: s.without}
	for id, who := range s.Sessions {
		w.ends[id] = now + who.Life
		if w.without == lifeAfterElection {
			w.ends[id] = now
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
func (w *Watch) revoke(now time.Duration, s *State, name string, l *Lease) {
	life := w.longest
	if who := s.Sessions[l.Holder]; who != nil {
		life = who.Life
	}
	if w.without == revokedForLife {
		life = 0
	}
	w.revoked[name] = revoked{token: l.Token, frees: now + life, holder: l.Holder}
}

// Renewed tells that a session asked to live on. received is when its ask came in; the leader has made sure since
// then that it is still the leader. An Open that was applied in this term is such an ask too, also the second time.
// False: the session is not there, or its end can't be stopped any more; it must not be told that it lives.
func (w *Watch) Renewed(received time.Duration, s *State, session string) bool {
	who := s.Sessions[session]
	if who == nil || w.ending[session] {
		return false
	}
	w.ends[session] = max(w.ends[session], received+who.Life)
	return true
}

// Applied takes in a command that was applied to the state.
func (w *Watch) Applied(now time.Duration, s *State, c Command, e Effect) {
	switch c.Op {
	case Open:
		if _, counted := w.ends[c.Session]; s.Sessions[c.Session] != nil && !counted {
			w.ends[c.Session] = now + c.Life
		}
	case Close, Expire:
		if s.Sessions[c.Session] == nil {
			delete(w.ends, c.Session)
			delete(w.ending, c.Session)
		}
	case Revoke:
		if l := s.Leases[c.Name]; e.Status == Done && l != nil {
			if _, counted := w.revoked[c.Name]; !counted || w.revoked[c.Name].token != l.Token {
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
func (w *Watch) Due(now time.Duration, s *State) (due []Command) {
	for _, id := range sortedKeys(w.ends) {
		if now >= w.ends[id] {
			w.ending[id] = true
			w.ends[id] = now + again
			due = append(due, Command{Op: Expire, Term: w.term, Session: id})
		}
	}
	for _, name := range sortedKeys(w.revoked) {
		if r := w.revoked[name]; now >= r.frees {
			r.frees = now + again
			w.revoked[name] = r
			due = append(due, Command{Op: Free, Term: w.term, Name: name, Token: r.token})
		}
	}
	if s.Sealed && now >= w.unseal {
		w.unseal = now + again
		due = append(due, Command{Op: Unseal, Term: w.term})
	}
	return due
}

// Left is how long a session has until its life has passed, as this leader counts.
func (w *Watch) Left(now time.Duration, session string) time.Duration { return w.ends[session] - now }
