// Package routes matches a request's method and path to a class: a list of rules in order, the first that fits
// counts, compiled once into a tree so that a match costs the path's parts and not the rules. It owns the rules'
// words and their bounds, and never looks at anything but method and path.
package routes

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Rule sends requests to a class. A path's parts are literal, "*" for any one, or a last "**" for any rest.
type Rule struct {
	Path    string
	Methods []string // empty: any
	Class   int
}

const (
	mostParts = 8      // of a rule's path: a match looks at no more than 2 to that many places
	mostRules = 50_000 // of a list: twice the largest that is planned for
)

// methods are the ones that a rule may name, each a bit.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions}

// Table is a compiled list. Its zero value matches nothing. It is not changed after Compile.
type Table struct{ root *node }

// node is a place in the tree: what may follow the parts that led here.
type node struct {
	next map[string]*node
	any  *node
	ends []end // rules whose path ends here, in order
	rest []end // rules that go on with "**"
}

// end is a rule, by its place in the list.
type end struct {
	order   int
	methods uint16
	class   int
}

// Compile makes a table, or says all that is wrong with the rules.
func Compile(rules []Rule) (*Table, []error) {
	var faults []error
	t := &Table{root: &node{}}
	if len(rules) > mostRules {
		return t, []error{fmt.Errorf("%d routes, %d are allowed", len(rules), mostRules)}
	}
	for i, r := range rules {
		e, parts, err := r.read(i)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		n := t.root
		for _, part := range parts {
			if part == "**" {
				break
			}
			n = n.child(part)
		}
		if len(parts) > 0 && parts[len(parts)-1] == "**" {
			n.rest = append(n.rest, e)
		} else {
			n.ends = append(n.ends, e)
		}
	}
	return t, faults
}

func (r Rule) read(i int) (e end, parts []string, err error) {
	fault := func(format string, args ...any) (end, []string, error) {
		return e, nil, fmt.Errorf("route %d (%s): %s", i+1, r.Path, fmt.Sprintf(format, args...))
	}
	if !strings.HasPrefix(r.Path, "/") {
		return fault("the path must begin with /")
	}
	if r.Path != "/" {
		parts = strings.Split(r.Path[1:], "/")
	}
	if len(parts) > mostParts {
		return fault("%d parts, %d are allowed", len(parts), mostParts)
	}
	for n, part := range parts {
		switch {
		case part == "":
			return fault("part %d is empty", n+1)
		case part == "**" && n < len(parts)-1:
			return fault("** stands only at the end")
		case part != "*" && part != "**" && strings.ContainsAny(part, "*?#"):
			return fault("part %d, %q, is neither literal nor * nor **", n+1, part)
		}
	}
	e = end{order: i, class: r.Class}
	for _, m := range r.Methods {
		bit := slices.Index(methods, m)
		if bit < 0 {
			return fault("method %q is not known", m)
		}
		e.methods |= 1 << bit
	}
	return e, parts, nil
}

func (n *node) child(part string) *node {
	if part == "*" {
		if n.any == nil {
			n.any = &node{}
		}
		return n.any
	}
	if n.next == nil {
		n.next = map[string]*node{}
	}
	c := n.next[part]
	if c == nil {
		c = &node{}
		n.next[part] = c
	}
	return c
}

// Match is the class of the first rule that fits; false: none does. It allocates nothing.
func (t *Table) Match(method, path string) (class int, ok bool) {
	if t.root == nil {
		return 0, false
	}
	bit := uint16(0)
	if i := slices.Index(methods, method); i >= 0 {
		bit = 1 << i
	}
	best := end{order: mostRules}
	t.root.find(bit, strings.TrimPrefix(path, "/"), path == "/" || path == "", &best)
	return best.class, best.order < mostRules
}

// find looks for the first rule that fits what is left of a path.
func (n *node) find(bit uint16, left string, done bool, best *end) {
	first(n.rest, bit, best)
	if done {
		first(n.ends, bit, best)
		return
	}
	part, rest, more := strings.Cut(left, "/")
	if c := n.next[part]; c != nil {
		c.find(bit, rest, !more, best)
	}
	if n.any != nil && part != "" {
		n.any.find(bit, rest, !more, best)
	}
}

func first(ends []end, bit uint16, best *end) {
	for _, e := range ends {
		if e.order >= best.order {
			return
		}
		if e.methods == 0 || e.methods&bit != 0 {
			*best = e
			return
		}
	}
}
