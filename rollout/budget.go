// Package rollout decides how a fleet is changed without too much of it being out of service at once. It does no I/O,
// reads no clock and starts no goroutine.
//
// It has three parts: the budget, which must grant a permit before any unit is taken out, also by hand; the plan of a
// release, whose complete state is in the log, so that any conductor can continue it; and the check that compares a new
// version with the previous one.
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

// Unit is a server that may be taken out of service: a gateway or a table server.
type Unit struct {
	Kind     string  `msgpack:"k"` // KindGateway or KindTable
	Site     string  `msgpack:"s"`
	Zone     string  `msgpack:"z"`
	Capacity float64 `msgpack:"c"` // requests per second that it can serve once warm
	Load     float64 `msgpack:"l"` // requests per second that it serves now, as last reported
	Version  string  `msgpack:"v"` // version of the program that it runs
	Config   string  `msgpack:"g"` // version of the configuration in force there; empty: the one that it started with
	Instance string  `msgpack:"i"` // of its process: after a restart the unit has the same name and another instance
	Up       bool    `msgpack:"u"` // last observed ready
	Warm     bool    `msgpack:"w"` // able to serve its full capacity
	Lost     bool    `msgpack:"t"` // its observer no longer reports: it counts as out, although it may still serve
	By       string  `msgpack:"b"` // member that observes it; when that member stops reporting, the unit counts as lost
}

// inService reports whether a unit is ready and warm.
func (u Unit) inService() bool { return u.Up && u.Warm }

// Rule is one limit on what may be out of service. A site or zone of "*" applies the rule to each site or zone
// separately.
type Rule struct {
	Name  string  `msgpack:"n"`
	Kind  string  `msgpack:"k"` // empty: any kind
	Site  string  `msgpack:"s"` // empty: any site
	Zone  string  `msgpack:"z"` // empty: any zone
	Most  int     `msgpack:"m"` // number of units that may be out; 0: no such limit
	Share float64 `msgpack:"h"` // of the units may be out, rounded down but at least one; 0: no such limit
	Spare float64 `msgpack:"p"` // least remaining capacity of each kind, as a multiple of the load; 0: no limit
}

// Check returns an error that says what is wrong with a rule.
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

// scope returns the key of the part of the fleet that the rule limits as a whole and that contains the unit. It returns
// false if the rule does not apply to the unit.
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

// Permit allows one unit to be out of service. It counts until the unit is observed back in service: its holder's report
// alone does not end it.
type Permit struct {
	Change   string `msgpack:"c"` // release or drain that it was granted for
	Token    uint64 `msgpack:"k"`
	Left     bool   `msgpack:"l"` // the unit was allowed to leave: it is out, or about to be
	Returned bool   `msgpack:"r"` // reported to serve again; the next observation in service ends the permit
	Overdue  bool   `msgpack:"o"` // its time has passed; nothing planned leaves until it ends or is claimed
}

// PermitRequest is a change's request for a permit for one unit.
type PermitRequest struct {
	Change string `msgpack:"c"`
	Unit   string `msgpack:"u"`
}

// Budget records which units are out, which may leave, and which requests wait for a permit.
type Budget struct {
	Rules   []Rule             `msgpack:"r"`
	Units   map[string]*Unit   `msgpack:"u"`
	Permits map[string]*Permit `msgpack:"p"` // by unit
	Waiting []PermitRequest    `msgpack:"w"` // in the order of the requests
	Token   uint64             `msgpack:"k"`
	Halted  string             `msgpack:"h"` // who halted all planned work, and why; empty: not halted

	disabled guard
}

// guard identifies one of the safety checks, so that a test can disable it and verify that the fault is detected.
type guard int

const (
	guardNone           guard = iota
	guardCrashesCount         // crashed and lost units count as out
	guardObservedReturn       // a permit ends on an observation, not on a report
	guardRequestOrder         // earlier requests for the same scope are granted first
	guardOverdueBlocks        // an overdue permit blocks planned work
	guardLeaveRecheck         // the rules are checked again before a unit leaves
	guardNewestFirst          // a rollback begins with the last changed unit
	guardMinRequests          // a version is judged only on enough requests
)

// NewBudget returns an empty budget. Without a rule no unit may leave.
func NewBudget() *Budget {
	return &Budget{Units: map[string]*Unit{}, Permits: map[string]*Permit{}}
}

// Refusal says why a unit may not leave now.
type Refusal struct {
	Reason   string   // the rule that forbids it, or another reason
	OutUnits []string // the units that are out under the rule, each with its cause
	scope    string   // rule and scope key
}

func (r *Refusal) Error() string {
	if len(r.OutUnits) == 0 {
		return r.Reason
	}
	return fmt.Sprintf("%s; out are: %s", r.Reason, strings.Join(r.OutUnits, ", "))
}

// isOut reports whether a unit is out, or has a permit and may leave at any moment.
func (b *Budget) isOut(id string) bool {
	if b.Permits[id] != nil {
		return true
	}
	return !b.Units[id].inService() && b.disabled != guardCrashesCount
}

// describeOut says for an operator why a unit is out.
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

// CheckLeave returns nil if a unit may leave now, and otherwise the reason why not. A unit that is observed out already
// counts against the limits, and may leave only while the units that are out are within them: it may be back in service
// before that is observed.
func (b *Budget) CheckLeave(id string) *Refusal {
	if b.Units[id] == nil {
		return &Refusal{Reason: fmt.Sprintf("%s is not known", id)}
	}
	if refusal := b.plannedWorkBlocked(); refusal != nil {
		return refusal
	}
	return b.checkRules(id, b.scopeTotals(b.isOut), b.isOut, true)
}

// plannedWorkBlocked returns the reason why all planned work is refused, or nil.
func (b *Budget) plannedWorkBlocked() *Refusal {
	switch {
	case b.Halted != "":
		return &Refusal{Reason: "planned work is halted: " + b.Halted}
	case len(b.Rules) == 0:
		return &Refusal{Reason: "the budget has no rule: nothing may leave"}
	}
	return b.overduePermit()
}

// checkRules checks the rules that apply to a unit. Unless detailed is set, a refusal carries only the scope: listing
// the units that are out takes a pass over all units, which is too expensive for each of many waiting requests at every
// log entry.
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

// overduePermit refuses all planned work while a permit is overdue.
func (b *Budget) overduePermit() *Refusal {
	for _, id := range sortedKeys(b.Permits) {
		if b.Permits[id].Overdue && b.disabled != guardOverdueBlocks {
			return &Refusal{Reason: "a permit is overdue", OutUnits: []string{b.describeOut(id)}}
		}
	}
	return nil
}

// scopeTotal holds the totals of one part of the fleet that a rule limits.
type scopeTotal struct {
	total, out      int
	load, remaining map[string]float64 // by kind
}

// maxLoad is the load on a scope: every request passes through a unit of each kind, so the loads of kinds are not added.
func (p *scopeTotal) maxLoad() (load float64) {
	for _, l := range p.load {
		load = max(load, l)
	}
	return load
}

// scopeTotals computes the totals of all scopes, by rule and scope key. It adds the units in sorted order, because
// floating-point sums must be identical at every coordinator.
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
			p.remaining[u.Kind] += 0 // creates the entry, so that a kind with all units out counts as capacity 0
			if unitOut {
				p.out++
			} else {
				p.remaining[u.Kind] += u.Capacity
			}
		}
	}
	return totals
}

// checkRule checks one rule as if the unit were out in addition to those that already are.
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

// limit returns how many of n units may be out, or -1 if the rule does not limit their number.
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

// RequestPermit requests a permit. It is granted if the rules allow it and no earlier request waits for the same scope.
// Otherwise the request waits, and GrantWaiting grants it in its turn. A repeated request returns the same permit.
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

// GrantWaiting grants permits to waiting requests in their order. A request that cannot be granted blocks later requests
// for the scope that refused it, so that many small changes cannot starve it; it blocks no other scope.
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
			continue // the unit has left the fleet
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
		granted, totals = append(granted, a), nil // the totals are computed again with this unit out
	}
	b.Waiting = waiting
	return granted
}

// Leave checks the rules again at the last moment before a unit leaves under its permit, because units may have crashed
// since the permit was granted. If it refuses, the permit stays in force and the caller calls Leave again.
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

// Withdraw removes the waiting requests of a change.
func (b *Budget) Withdraw(change string) {
	b.Waiting = slices.DeleteFunc(b.Waiting, func(a PermitRequest) bool { return a.Change == change })
}

// Return records the report of a permit's holder that the unit serves again. It returns false, and changes nothing, if
// the token is not in force.
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

// MarkOverdue records that a permit's time has passed.
func (b *Budget) MarkOverdue(unit string, token uint64) bool {
	p := b.Permits[unit]
	if p == nil || p.Token != token || p.Overdue {
		return false
	}
	p.Overdue = true
	return true
}

// Observe records an observation of a unit. It ends the unit's permit if the unit was reported to serve again and is
// observed in service.
func (b *Budget) Observe(id string, u Unit) {
	now := u
	b.Units[id] = &now
	if p := b.Permits[id]; p != nil && p.Returned && now.inService() {
		delete(b.Permits, id)
	}
}

// Forget removes a unit from the fleet, so that it no longer counts as out. A unit with a permit is not removed.
func (b *Budget) Forget(id string) error {
	if b.Permits[id] != nil {
		return fmt.Errorf("%s is out under a permit: end that first", b.describeOut(id))
	}
	delete(b.Units, id)
	return nil
}

// RuleUsage says how much of one rule's limits is used in one scope.
type RuleUsage struct {
	Rule, Scope     string
	Out, Total      int
	Limit           int     // number of units that may be out; -1: the rule does not limit it
	Remaining, Load float64 // requests per second; Remaining is that of the kind with the least remaining capacity
	Spare           float64
	OutUnits        []string
}

// Usage lists the usage of all rules, by rule and scope.
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
