package sites

import "junctionring/control"

// Reconfigure replaces the classes. Class numbers in use stay valid; from[n] is the old class whose learned times the
// new class n starts with, -1 for none.
func (r *Router) Reconfigure(now Seconds, classes []control.Class, from []int) {
	r.now = now
	r.settings.Classes = classes
	r.urgency = urgencies(classes)
	for i := range r.sites {
		st := &r.sites[i]
		old := st.classes
		st.classes = make([]classTimes, len(classes))
		for n := range st.classes {
			if f := from[n]; f >= 0 && f < len(old) {
				st.classes[n] = old[f]
			} else {
				st.classes[n] = initialTimes(classes[n], st.Distance)
			}
		}
		for _, s := range st.servers {
			s.baselines = append(s.baselines, make([]Seconds, len(classes)-len(s.baselines))...)
			for n := range s.baselines {
				if f := from[n]; f != n {
					s.baselines[n] = 0
				}
			}
		}
		for len(r.counts.Crossed[i]) < len(classes) {
			r.counts.Crossed[i] = append(r.counts.Crossed[i], [crossReasons]uint64{})
		}
	}
	for len(r.counts.Refused) < len(classes) {
		r.counts.Refused = append(r.counts.Refused, [denyReasons]uint64{})
	}
	if r.lastCounts.Crossed != nil {
		for i := range r.lastCounts.Crossed {
			for len(r.lastCounts.Crossed[i]) < len(classes) {
				r.lastCounts.Crossed[i] = append(r.lastCounts.Crossed[i], [crossReasons]uint64{})
			}
		}
		for len(r.lastCounts.Refused) < len(classes) {
			r.lastCounts.Refused = append(r.lastCounts.Refused, [denyReasons]uint64{})
		}
	}
}

// urgencies ranks the classes by worth per second of the aim: 0 for the lowest, 1 for the highest.
func urgencies(classes []control.Class) (ranks []float64) {
	least, most := classes[0].Worth/classes[0].Aim, 0.0
	for _, c := range classes {
		least, most = min(least, c.Worth/c.Aim), max(most, c.Worth/c.Aim)
	}
	for _, c := range classes {
		u := 1.0
		if most > least {
			u = (c.Worth/c.Aim - least) / (most - least)
		}
		ranks = append(ranks, u)
	}
	return ranks
}

// initialTimes returns the times of a class at a site before its first answer.
func initialTimes(c control.Class, distance Seconds) classTimes {
	return classTimes{baseline: c.Aim*initialBaseline + 2*distance, highTime: c.Aim*initialHighTime + 2*distance}
}
