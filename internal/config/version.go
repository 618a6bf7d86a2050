package config

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"strconv"

	"junctionring/control"
)

// immutableSettings are the parts of a document that can't change while a gateway serves, with the reason given to the
// operator. A version may omit them; if present, they must equal those that the gateway was started with.
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

// ReadVersion reads and checks a version's document for a gateway that was started with base. It returns all faults.
func ReadVersion(text []byte, base *Operator) (*Operator, []error) {
	return readVersion(base, func(o *Operator) []error { return o.read(text) })
}

// readVersion calls decodeAndCheck with an Operator that holds the defaults and the immutable settings of base, then
// adds a fault for each immutable setting that differs from base.
func readVersion(base *Operator, decodeAndCheck func(*Operator) []error) (*Operator, []error) {
	o := defaultOperator()
	for _, f := range immutableSettings {
		copyValue(f.part(o), f.part(base))
	}
	o.Sites = nil // decoding writes into an existing slice, which must not be that of base
	o.inheritsSites = len(base.Sites) > 0
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

// planKey returns the key under which a plan's use is counted. It depends on rate and burst, since the counting windows
// are derived from them.
func planKey(p PlanSettings) uint64 {
	h := fnv.New64a()
	for _, part := range []string{p.Name, strconv.FormatFloat(p.Rate, 'g', -1, 64), strconv.FormatFloat(p.Burst, 'g', -1, 64)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return h.Sum64() | 1
}

// SetPlanKeys sets the keys of the plans. They are the same at all gateways, whichever versions each has seen.
func (o *Operator) SetPlanKeys() {
	for i := range o.Module.Plans {
		o.Module.Plans[i].Key = planKey(o.Plans[i])
	}
}

// Slots assigns numbers in the core to the classes and plans of versions. An unchanged class or plan keeps its number;
// a new or changed one gets a number that no version in use has. A number keeps its meaning as long as it is in use.
type Slots struct {
	Classes    []control.Class
	ClassNames []string
	Plans      []control.Plan
	PlanNames  []string
}

// Assign assigns numbers to a version's classes and plans. usedClass and usedPlan report whether a number is in use and
// must not be reassigned. For each class number, inheritFrom is the number of the class whose learned times it starts
// with, or -1.
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

// firstFree returns the first number below n that is not used, or n.
func firstFree(n int, used func(int) bool) int {
	for i := range n {
		if !used(i) {
			return i
		}
	}
	return n
}
