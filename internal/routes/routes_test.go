package routes

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestMatchFirstRuleWins(t *testing.T) {
	table, faults := Compile([]Rule{
		{Path: "/boards/*/moves", Methods: []string{"POST"}, Class: 1},
		{Path: "/boards/7/**", Class: 2},
		{Path: "/boards/**", Methods: []string{"GET", "HEAD"}, Class: 3},
		{Path: "/", Class: 4},
		{Path: "/boards/7/moves", Class: 5}, // never reached
	})
	if faults != nil {
		t.Fatal(faults)
	}
	for _, c := range []struct {
		method, path string
		class        int // 0: none
	}{
		{"POST", "/boards/7/moves", 1}, {"GET", "/boards/7/moves", 2}, {"GET", "/boards/7", 2}, {"GET", "/boards/8/seats", 3},
		{"GET", "/boards", 3}, {"POST", "/boards/8/seats", 0}, {"GET", "/", 4}, {"GET", "/other", 0}, {"GET", "/boards//moves", 3},
		{"POST", "/boards//moves", 0}, {"BREW", "/boards/7/x", 2}, {"GET", "/boards/7/moves/", 2}, {"POST", "/boards/8/moves/", 0},
	} {
		class, ok := table.Match(c.method, c.path)
		if ok != (c.class > 0) || ok && class != c.class {
			t.Errorf("%s %s: %d %t, want %d", c.method, c.path, class, ok, c.class)
		}
	}
}

func TestFaultsAreAllNamed(t *testing.T) {
	_, faults := Compile([]Rule{
		{Path: "boards"}, {Path: "/a//b"}, {Path: "/**/a"}, {Path: "/a*"}, {Path: "/a", Methods: []string{"BREW"}},
		{Path: "/1/2/3/4/5/6/7/8/9"}, {Path: "/fine"},
	})
	if len(faults) != 6 {
		t.Errorf("%d faults: %v", len(faults), faults)
	}
	for i, f := range faults {
		if !strings.HasPrefix(f.Error(), fmt.Sprintf("route %d (", i+1)) {
			t.Errorf("%v", f)
		}
	}
}

// The compiled tree agrees with a linear search of the list.
func TestMatchAgreesWithTheList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	part := func() string { return []string{"a", "b", "*"}[rng.IntN(3)] }
	for range 300 {
		var rules []Rule
		for i := range 12 {
			path := ""
			for range rng.IntN(4) + 1 {
				path += "/" + part()
			}
			if rng.IntN(4) == 0 {
				path += "/**"
			}
			rules = append(rules, Rule{Path: path, Class: i})
		}
		table, faults := Compile(rules)
		if faults != nil {
			t.Fatal(faults)
		}
		for range 50 {
			path := ""
			for range rng.IntN(5) + 1 {
				path += "/" + []string{"a", "b", "c"}[rng.IntN(3)]
			}
			want := -1
			for i, r := range rules {
				if ruleMatches(r.Path, path) {
					want = i
					break
				}
			}
			class, ok := table.Match("GET", path)
			if ok != (want >= 0) || ok && class != want {
				t.Fatalf("%s: %d %t, want %d of %v", path, class, ok, want, rules)
			}
		}
	}
}

// ruleMatches reports whether the path of a rule matches a request's path.
func ruleMatches(rule, path string) bool {
	want, have := strings.Split(rule[1:], "/"), strings.Split(path[1:], "/")
	for i, w := range want {
		switch {
		case w == "**":
			return true
		case i >= len(have) || w != "*" && w != have[i]:
			return false
		}
	}
	return len(want) == len(have)
}

func BenchmarkMatch(b *testing.B) {
	var rules []Rule
	for i := range 500 {
		rules = append(rules, Rule{Path: fmt.Sprintf("/api/hall-%d/*/view", i), Methods: []string{"GET"}, Class: i})
	}
	table, _ := Compile(rules)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Match("GET", "/api/hall-499/12/view"); !ok {
			b.Fatal("no match")
		}
	}
}

func TestListOfThePlannedSize(t *testing.T) {
	rules := make([]Rule, maxRules+1)
	for i := range rules {
		rules[i] = Rule{Path: fmt.Sprintf("/service-%d/resource-%d/*", i%720, i), Class: i}
	}
	table, faults := Compile(rules[:maxRules])
	if class, ok := table.Match("GET", "/service-639/resource-22959/x"); len(faults) > 0 || !ok || class != 22959 {
		t.Errorf("class %d, %v, %v", class, ok, faults)
	}
	if _, faults := Compile(rules); len(faults) != 1 {
		t.Errorf("one rule too many: %v", faults)
	}
}
