package config

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strconv"

	"junctionring/control"
)

// fixed are the parts of a document that can't change while a gateway serves, with the reason that its operator
// is told. A version may leave them out; what it says must be what the gateway was started with.
var immutableSettings = []struct {
	key, why string
	part     func(o *Operator) any
}{
	{"listen", "the address is bound at the start", func(o *Operator) any { return &o.Listen }},
	{"ordinal", "counts are split by it", func(o *Operator) any { return &o.Ordinal }},
	{"gateways", "counts are split by it", func(o *Operator) any { return &o.Gateways }},
	{"max_header", "the server is built with it", func(o *Operator) any { return &o.MaxHeader }},
	{"max_attempts", "held requests were taken in with it", func(o *Operator) any { return &o.MaxAttempts }},
	{"drain", "it is told at the start", func(o *Operator) any { return &o.Drain }},
	{"limits", "memory, cores and sockets are bound at the start", func(o *Operator) any { return &o.Limits }},
	{"redis", "units not yet added belong to this store", func(o *Operator) any { return &o.Redis }},
	{"site", "what is learned is kept by site", func(o *Operator) any { return &o.Sites }},
	{"discovery", "the roster is watched from the start", func(o *Operator) any { return &o.Discovery }},
	{"operations", "the address is bound at the start", func(o *Operator) any { return &o.Operations }},
	{"versions", "it says where versions come from", func(o *Operator) any { return &o.Versions }},
}

// ReadVersion reads a version's document for a gateway that was started with base. It returns all that is wrong.
func ReadVersion(text []byte, base *Operator) (*Operator, []error) {
	return readVersion(base, func(o *Operator) []error { return o.read(text) })
}

// readVersion has a document decoded and checked over what it may leave out, and looks for what can't change.
func readVersion(base *Operator, decodeAndCheck func(*Operator) []error) (*Operator, []error) {
	o := defaultOperator()
	for _, f := range immutableSettings {
		copyValue(f.part(o), f.part(base))
	}
	o.Sites = nil // a list is read into: it must not be the base's own
	faults := decodeAndCheck(o)
	if o.Sites == nil {
		o.Sites = base.Sites
		o.Module.Site, o.Module.Sites, o.Module.SiteGateways, o.SitesModule = base.Module.Site, base.Module.Sites, base.Module.SiteGateways, base.SitesModule
	}
	for _, f := range immutableSettings {
		if !reflect.DeepEqual(f.part(o), f.part(base)) {
			faults = append(faults, fmt.Errorf("%s can't change while the gateway serves: %s", f.key, f.why))
		}
	}
	o.SetPlanKeys()
	return o, faults
}

func copyValue(to, from any) { reflect.ValueOf(to).Elem().Set(reflect.ValueOf(from).Elem()) }

// planKey names a plan's counts: another rate or burst is another count, since windows are cut by them.
func planKey(p PlanSettings) uint64 {
	h := fnv.New64a()
	for _, part := range []string{p.Name, strconv.FormatFloat(p.Rate, 'g', -1, 64), strconv.FormatFloat(p.Burst, 'g', -1, 64)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64() | 1
}

// SetPlanKeys gives the plans their keys, alike at all gateways, whatever versions each has seen.
func (o *Operator) SetPlanKeys() {
	for i := range o.Module.Plans {
		o.Module.Plans[i].Key = planKey(o.Plans[i])
	}
}

// Slots gives the classes and plans of versions their numbers in the core: one that goes on as it was keeps its
// number, another gets one that no version in use has. Numbers mean the same for as long as anybody uses them.
type Slots struct {
	Classes    []control.Class
	ClassNames []string
	Plans      []control.Plan
	PlanNames  []string
}

// Assign numbers a version's classes and plans; used tells which numbers must stay as they are. from is, for each
// class number, the one whose learned times it begins with.
func (s *Slots) Assign(o *Operator, usedClass, usedPlan func(int) bool) (classes, plans, inheritFrom []int) {
	inheritFrom = make([]int, len(s.Classes))
	for i := range inheritFrom {
		inheritFrom[i] = i
	}
	taken := map[int]bool{}
	for i, c := range o.Module.Classes {
		name, slot, sameName := o.Classes[i].Name, -1, -1
		for n := range s.Classes {
			if s.ClassNames[n] != name {
				continue
			}
			sameName = n
			if s.Classes[n] == c {
				slot = n
				break
			}
		}
		if slot < 0 {
			slot = firstFree(len(s.Classes), func(n int) bool { return taken[n] || usedClass(n) })
			if slot == len(s.Classes) {
				s.Classes, s.ClassNames, inheritFrom = append(s.Classes, c), append(s.ClassNames, name), append(inheritFrom, sameName)
			} else {
				s.Classes[slot], s.ClassNames[slot], inheritFrom[slot] = c, name, sameName
			}
		}
		taken[slot] = true
		classes = append(classes, slot)
	}
	taken = map[int]bool{}
	for i, p := range o.Module.Plans {
		slot := -1
		for n := range s.Plans {
			if s.PlanNames[n] == o.Plans[i].Name && s.Plans[n] == p {
				slot = n
			}
		}
		if slot < 0 {
			slot = firstFree(len(s.Plans), func(n int) bool { return taken[n] || usedPlan(n) })
			if slot == len(s.Plans) {
				s.Plans, s.PlanNames = append(s.Plans, p), append(s.PlanNames, o.Plans[i].Name)
			} else {
				s.Plans[slot], s.PlanNames[slot] = p, o.Plans[i].Name
			}
		}
		taken[slot] = true
		plans = append(plans, slot)
	}
	return classes, plans, inheritFrom
}

func firstFree(n int, used func(int) bool) int {
	for i := range n {
		if !used(i) {
			return i
		}
	}
	return n
}
