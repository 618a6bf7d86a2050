package sites

import (
	"fmt"

	"junctionring/control"
)

// Try is what Route is asked of: a request at its first attempt, or at one that may follow.
type Try struct {
	Class   int
	Elapsed Seconds // since it came in
	Left    Seconds // until its client gives up
	Bound   bool    // an earlier attempt may have run, and its key is known at one site only
	At      int     // that site
}

const (
	urgentAt = 0.9  // share of the near window from which on the most urgent class crosses
	otherAt  = 1.0  // share from which on the least urgent class does
	farOther = 0.75 // share of a far window that the least urgent class may fill
	reweigh  = 0.1  // s for which a weight is used while servers warm up
	setUp    = 1.0  // round trips that opening a connection may cost
)

// Route says which sites a try may go to now. It neither allocates nor looks at single servers.
func (r *Router) Route(now Seconds, t Try) Verdict {
	r.now = now
	own := r.set.Own
	near := &r.sites[own]
	if near.cold && now-near.weighed > reweigh {
		r.weigh(own)
	}
	stay := Verdict{Reach: control.Reach{First: own, Then: own}}
	if t.Bound { // nobody else drops its repeat
		stay.Reach = control.Reach{First: t.At, Then: t.At}
		if t.At != own {
			stay.CrossReason = r.cause(near)
			if r.sites[t.At].link.down {
				stay.Reach, stay.DenyReason = control.Reach{First: own, Then: own}, LinkDown // control finds no server of its group
			}
		}
		return stay
	}
	urgency := r.urgency[t.Class]
	part := otherAt - (otherAt-urgentAt)*urgency
	room := near.ready > 0 && near.window.takes(now, near.flights.out, near.window.limit*part, 0)
	cause := r.cause(near)
	bar := RemoteUnavailable
	for _, f := range r.far {
		b := r.barred(f, t, near, cause, room)
		if b == NotDenied {
			if room { // the near site serves; the far one stands by for what control turns away here
				return Verdict{Reach: control.Reach{First: own, Then: f, Room: near.window.calm()}, CrossReason: cause}
			}
			return Verdict{Reach: control.Reach{First: f, Then: own, Room: r.sites[f].window.calm()}, CrossReason: cause}
		}
		if bar == RemoteUnavailable {
			bar = b // of the nearest, unless it has nobody
		}
	}
	stay.DenyReason = bar
	stay.Reach.Room = room && near.window.calm()
	// Nobody helps: what is beyond the window would only make the rest late. Now the urgent ones come last to it.
	part = urgentAt + (otherAt-urgentAt)*urgency
	// A far site that is only busy will soon help again: until then control sheds by what it sees.
	stay.Reach.Full = near.ready > 0 && (bar == LinkDown || !near.window.calm()) && !near.window.takes(now, near.flights.out, near.window.limit*part, 0)
	return stay
}

// cause is the word for what crosses now.
func (r *Router) cause(near *site) CrossReason {
	switch {
	case near.draining > 0:
		return LocalDraining
	case near.ready == 0:
		return LocalUnavailable
	}
	return LocalSlow
}

// barred tells whether a try may go to a far site, and why not.
func (r *Router) barred(f int, t Try, near *site, cause CrossReason, room bool) DenyReason {
	far := &r.sites[f]
	if far.cold && r.now-far.weighed > reweigh {
		r.weigh(f)
	}
	class, aim := &far.classes[t.Class], r.set.Classes[t.Class].Aim
	needs := class.high + setUp*far.link.rtt
	late := near.ready > 0 && t.Elapsed+needs > aim // a near site that is there answers late as well
	switch {
	case far.ready == 0:
		return RemoteUnavailable
	case far.link.down:
		return LinkDown
	case needs > t.Left, late:
		return InsufficientTime
	}
	if !room {
		far.window.open(r.now, float64(near.flights.out))
	}
	if !far.window.takes(r.now, far.flights.out, r.farRoom(far, t.Class), class.low) {
		return RemoteBusy
	}
	return NotDenied
}

// farRoom is how many attempts of a class may be out at a far site: the urgent ones keep a part for themselves
// where it is short.
func (r *Router) farRoom(far *site, class int) float64 {
	room := far.window.limit * far.weight / max(1, float64(far.ready))
	if r.sites[r.set.Own].ready == 0 { // no guest any more: there is nowhere else to go
		room = max(room, 1)
	}
	if far.window.calm() { // room for all: it grows as it is used
		return room
	}
	return room * (farOther + (1-farOther)*r.urgency[class])
}

// Sent books an attempt that control sends; v is the verdict it goes by. ok is false for a server not known.
func (r *Router) Sent(now Seconds, id string, class int, v Verdict) (f Attempt, ok bool) {
	r.now = now
	s := r.servers[id]
	if s == nil {
		return Attempt{Site: -1}, false
	}
	st := &r.sites[s.site]
	f = Attempt{Site: s.site, seq: st.flights.add(now, class, s), class: class, sent: now, server: s, cross: s.site != r.set.Own}
	st.window.used = now
	if f.cross {
		if v.CrossReason == Local {
			v.CrossReason = r.cause(&r.sites[r.set.Own])
		}
		r.counts.Crossed[s.site][class][v.CrossReason]++
	}
	return f, true
}

// answered tells whether an end proves that the server was reached and spoke.
func answered(s control.Status) bool {
	return s == control.OK || s == control.Error || s == control.Full
}

// Ended books the end of an attempt; waited is the time from its last byte to the answer's first, 0: not known.
func (r *Router) Ended(now Seconds, f Attempt, status control.Status, waited Seconds) {
	r.now = now
	if f.server == nil {
		return
	}
	st := &r.sites[f.Site]
	told, ok := st.flights.end(now, f.seq)
	if !ok {
		return
	}
	took, c := now-f.sent, &st.classes[f.class]
	if waited <= 0 || waited > took {
		waited = took
	}
	if answered(status) {
		r.hear(st)
		if f.cross {
			r.counts.Answered[f.Site]++
		}
	}
	switch status {
	case control.OK:
		if f.server.strikes >= leftOut {
			f.server.strikes = 0
			r.weigh(f.Site)
		}
		f.server.strikes = 0
		if !told {
			st.window.answer(now, waited > r.lateAt(f.server, f.class), float64(st.flights.out), c.low)
		}
		warm := r.warmth(f.server)
		f.server.low[f.class] = least(f.server.low[f.class], waited*warm, now-c.lowAt)
		c.learn(now, waited*warm, took)
	case control.Full:
		st.window.answer(now, true, float64(st.flights.out), c.low)
	case control.Reset, control.ConnectFailed, control.Error, control.Timeout:
		if f.server.strikes++; f.server.strikes == leftOut {
			r.weigh(f.Site)
		}
		if f.cross && status != control.Error {
			r.miss(st, f.server.id, f.sent)
		}
	}
}

// lateAt is the time after which an answer of a server is late.
func (r *Router) lateAt(s *server, class int) Seconds {
	aim := r.set.Classes[class].Aim
	if s.site == r.set.Own {
		return nearLate * aim
	}
	low := s.low[class]
	if low == 0 {
		low = r.sites[s.site].classes[class].low
	}
	return (low + farLate*aim) / r.warmth(s) // a cold one is slow, not crowded
}

// Refused counts a try that control turned away for want of servers, by why it could not cross.
func (r *Router) Refused(class int, v Verdict) { r.counts.Refused[class][v.DenyReason]++ }

// Tick looks at what time alone tells: attempts that are overdue, links that fell silent. It is to be called
// about twenty times a second.
func (r *Router) Tick(now Seconds, actions []Action) []Action {
	r.now = now
	for i := range r.sites {
		st := &r.sites[i]
		if st.cold && now-st.weighed > reweigh {
			r.weigh(i)
		}
		for seq := st.flights.first; seq < st.flights.next; seq++ {
			l := st.flights.at(seq)
			if l.ended || l.told {
				continue
			}
			if now-l.sent > r.lateAt(l.server, l.class) { // Danger: where nothing is answered no answer tells of it
				l.told = true
				st.window.answer(now, true, float64(st.flights.out), st.classes[l.class].low)
			}
		}
		if i != r.set.Own {
			actions = r.look(i, actions)
		}
	}
	for _, i := range r.back {
		actions = append(actions, Restored{i})
	}
	r.back = r.back[:0]
	r.summary()
	for _, text := range r.log {
		actions = append(actions, Log{text})
	}
	r.log = r.log[:0]
	return actions
}

func (r *Router) say(format string, args ...any) {
	if len(r.log) < 64 {
		r.log = append(r.log, fmt.Sprintf(format, args...))
	}
}
