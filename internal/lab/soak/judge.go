package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Rule names a rule that a run may break.
type Rule string

// The rules.
const (
	Answer   Rule = "answer"   // each request gets exactly one final answer in time
	Once     Rule = "once"     // what may run once runs once, and never two attempts are out together
	Truth    Rule = "truth"    // a refusal is only given to what never ran, where its class may not be repeated
	Own      Rule = "own"      // the answer is the request's own
	Gone     Rule = "gone"     // nothing begins for a client that has left
	Drain    Rule = "drain"    // nothing begins at a server past the grace of its drain
	InTime   Rule = "in-time"  // nothing begins past the client's time, and no more time is told than is left
	Shutdown Rule = "shutdown" // a process that is told to end ends in order, before the kill
	Start    Rule = "start"    // a process is ready in time
	Level    Rule = "level"    // memory and descriptors are back at their level at the end
)

// Rules are all of them.
var Rules = []Rule{Answer, Once, Truth, Own, Gone, Drain, InTime, Shutdown, Start, Level}

const (
	answerSlack   = 500 * time.Millisecond // past its time an answer only earns nothing
	goneSlack     = 100 * time.Millisecond
	socketSlack   = 50 * time.Millisecond // by which each limit is longer on sockets
	timeLeftSlack = 150 * time.Millisecond
	readyWithin   = 10 * time.Second
	mostMemoryMB  = 192
	mostAtRest    = 200 // descriptors of a process whose clients have gone
)

// Break is one broken rule.
type Break struct {
	Rule Rule
	ID   string // of the request; empty: none
	Text string
}

func (b Break) String() string { return fmt.Sprintf("%s: %s: %s", b.Rule, b.ID, b.Text) }

// judge holds what the rules are judged by.
type judge struct {
	plan     Plan
	record   *Record
	attempts map[string][]*Attempt // by id, in the order in which they began
	slack    time.Duration         // of all limits: that of sockets and this process's own lateness
	breaks   []Break
}

// Judge lists the rules that a run broke. The run must have ended.
func Judge(p Plan, r *Record) []Break {
	j := &judge{plan: p, record: r, attempts: map[string][]*Attempt{}, slack: socketSlack + r.lateness}
	for _, a := range r.attempts {
		j.attempts[a.ID] = append(j.attempts[a.ID], a)
	}
	for _, all := range j.attempts {
		slices.SortFunc(all, func(a, b *Attempt) int { return a.Begun.Compare(b.Begun) })
	}
	for _, s := range r.Requests() {
		j.answered(s)
		j.ranOnce(s)
		j.begunInTime(s)
		j.drained(s)
	}
	for _, l := range r.lives {
		j.lived(l)
	}
	return j.breaks
}

func (j *judge) broken(rule Rule, id, format string, args ...any) {
	j.breaks = append(j.breaks, Break{rule, id, fmt.Sprintf(format, args...)})
}

// answered judges that a request has its own answer, in time.
func (j *judge) answered(s *Sent) {
	if s.LastByte.IsZero() || !s.Left.IsZero() {
		return
	}
	attempts := j.attempts[s.ID]
	switch {
	case s.Answered.IsZero() && len(attempts) > 0:
		j.broken(Answer, s.ID, "it was sent on, and got no answer: %v", s.Broken)
		return
	case s.Answered.IsZero() && !s.Cut && j.ending(s):
		return // it crossed the close of its connection
	case s.Answered.IsZero():
		j.broken(Answer, s.ID, "it got no answer: %v", s.Broken)
		return
	}
	if took := s.Answered.Sub(s.LastByte); took > s.Timeout+answerSlack+j.slack {
		j.broken(Answer, s.ID, "answered %d after %v, with %v to go", s.Status, took, s.Timeout)
	}
	ran := slices.ContainsFunc(attempts, func(a *Attempt) bool { return a.End == Ran })
	refused := s.Status == 503 || s.Status == 429
	switch {
	case s.Status == 200 && s.Body != s.ID:
		j.broken(Own, s.ID, "answered with %.40q", s.Body)
	case s.Status == 200 && len(attempts) == 0:
		j.broken(Own, s.ID, "served by no server")
	case refused && ran && j.plan.Classes[s.Class].Effect == Unsafe:
		j.broken(Truth, s.ID, "answered %d, and it ran", s.Status)
	}
}

// ending tells whether the process that a request was written to was about to end, or had ended.
func (j *judge) ending(s *Sent) bool {
	return slices.ContainsFunc(j.record.lives, func(l *Life) bool {
		return l.Gateway == s.Gateway && !l.Terminated.IsZero() && s.LastByte.After(l.Terminated.Add(-j.slack)) &&
			(l.Ended.IsZero() || s.LastByte.Before(l.Ended.Add(j.slack)))
	})
}

// ranOnce judges the attempts of a request beside each other.
func (j *judge) ranOnce(s *Sent) {
	runs := 0
	for i, a := range j.attempts[s.ID] {
		if a.End == Ran {
			runs++
		}
		if i == 0 {
			continue
		}
		before := j.attempts[s.ID][i-1]
		if over := before.Ended; before.Unfinished || a.Begun.Before(over.Add(-j.slack)) {
			j.broken(Once, s.ID, "an attempt at server %d began while one at server %d was out", a.Server, before.Server)
		}
	}
	if effect := j.plan.Classes[s.Class].Effect; runs > 1 && effect != Safe {
		j.broken(Once, s.ID, "it ran %d times, and is %s", runs, effect)
	}
}

// begunInTime judges when the attempts of a request began, and the time they told.
func (j *judge) begunInTime(s *Sent) {
	for _, a := range j.attempts[s.ID] {
		if !s.Left.IsZero() && a.Begun.Sub(s.Left) > goneSlack+j.slack {
			j.broken(Gone, s.ID, "sent on %v after its client had left", a.Begun.Sub(s.Left))
		}
		if s.LastByte.IsZero() {
			continue
		}
		left := s.Timeout - a.Begun.Sub(s.LastByte)
		if left < -j.slack {
			j.broken(InTime, s.ID, "sent on %v after its time", -left)
		}
		if a.TimeLeft > left+timeLeftSlack+j.slack {
			j.broken(InTime, s.ID, "told %v where %v are left", a.TimeLeft, left)
		}
	}
}

// drained judges that nothing begins at a server past its drain.
func (j *judge) drained(s *Sent) {
	for _, a := range j.attempts[s.ID] {
		for _, t := range j.record.told {
			if t.Gateway == s.Gateway && t.Server == a.Server && a.Begun.Sub(t.At) > j.plan.Grace+j.slack {
				j.broken(Drain, s.ID, "sent to server %d %v after its drain was told", a.Server, a.Begun.Sub(t.At))
			}
		}
	}
}

// lived judges one process.
func (j *judge) lived(l *Life) {
	name := "gateway " + strconv.Itoa(l.Gateway)
	switch {
	case l.Ready.IsZero() && l.Ended.Sub(l.Started) > readyWithin:
		j.broken(Start, "", "%s was never ready", name)
	case l.Ready.Sub(l.Started) > readyWithin:
		j.broken(Start, "", "%s was ready after %v", name, l.Ready.Sub(l.Started))
	}
	switch {
	case l.Killed:
		j.broken(Shutdown, "", "%s had not ended %v after SIGTERM", name, l.Ended.Sub(l.Terminated))
	case l.ExitedWith != "":
		j.broken(Shutdown, "", "%s ended with %s", name, l.ExitedWith)
	}
	if l.Descriptors > mostAtRest || l.MemoryMB > mostMemoryMB {
		j.broken(Level, "", "%s at rest holds %d descriptors and %d MB", name, l.Descriptors, l.MemoryMB)
	}
	for _, id := range l.Unanswered {
		if s := j.record.sent[id]; s != nil && s.Left.IsZero() && s.Answered.IsZero() && len(j.attempts[id]) == 0 {
			j.broken(Answer, id, "%s had read it whole, and ended its connection with no answer", name)
		}
	}
}

// Story is all that is known of a request, in the order of time from the run's start.
func Story(r *Record, id string, start time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	at := func(t time.Time, format string, args ...any) {
		if !t.IsZero() {
			lines = append(lines, fmt.Sprintf("%9.3f s  %s", t.Sub(start).Seconds(), fmt.Sprintf(format, args...)))
		}
	}
	if s := r.sent[id]; s != nil {
		at(s.LastByte, "client: written whole to gateway %d, class %d, %v to go", s.Gateway, s.Class, s.Timeout)
		at(s.Left, "client: left")
		at(s.Answered, "client: answered %d %.40q", s.Status, s.Body)
		if s.Broken != nil {
			lines = append(lines, "            client: "+s.Broken.Error())
		}
	}
	for _, a := range r.attempts {
		if a.ID == id {
			at(a.Begun, "server %d: begun, told %v, %s", a.Server, a.TimeLeft, a.End)
			at(a.Ended, "server %d: ended", a.Server)
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
