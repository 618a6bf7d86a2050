// Package routes maps a request's method and path to a class by the first matching rule of an ordered list, which is
// compiled into a tree so that the cost of a match depends on the number of path parts and not of rules. It defines
// the rules' syntax and limits, and does not look at headers, queries or bodies.
package routes

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Rule assigns requests to a class. Each part of its path is a literal, "*" for any one part, or, as the last, "**" for
// any number of parts.
type Rule struct {
	Path    string
	Methods []string // empty: any
	Class   int
}

const (
	maxParts = 8      // of a rule's path: a match visits at most 2^maxParts nodes per level
	maxRules = 50_000 // of a list: twice the largest planned list
)

// methods are the methods that a rule may name. Their indexes are bit positions in ruleRef.methods.
var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions}

// Table is a compiled list of rules. Its zero value matches nothing. It is immutable after Compile.
type Table struct{ root *node }

// node is a node of the tree, reached by the parts of a path prefix.
type node struct {
	literal  map[string]*node
	wildcard *node
	exact    []ruleRef // rules whose path ends at this node, in order
	prefix   []ruleRef // rules that continue with "**", in order
}

// ruleRef is the part of a rule that a match needs.
type ruleRef struct {
	order   int // index in the list
	methods uint16
	class   int
}

// Compile builds a table from rules, or returns an error for each invalid rule.
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

// Match returns the class of the first rule that matches, or false if none does. It does not allocate.
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

// find replaces best with an earlier rule under n that matches the remaining path, if there is one. done means that no
// parts remain.
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
