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
	maxParts = 8      // of a rule's path: a match looks at no more than 2 to that many places
	maxRules = 50_000 // of a list: twice the largest that is planned for
)

// methods are the ones that a rule may name, each a bit.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions}

// Table is a compiled list. Its zero value matches nothing. It is not changed after Compile.
type Table struct{ root *node }

// node is a place in the tree: what may follow the parts that led here.
type node struct {
	literal  map[string]*node
	wildcard *node
	exact    []ruleRef // rules whose path ends here, in order
	prefix   []ruleRef // rules that go on with "**"
}

// end is a rule, by its place in the list.
type ruleRef struct {
	order   int
	methods uint16
	class   int
}

// Compile makes a table, or says all that is wrong with the rules.
func Compile(rules []Rule) (*Table, []error) {
	var faults []error
	t := &Table{root: &node{}}
	if len(rules) > maxRules {
		return t, []error{fmt.Errorf("%d routes, %d are allowed", len(rules), maxRules)}
	}
	for i, r := range rules {
		e, parts, err := r.parse(i)
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
			n.prefix = append(n.prefix, e)
		} else {
			n.exact = append(n.exact, e)
		}
	}
	return t, faults
}

func (r Rule) parse(i int) (ref ruleRef, parts []string, err error) {
	fault := func(format string, args ...any) (ruleRef, []string, error) {
		return ref, nil, fmt.Errorf("route %d (%s): %s", i+1, r.Path, fmt.Sprintf(format, args...))
	}
	if !strings.HasPrefix(r.Path, "/") {
		return fault("the path must begin with /")
	}
	if r.Path != "/" {
		parts = strings.Split(r.Path[1:], "/")
	}
	if len(parts) > maxParts {
		return fault("%d parts, %d are allowed", len(parts), maxParts)
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
	ref = ruleRef{order: i, class: r.Class}
	for _, m := range r.Methods {
		bit := slices.Index(methods, m)
		if bit < 0 {
			return fault("method %q is not known", m)
		}
		ref.methods |= 1 << bit
	}
	return ref, parts, nil
}

func (n *node) child(part string) *node {
	if part == "*" {
		if n.wildcard == nil {
			n.wildcard = &node{}
		}
		return n.wildcard
	}
	if n.literal == nil {
		n.literal = map[string]*node{}
	}
	c := n.literal[part]
	if c == nil {
		c = &node{}
		n.literal[part] = c
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
	best := ruleRef{order: maxRules}
	t.root.find(bit, strings.TrimPrefix(path, "/"), path == "/" || path == "", &best)
	return best.class, best.order < maxRules
}

// find looks for the first rule that fits what is left of a path.
func (n *node) find(bit uint16, path string, done bool, best *ruleRef) {
	matchFirst(n.prefix, bit, best)
	if done {
		matchFirst(n.exact, bit, best)
		return
	}
	part, rest, more := strings.Cut(path, "/")
	if c := n.literal[part]; c != nil {
		c.find(bit, rest, !more, best)
	}
	if n.wildcard != nil && part != "" {
		n.wildcard.find(bit, rest, !more, best)
	}
}

func matchFirst(refs []ruleRef, bit uint16, best *ruleRef) {
	for _, e := range refs {
		if e.order >= best.order {
			return
		}
		if e.methods == 0 || e.methods&bit != 0 {
			*best = e
			return
		}
	}
}
