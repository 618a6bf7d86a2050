// Package rollout decides how a fleet is changed without too much of it being out at once. It has three parts, all
// without I/O, clock or goroutine: the budget, which whoever takes something out has to ask, also by hand; the plan of
// a release, whose every state stands in the log, so that any conductor can go on with it; and the check that tells a
// bad version from the one before.
//
// The coordinators keep the budget and the plans in their log. What a conductor or an agent does follows from that
// state alone.
package rollout

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Unit is something that serves and may be taken out: a gateway, a table server.
type Unit struct {
	Kind     string  `msgpack:"k"` // gateway, table
	Site     string  `msgpack:"s"`
	Zone     string  `msgpack:"z"`
	Capacity float64 `msgpack:"c"` // requests a second that it can serve once warm
	Load     float64 `msgpack:"l"` // that it serves now, as last reported
	Version  string  `msgpack:"v"` // that it runs
	Config   string  `msgpack:"g"` // configuration that is in force there; empty: the one that it started with
	Instance string  `msgpack:"i"` // of its process: another one under the same name is not it
	Up       bool    `msgpack:"u"` // seen ready
	Warm     bool    `msgpack:"w"` // and able to serve its capacity
	Lost     bool    `msgpack:"t"` // whoever sees it is silent: it counts as out, and may be as it was
	By       string  `msgpack:"b"` // member that sees it: when that falls silent, the unit is out of sight
}

// in tells whether a unit serves as it should.
func (u Unit) in() bool { return u.Up && u.Warm }

// Rule is one bound on what may be out. A site or zone of "*" stands for each one by itself.
type Rule struct {
	Name  string  `msgpack:"n"`
	Kind  string  `msgpack:"k"` // empty: of any kind
	Site  string  `msgpack:"s"` // empty: anywhere
	Zone  string  `msgpack:"z"`
	Most  int     `msgpack:"m"` // units; 0: not bounded so
	Share float64 `msgpack:"h"` // of the units there are, rounded down, but one at least; 0: not bounded so
	Spare float64 `msgpack:"p"` // what stays in, of each kind there is, can serve the load so many times; 0: not bounded so
}

// Check names what is wrong with a rule.
func (r *Rule) Check() error {
	switch {
	case r.Name == "":
		return fmt.Errorf("a rule has no name")
	case r.Most < 0 || !(r.Share >= 0 && r.Share < 1) || !(r.Spare >= 0) || math.IsInf(r.Spare, 0):
		return fmt.Errorf("rule %s: most must be 0 or more, share from 0 up to 1, spare 0 or more", r.Name)
	case r.Most == 0 && r.Share == 0 && r.Spare == 0:
		return fmt.Errorf("rule %s: it bounds nothing: name most, share or spare", r.Name)
	}
	return nil
}

// group is the part of the fleet that a rule bounds together with a unit; ok is false where it doesn't bound it.
func (r *Rule) group(u *Unit) (key string, ok bool) {
	if r.Kind != "" && r.Kind != u.Kind || r.Site != "" && r.Site != "*" && r.Site != u.Site || r.Zone != "" && r.Zone != "*" && r.Zone != u.Zone {
		return "", false
	}
	var parts []string
	if r.Site == "*" {
		parts = append(parts, u.Site)
	}
	if r.Zone == "*" {
		parts = append(parts, u.Zone)
	}
	return strings.Join(parts, "/"), true
}

// Permit allows one unit to be out. It counts until the unit is seen back, not until somebody says so.
type Permit struct {
	Change   string `msgpack:"c"` // release or drain that it belongs to
	Token    uint64 `msgpack:"k"`
	Left     bool   `msgpack:"l"` // the unit was let go: it is out, or about to be
	Returned bool   `msgpack:"r"` // its holder says that the unit is to serve again: seen so from now on, it ends
	Overdue  bool   `msgpack:"o"` // its time has passed; nothing planned leaves until somebody ends it
}

// Ask is one wish for a permit that waits.
type Ask struct {
	Change string `msgpack:"c"`
	Unit   string `msgpack:"u"`
}

// Budget says who is out, who may leave, and who waits to.
type Budget struct {
	Rules   []Rule             `msgpack:"r"`
	Units   map[string]*Unit   `msgpack:"u"`
	Permits map[string]*Permit `msgpack:"p"` // by unit
	Waiting []Ask              `msgpack:"w"` // in the order of asking
	Token   uint64             `msgpack:"k"`
	Halted  string             `msgpack:"h"` // who halted all planned work, and why; empty: nobody

	without guard
}

// guard names one of the guards, so that tests can take it out and see that their checks notice.
type guard int

const (
	nothing guard = iota
	crashesCount
	seenNotTold
	earlierFirst
	overdueHalts
	leaveAskedAgain
	newestFirst
	judgedOnEnough
)

// NewBudget is a budget with nothing in it; without a rule nothing may leave.
func NewBudget() *Budget {
	return &Budget{Units: map[string]*Unit{}, Permits: map[string]*Permit{}}
}

// Refusal is why a unit may not leave now.
type Refusal struct {
	Rule string   // that stands against it, or what else does
	Used []string // who uses the rule's room: units that are out, with the cause
	room string   // rule and part of the fleet
}

func (r *Refusal) Error() string {
	if len(r.Used) == 0 {
		return r.Rule
	}
	return fmt.Sprintf("%s; out are: %s", r.Rule, strings.Join(r.Used, ", "))
}

// out tells whether a unit is out, or may be from now on.
func (b *Budget) out(id string) bool {
	if b.Permits[id] != nil {
		return true
	}
	return !b.Units[id].in() && b.without != crashesCount
}

// cause is why a unit is out, in words for a person.
func (b *Budget) cause(id string) string {
	u, p := b.Units[id], b.Permits[id]
	switch {
	case p != nil && p.Overdue:
		return fmt.Sprintf("%s (%s, overdue)", id, p.Change)
	case p != nil:
		return fmt.Sprintf("%s (%s)", id, p.Change)
	case u.Lost:
		return id + " (out of sight)"
	case !u.Up:
		return id + " (not seen ready)"
	}
	return id + " (not warm yet)"
}

// Room tells whether a unit may leave now, or what stands against it. One that is seen out uses room already, but no
// more may be out for its sake: it may be back before that is seen.
func (b *Budget) Room(id string) *Refusal {
	if b.Units[id] == nil {
		return &Refusal{Rule: fmt.Sprintf("%s is not known", id)}
	}
	if no := b.stands(); no != nil {
		return no
	}
	return b.room(id, b.parts(b.out), b.out, true)
}

// stands is the refusal of all planned work; nil: it goes on.
func (b *Budget) stands() *Refusal {
	switch {
	case b.Halted != "":
		return &Refusal{Rule: "planned work is halted: " + b.Halted}
	case len(b.Rules) == 0:
		return &Refusal{Rule: "the budget has no rule: nothing may leave"}
	}
	return b.overdue()
}

// room looks at the rules that speak of a unit. Without words a refusal says only which room is lacking: to name who uses
// it takes a walk over all units, too much for each of many that wait, with each entry of the log.
func (b *Budget) room(id string, parts map[string]*part, out func(string) bool, words bool) *Refusal {
	bounded := false
	for i := range b.Rules {
		key, ok := b.Rules[i].group(b.Units[id])
		if !ok {
			continue
		}
		bounded = true
		if refused := b.against(&b.Rules[i], key, id, parts, out, words); refused != nil {
			return refused
		}
	}
	if !bounded {
		return &Refusal{Rule: fmt.Sprintf("no rule of the budget speaks of %s: it may not leave", id)}
	}
	return nil
}

// overdue is the refusal of all planned work while a permit's time has passed and nobody has ended it.
func (b *Budget) overdue() *Refusal {
	for _, id := range sortedKeys(b.Permits) {
		if b.Permits[id].Overdue && b.without != overdueHalts {
			return &Refusal{Rule: "a permit is overdue", Used: []string{b.cause(id)}}
		}
	}
	return nil
}

// part is one part of the fleet that a rule bounds, added up.
type part struct {
	n, out      int
	load, stays map[string]float64 // by kind
}

// asked is the load on a part: every request passes a unit of each kind, so kinds are not added up.
func (p *part) asked() (load float64) {
	for _, l := range p.load {
		load = max(load, l)
	}
	return load
}

// parts adds up all parts of the fleet, by rule and part. Units are gone through in order: sums of floats have to come
// out alike at every coordinator.
func (b *Budget) parts(out func(string) bool) map[string]*part {
	all := map[string]*part{}
	for _, id := range sortedKeys(b.Units) {
		u := b.Units[id]
		gone := out(id)
		for i := range b.Rules {
			key, ok := b.Rules[i].group(u)
			if !ok {
				continue
			}
			room := b.Rules[i].Name + "\x00" + key
			p := all[room]
			if p == nil {
				p = &part{load: map[string]float64{}, stays: map[string]float64{}}
				all[room] = p
			}
			p.n++
			p.load[u.Kind] += u.Load
			p.stays[u.Kind] += 0 // a kind of which all are out stands at nothing
			if gone {
				p.out++
			} else {
				p.stays[u.Kind] += u.Capacity
			}
		}
	}
	return all
}

// against looks at one rule with a unit out besides those that are.
func (b *Budget) against(r *Rule, key, id string, parts map[string]*part, out func(string) bool, words bool) *Refusal {
	room := r.Name + "\x00" + key
	p, u := parts[room], b.Units[id]
	after, leaves := p.out, 0.0
	if !out(id) {
		after, leaves = after+1, u.Capacity
	}
	where := ""
	if key != "" {
		where = " in " + key
	}
	refused := func(why string, args ...any) *Refusal {
		if !words {
			return &Refusal{room: room}
		}
		no := &Refusal{room: room, Rule: fmt.Sprintf("rule %s: ", r.Name) + fmt.Sprintf(why, args...)}
		for _, other := range sortedKeys(b.Units) {
			if k, ok := r.group(b.Units[other]); ok && k == key && out(other) {
				no.Used = append(no.Used, b.cause(other))
			}
		}
		return no
	}
	if limit := r.limit(p.n); limit >= 0 && after > limit {
		return refused("at most %d of %d may be out%s", limit, p.n, where)
	}
	if r.Spare > 0 {
		load := p.asked()
		for _, kind := range sortedKeys(p.stays) {
			stays := p.stays[kind]
			if kind == u.Kind {
				stays -= leaves
			}
			if stays < r.Spare*load {
				return refused("what would stay%s can serve %.0f a second (%ss), and %.0f is asked with %.2f times that to be kept", where, stays, kind, load, r.Spare)
			}
		}
	}
	return nil
}

// limit is how many of n units may be out; -1: the rule doesn't count them.
func (r *Rule) limit(n int) int {
	limit := -1
	if r.Most > 0 {
		limit = r.Most
	}
	if r.Share > 0 {
		share := max(1, int(r.Share*float64(n)+1e-9))
		if limit < 0 || share < limit {
			limit = share
		}
	}
	return limit
}

// Want asks for a permit. It is given when there is room and nobody waits before for the same room; else the ask
// waits, and is given a permit by Give in its turn. Asked twice, the same permit comes back.
func (b *Budget) Want(a Ask) (p *Permit, refused *Refusal) {
	if p := b.Permits[a.Unit]; p != nil {
		if p.Change == a.Change {
			return p, nil
		}
		return nil, &Refusal{Rule: fmt.Sprintf("%s is out already", a.Unit), Used: []string{b.cause(a.Unit)}}
	}
	if b.Units[a.Unit] == nil {
		return nil, b.Room(a.Unit)
	}
	if !slices.Contains(b.Waiting, a) {
		b.Waiting = append(b.Waiting, a)
	}
	b.Give()
	if p := b.Permits[a.Unit]; p != nil && p.Change == a.Change {
		return p, nil
	}
	if refused = b.Room(a.Unit); refused == nil {
		refused = &Refusal{Rule: "others asked before for the same room"}
	}
	return nil, refused
}

// Give gives permits to those who wait, in their order. One that has to wait keeps those behind it from the room that
// it lacks, so that many small changes can't starve it, and from no other.
func (b *Budget) Give() (given []Ask) {
	if len(b.Waiting) == 0 {
		return nil
	}
	kept := b.Waiting[:0:0]
	lacked := map[string]bool{}
	held := b.stands()
	var parts map[string]*part
	for _, a := range b.Waiting {
		u := b.Units[a.Unit]
		if u == nil {
			continue // it has left the fleet
		}
		if b.Permits[a.Unit] != nil {
			kept = append(kept, a)
			continue
		}
		refused := held
		if refused == nil {
			if parts == nil {
				parts = b.parts(b.out)
			}
			refused = b.room(a.Unit, parts, b.out, false)
		}
		for i := range b.Rules {
			if key, ok := b.Rules[i].group(u); ok && refused == nil && lacked[b.Rules[i].Name+"\x00"+key] && b.without != earlierFirst {
				refused = &Refusal{Rule: "others asked before", room: b.Rules[i].Name + "\x00" + key}
			}
		}
		if refused != nil {
			kept, lacked[refused.room] = append(kept, a), true
			continue
		}
		b.Token++
		b.Permits[a.Unit] = &Permit{Change: a.Change, Token: b.Token}
		given, parts = append(given, a), nil // added up anew, with this one out
	}
	b.Waiting = kept
	return given
}

// Leave is asked at the last moment before a unit leaves under its permit: what crashed since the permit was given
// counts, and then nothing planned leaves. The permit stays, and Leave is asked again.
func (b *Budget) Leave(unit string, token uint64) *Refusal {
	p := b.Permits[unit]
	switch {
	case p == nil || p.Token != token:
		return &Refusal{Rule: fmt.Sprintf("%s: token %d is no permit in force", unit, token)}
	case p.Left:
		return nil
	case p.Returned || p.Overdue:
		return &Refusal{Rule: fmt.Sprintf("%s: its permit was given back, or is overdue", unit)}
	}
	if no := b.stands(); no != nil {
		return no
	}
	out := func(id string) bool {
		other := b.Permits[id]
		return other != nil && other.Left || !b.Units[id].in() && b.without != crashesCount
	}
	if b.without != leaveAskedAgain {
		if refused := b.room(unit, b.parts(out), out, true); refused != nil {
			return refused
		}
	}
	p.Left = true
	return nil
}

// Withdraw takes back what a change still waits for.
func (b *Budget) Withdraw(change string) {
	b.Waiting = slices.DeleteFunc(b.Waiting, func(a Ask) bool { return a.Change == change })
}

// Return says that a unit is to serve again under a permit. A token that is not in force changes nothing.
func (b *Budget) Return(unit string, token uint64) bool {
	p := b.Permits[unit]
	if p == nil || p.Token != token {
		return false
	}
	p.Returned = true
	if b.without == seenNotTold {
		delete(b.Permits, unit)
	}
	return true
}

// Late notes that a permit's time has passed.
func (b *Budget) Late(unit string, token uint64) bool {
	p := b.Permits[unit]
	if p == nil || p.Token != token || p.Overdue {
		return false
	}
	p.Overdue = true
	return true
}

// See takes in what is seen of a unit. A permit whose unit was to serve again ends when it is seen to.
func (b *Budget) See(id string, u Unit) {
	now := u
	b.Units[id] = &now
	if p := b.Permits[id]; p != nil && p.Returned && now.in() {
		delete(b.Permits, id)
	}
}

// Forget takes a unit out of the fleet: it is not missed any more. One that is out under a permit stays.
func (b *Budget) Forget(id string) error {
	if b.Permits[id] != nil {
		return fmt.Errorf("%s is out under a permit: end that first", b.cause(id))
	}
	delete(b.Units, id)
	return nil
}

// Use is what of one rule's room is used, for one part of the fleet.
type Use struct {
	Rule, Where string
	Out, Of     int
	Limit       int     // -1: not by count
	Stays, Load float64 // a second; of the kind of which the least stays
	Spare       float64
	Who         []string
}

// Uses lists the room of all rules.
func (b *Budget) Uses() (all []Use) {
	parts := b.parts(b.out)
	for _, room := range sortedKeys(parts) {
		name, key, _ := strings.Cut(room, "\x00")
		r := &b.Rules[slices.IndexFunc(b.Rules, func(r Rule) bool { return r.Name == name })]
		p := parts[room]
		use := Use{Rule: name, Where: key, Out: p.out, Of: p.n, Limit: r.limit(p.n), Load: p.asked(), Spare: r.Spare, Stays: math.Inf(1)}
		for _, kind := range sortedKeys(p.stays) {
			use.Stays = min(use.Stays, p.stays[kind])
		}
		for _, id := range sortedKeys(b.Units) {
			if k, ok := r.group(b.Units[id]); ok && k == key && b.out(id) {
				use.Who = append(use.Who, b.cause(id))
			}
		}
		all = append(all, use)
	}
	return all
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
