package scale

// Compared is one figure of a role at one size, by two builds.
type Compared struct {
	Role          Kind
	Phase         Phase
	Figure        string
	Value         int
	Before, After float64
}

// Compare sets what two builds have used side by side. What only one of them has measured is left out.
func Compare(rows []Row, before, after string) (all []Compared) {
	type key struct {
		role  Kind
		phase Phase
		value int
	}
	was := map[key]Row{}
	for _, r := range rows {
		if r.Build == before {
			was[key{r.Role, r.Phase, r.Value}] = r
		}
	}
	for _, r := range rows {
		old, both := was[key{r.Role, r.Phase, r.Value}]
		if r.Build != after || !both {
			continue
		}
		for _, f := range Figures {
			if f.of(old) != 0 || f.of(r) != 0 {
				all = append(all, Compared{r.Role, r.Phase, f.Name, r.Value, f.of(old), f.of(r)})
			}
		}
	}
	return all
}
