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
func (u Unit) inService() bool { return u.Up && u.Warm }

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
func (r *Rule) scope(u *Unit) (key string, ok bool) {
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

// PermitRequest is one wish for a permit that waits.
type PermitRequest struct {
	Change string `msgpack:"c"`
	Unit   string `msgpack:"u"`
}

// Budget says who is out, who may leave, and who waits to.
type Budget struct {
	Rules   []Rule             `msgpack:"r"`
	Units   map[string]*Unit   `msgpack:"u"`
	Permits map[string]*Permit `msgpack:"p"` // by unit
	Waiting []PermitRequest    `msgpack:"w"` // in the order of asking
	Token   uint64             `msgpack:"k"`
	Halted  string             `msgpack:"h"` // who halted all planned work, and why; empty: nobody

	disabled guard
}

// guard names one of the guards, so that tests can take it out and see that their checks notice.
type guard int

const (
	guardNone guard = iota
	guardCrashesCount
	guardObservedReturn
	guardRequestOrder
	guardOverdueBlocks
	guardLeaveRecheck
	guardNewestFirst
	guardMinRequests
)

// NewBudget is a budget with nothing in it; without a rule nothing may leave.
func NewBudget() *Budget {
	return &Budget{Units: map[string]*Unit{}, Permits: map[string]*Permit{}}
}

// Refusal is why a unit may not leave now.
type Refusal struct {
	Reason   string   // that stands against it, or what else does
	OutUnits []string // who uses the rule's room: units that are out, with the cause
	scope    string   // rule and part of the fleet
}

func (r *Refusal) Error() string {
	if len(r.OutUnits) == 0 {
		return r.Reason
	}
	return fmt.Sprintf("%s; out are: %s", r.Reason, strings.Join(r.OutUnits, ", "))
}

// out tells whether a unit is out, or may be from now on.
func (b *Budget) isOut(id string) bool {
	if b.Permits[id] != nil {
		return true
	}
	return !b.Units[id].inService() && b.disabled != guardCrashesCount
}

// cause is why a unit is out, in words for a person.
func (b *Budget) describeOut(id string) string {
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

// CheckLeave tells whether a unit may leave now, or what stands against it. One that is seen out uses room already, but no
// more may be out for its sake: it may be back before that is seen.
func (b *Budget) CheckLeave(id string) *Refusal {
	if b.Units[id] == nil {
		return &Refusal{Reason: fmt.Sprintf("%s is not known", id)}
	}
	if refusal := b.plannedWorkBlocked(); refusal != nil {
		return refusal
	}
	return b.checkRules(id, b.scopeTotals(b.isOut), b.isOut, true)
}

// stands is the refusal of all planned work; nil: it goes on.
func (b *Budget) plannedWorkBlocked() *Refusal {
	switch {
	case b.Halted != "":
		return &Refusal{Reason: "planned work is halted: " + b.Halted}
	case len(b.Rules) == 0:
		return &Refusal{Reason: "the budget has no rule: nothing may leave"}
	}
	return b.overduePermit()
}

// room looks at the rules that speak of a unit. Without words a refusal says only which room is lacking: to name who uses
// it takes a walk over all units, too much for each of many that wait, with each entry of the log.
func (b *Budget) checkRules(id string, totals map[string]*scopeTotal, isOut func(string) bool, detailed bool) *Refusal {
	covered := false
	for i := range b.Rules {
		key, ok := b.Rules[i].scope(b.Units[id])
		if !ok {
			continue
		}
		covered = true
		if refused := b.checkRule(&b.Rules[i], key, id, totals, isOut, detailed); refused != nil {
			return refused
		}
	}
	if !covered {
		return &Refusal{Reason: fmt.Sprintf("no rule of the budget speaks of %s: it may not leave", id)}
	}
	return nil
}

// overdue is the refusal of all planned work while a permit's time has passed and nobody has ended it.
func (b *Budget) overduePermit() *Refusal {
	for _, id := range sortedKeys(b.Permits) {
		if b.Permits[id].Overdue && b.disabled != guardOverdueBlocks {
			return &Refusal{Reason: "a permit is overdue", OutUnits: []string{b.describeOut(id)}}
		}
	}
	return nil
}

// part is one part of the fleet that a rule bounds, added up.
type scopeTotal struct {
	total, out      int
	load, remaining map[string]float64 // by kind
}

// asked is the load on a part: every request passes a unit of each kind, so kinds are not added up.
func (p *scopeTotal) maxLoad() (load float64) {
	for _, l := range p.load {
		load = max(load, l)
	}
	return load
}

// parts adds up all parts of the fleet, by rule and part. Units are gone through in order: sums of floats have to come
// out alike at every coordinator.
func (b *Budget) scopeTotals(isOut func(string) bool) map[string]*scopeTotal {
	totals := map[string]*scopeTotal{}
	for _, id := range sortedKeys(b.Units) {
		u := b.Units[id]
		unitOut := isOut(id)
		for i := range b.Rules {
			key, ok := b.Rules[i].scope(u)
			if !ok {
				continue
			}
			scope := b.Rules[i].Name + "\x00" + key
			p := totals[scope]
			if p == nil {
				p = &scopeTotal{load: map[string]float64{}, remaining: map[string]float64{}}
				totals[scope] = p
			}
			p.total++
			p.load[u.Kind] += u.Load
			p.remaining[u.Kind] += 0 // a kind of which all are out stands at nothing
			if unitOut {
				p.out++
			} else {
				p.remaining[u.Kind] += u.Capacity
			}
		}
	}
	return totals
}

// against looks at one rule with a unit out besides those that are.
func (b *Budget) checkRule(r *Rule, key, id string, totals map[string]*scopeTotal, isOut func(string) bool, detailed bool) *Refusal {
	scope := r.Name + "\x00" + key
	p, u := totals[scope], b.Units[id]
	outAfter, removed := p.out, 0.0
	if !isOut(id) {
		outAfter, removed = outAfter+1, u.Capacity
	}
	where := ""
	if key != "" {
		where = " in " + key
	}
	refuse := func(format string, args ...any) *Refusal {
		if !detailed {
			return &Refusal{scope: scope}
		}
		refusal := &Refusal{scope: scope, Reason: fmt.Sprintf("rule %s: ", r.Name) + fmt.Sprintf(format, args...)}
		for _, other := range sortedKeys(b.Units) {
			if k, ok := r.scope(b.Units[other]); ok && k == key && isOut(other) {
				refusal.OutUnits = append(refusal.OutUnits, b.describeOut(other))
			}
		}
		return refusal
	}
	if limit := r.limit(p.total); limit >= 0 && outAfter > limit {
		return refuse("at most %d of %d may be out%s", limit, p.total, where)
	}
	if r.Spare > 0 {
		load := p.maxLoad()
		for _, kind := range sortedKeys(p.remaining) {
			remaining := p.remaining[kind]
			if kind == u.Kind {
				remaining -= removed
			}
			if remaining < r.Spare*load {
				return refuse("what would stay%s can serve %.0f a second (%ss), and %.0f is asked with %.2f times that to be kept", where, remaining, kind, load, r.Spare)
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

// RequestPermit asks for a permit. It is given when there is room and nobody waits before for the same room; else the ask
// waits, and is given a permit by Give in its turn. Asked twice, the same permit comes back.
func (b *Budget) RequestPermit(a PermitRequest) (p *Permit, refused *Refusal) {
	if p := b.Permits[a.Unit]; p != nil {
		if p.Change == a.Change {
			return p, nil
		}
		return nil, &Refusal{Reason: fmt.Sprintf("%s is out already", a.Unit), OutUnits: []string{b.describeOut(a.Unit)}}
	}
	if b.Units[a.Unit] == nil {
		return nil, b.CheckLeave(a.Unit)
	}
	if !slices.Contains(b.Waiting, a) {
		b.Waiting = append(b.Waiting, a)
	}
	b.GrantWaiting()
	if p := b.Permits[a.Unit]; p != nil && p.Change == a.Change {
		return p, nil
	}
	if refused = b.CheckLeave(a.Unit); refused == nil {
		refused = &Refusal{Reason: "others asked before for the same room"}
	}
	return nil, refused
}

// GrantWaiting gives permits to those who wait, in their order. One that has to wait keeps those behind it from the room that
// it lacks, so that many small changes can't starve it, and from no other.
func (b *Budget) GrantWaiting() (granted []PermitRequest) {
	if len(b.Waiting) == 0 {
		return nil
	}
	waiting := b.Waiting[:0:0]
	blocked := map[string]bool{}
	workBlocked := b.plannedWorkBlocked()
	var totals map[string]*scopeTotal
	for _, a := range b.Waiting {
		u := b.Units[a.Unit]
		if u == nil {
			continue // it has left the fleet
		}
		if b.Permits[a.Unit] != nil {
			waiting = append(waiting, a)
			continue
		}
		refused := workBlocked
		if refused == nil {
			if totals == nil {
				totals = b.scopeTotals(b.isOut)
			}
			refused = b.checkRules(a.Unit, totals, b.isOut, false)
		}
		for i := range b.Rules {
			if key, ok := b.Rules[i].scope(u); ok && refused == nil && blocked[b.Rules[i].Name+"\x00"+key] && b.disabled != guardRequestOrder {
				refused = &Refusal{Reason: "others asked before", scope: b.Rules[i].Name + "\x00" + key}
			}
		}
		if refused != nil {
			waiting, blocked[refused.scope] = append(waiting, a), true
			continue
		}
		b.Token++
		b.Permits[a.Unit] = &Permit{Change: a.Change, Token: b.Token}
		granted, totals = append(granted, a), nil // added up anew, with this one out
	}
	b.Waiting = waiting
	return granted
}

// Leave is asked at the last moment before a unit leaves under its permit: what crashed since the permit was given
// counts, and then nothing planned leaves. The permit stays, and Leave is asked again.
func (b *Budget) Leave(unit string, token uint64) *Refusal {
	p := b.Permits[unit]
	switch {
	case p == nil || p.Token != token:
		return &Refusal{Reason: fmt.Sprintf("%s: token %d is no permit in force", unit, token)}
	case p.Left:
		return nil
	case p.Returned || p.Overdue:
		return &Refusal{Reason: fmt.Sprintf("%s: its permit was given back, or is overdue", unit)}
	}
	if refusal := b.plannedWorkBlocked(); refusal != nil {
		return refusal
	}
	isOut := func(id string) bool {
		other := b.Permits[id]
		return other != nil && other.Left || !b.Units[id].inService() && b.disabled != guardCrashesCount
	}
	if b.disabled != guardLeaveRecheck {
		if refused := b.checkRules(unit, b.scopeTotals(isOut), isOut, true); refused != nil {
			return refused
		}
	}
	p.Left = true
	return nil
}

// Withdraw takes back what a change still waits for.
func (b *Budget) Withdraw(change string) {
	b.Waiting = slices.DeleteFunc(b.Waiting, func(a PermitRequest) bool { return a.Change == change })
}

// Return says that a unit is to serve again under a permit. A token that is not in force changes nothing.
func (b *Budget) Return(unit string, token uint64) bool {
	p := b.Permits[unit]
	if p == nil || p.Token != token {
		return false
	}
	p.Returned = true
	if b.disabled == guardObservedReturn {
		delete(b.Permits, unit)
	}
	return true
}

// MarkOverdue notes that a permit's time has passed.
func (b *Budget) MarkOverdue(unit string, token uint64) bool {
	p := b.Permits[unit]
	if p == nil || p.Token != token || p.Overdue {
		return false
	}
	p.Overdue = true
	return true
}

// Observe takes in what is seen of a unit. A permit whose unit was to serve again ends when it is seen to.
func (b *Budget) Observe(id string, u Unit) {
	now := u
	b.Units[id] = &now
	if p := b.Permits[id]; p != nil && p.Returned && now.inService() {
		delete(b.Permits, id)
	}
}

// Forget takes a unit out of the fleet: it is not missed any more. One that is out under a permit stays.
func (b *Budget) Forget(id string) error {
	if b.Permits[id] != nil {
		return fmt.Errorf("%s is out under a permit: end that first", b.describeOut(id))
	}
	delete(b.Units, id)
	return nil
}

// RuleUsage is what of one rule's room is used, for one part of the fleet.
type RuleUsage struct {
	Rule, Scope     string
	Out, Total      int
	Limit           int     // -1: not by count
	Remaining, Load float64 // a second; of the kind of which the least stays
	Spare           float64
	OutUnits        []string
}

// Usage lists the room of all rules.
func (b *Budget) Usage() (all []RuleUsage) {
	totals := b.scopeTotals(b.isOut)
	for _, scope := range sortedKeys(totals) {
		name, key, _ := strings.Cut(scope, "\x00")
		r := &b.Rules[slices.IndexFunc(b.Rules, func(r Rule) bool { return r.Name == name })]
		p := totals[scope]
		usage := RuleUsage{Rule: name, Scope: key, Out: p.out, Total: p.total, Limit: r.limit(p.total), Load: p.maxLoad(), Spare: r.Spare, Remaining: math.Inf(1)}
		for _, kind := range sortedKeys(p.remaining) {
			usage.Remaining = min(usage.Remaining, p.remaining[kind])
		}
		for _, id := range sortedKeys(b.Units) {
			if k, ok := r.scope(b.Units[id]); ok && k == key && b.isOut(id) {
				usage.OutUnits = append(usage.OutUnits, b.describeOut(id))
			}
		}
		all = append(all, usage)
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
