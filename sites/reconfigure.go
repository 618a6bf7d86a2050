package sites

import "junctionring/control"

// Reconfigure takes new classes in. Numbers that were in use stay; from names, for each class, the one whose
// learned times it begins with, -1 for none.
func (r *Router) Reconfigure(now Seconds, classes []control.Class, from []int) {
	r.now = now
	r.set.Classes = classes
	r.urgency = urgencies(classes)
	for i := range r.sites {
		st := &r.sites[i]
		old := st.classes
		st.classes = make([]class, len(classes))
		for n := range st.classes {
			if f := from[n]; f >= 0 && f < len(old) {
				st.classes[n] = old[f]
			} else {
				st.classes[n] = firstClass(classes[n], st.Distance)
			}
		}
		for _, s := range st.servers {
			s.low = append(s.low, make([]Seconds, len(classes)-len(s.low))...)
			for n := range s.low {
				if f := from[n]; f != n {
					s.low[n] = 0
				}
			}
		}
		for len(r.counts.Crossed[i]) < len(classes) {
			r.counts.Crossed[i] = append(r.counts.Crossed[i], [causes]uint64{})
		}
	}
	for len(r.counts.Refused) < len(classes) {
		r.counts.Refused = append(r.counts.Refused, [bars]uint64{})
	}
	if r.summed.Crossed != nil {
		for i := range r.summed.Crossed {
			for len(r.summed.Crossed[i]) < len(classes) {
				r.summed.Crossed[i] = append(r.summed.Crossed[i], [causes]uint64{})
			}
		}
		for len(r.summed.Refused) < len(classes) {
			r.summed.Refused = append(r.summed.Refused, [bars]uint64{})
		}
	}
}

// urgencies ranks classes by worth a second of the wanted time: 0 for the least, 1 for the most.
func urgencies(classes []control.Class) (all []float64) {
	least, most := classes[0].Worth/classes[0].Aim, 0.0
	for _, c := range classes {
		least, most = min(least, c.Worth/c.Aim), max(most, c.Worth/c.Aim)
	}
	for _, c := range classes {
		u := 1.0
		if most > least {
			u = (c.Worth/c.Aim - least) / (most - least)
		}
		all = append(all, u)
	}
	return all
}

func firstClass(c control.Class, distance Seconds) class {
	return class{low: c.Aim*firstLow + 2*distance, high: c.Aim*firstHigh + 2*distance}
}
