package configuration

import (
	"fmt"
	"slices"

	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/forwardauth"
	"junctionring/internal/snapshot"
	"junctionring/versions"
)

// staged is a checked version that is prepared while another one is in force. view is nil until it has been built.
type staged struct {
	operator *config.Operator
	view     *forwardauth.View
}

func newResult(o versions.Offer, faults []string, waiting bool) versions.Done {
	return versions.Done{Number: o.Number, Digest: o.Digest, Faults: faults, Waiting: waiting}
}

// check reads and checks a document against the plans in use, the front's windows and the roster. It works in its own
// goroutine, so that the manager keeps handling messages.
func (m *Manager) check(o versions.Offer) {
	content, onRoster, current := m.documents[documentKey{o.Number, o.Digest}], m.roster, m.current.operator
	names := append([]string(nil), m.slots.PlanNames...)
	go func() {
		next, errs := m.reader.Read(content)
		var faults []string
		for _, err := range errs {
			faults = append(faults, err.Error())
		}
		if len(faults) == 0 {
			if err := next.Module.Check(); err != nil {
				faults = append(faults, err.Error())
			}
			faults = append(faults, m.removedPlansInUse(current, next, names)...)
			faults = append(faults, m.front.WindowFaults(next)...)
		}
		valid := len(faults) == 0
		if m.base.Discovery.Address != "" {
			for _, t := range next.Targets {
				if !onRoster[t.ID] {
					faults = append(faults, fmt.Sprintf("target %s is not on the roster", t.ID))
				}
			}
		}
		m.post(stepResult{newResult(o, faults, valid && len(faults) > 0), &staged{operator: next}})
	}()
}

// removedPlansInUse returns a fault for each plan that a version removes while customers in service use it.
func (m *Manager) removedPlansInUse(current, next *config.Operator, names []string) (faults []string) {
	kept := map[string]bool{}
	for _, p := range next.Plans {
		kept[p.Name] = true
	}
	removed := false
	for _, p := range current.Plans {
		removed = removed || !kept[p.Name]
	}
	if !removed {
		return nil
	}
	customers := map[string]int{}
	for number, n := range m.core.PlansInUse() {
		if number < len(names) {
			customers[names[number]] += n
		}
	}
	for _, p := range current.Plans {
		if n := customers[p.Name]; n > 0 && !kept[p.Name] {
			faults = append(faults, fmt.Sprintf("plan %s is taken away while %d customers in service use it; move them first", p.Name, n))
		}
	}
	return faults
}

// stage builds the view of the version. After it only saving to disk can fail.
func (m *Manager) stage(o versions.Offer) {
	next := m.candidate
	go func() {
		view, err := m.front.NewView(next.operator, nil, nil)
		var faults []string
		if err != nil {
			faults = []string{err.Error()}
		}
		m.post(stepResult{newResult(o, faults, false), &staged{next.operator, view}})
	}()
}

func (m *Manager) save(o versions.Offer) {
	v, path := snapshot.Version{Number: o.Number, Content: m.documents[documentKey{o.Number, o.Digest}]}, m.base.Versions.Snapshot
	go func() {
		var faults []string
		if err := snapshot.Save(path, v); err != nil {
			faults = []string{"it can't be saved, and would be lost with the next start: " + err.Error()}
		}
		m.post(stepResult{newResult(o, faults, false), nil})
	}()
}

// apply puts the staged version in force. New requests are decided under it from here on. Requests already held finish
// under the version they arrived with, whose class and plan numbers stay reserved until then.
func (m *Manager) apply(o versions.Offer) {
	next := m.candidate
	classes, customers, plans := m.front.Classes(), m.core.PlansInUse(), m.front.Plans()
	c, p, inheritFrom := m.slots.Assign(next.operator, func(n int) bool { return classes[n] },
		func(n int) bool { return plans[n] || customers[n] > 0 })
	m.core.Reconfigure(control.Reconfigured{
		Classes: append([]control.Class(nil), m.slots.Classes...),
		Plans:   append([]control.Plan(nil), m.slots.Plans...), From: inheritFrom,
	})
	next.view.SetNumbers(c, p)
	m.core.SetClassNames(slices.Clone(m.slots.ClassNames))
	m.front.Install(next.view)
	m.onApply(next.operator)
	m.current, m.candidate = next, nil
	m.postAsync(stepResult{newResult(o, nil, false), nil})
}
