// Package fence is the check on the side of what is acted upon: each act under a lease carries the lease's token, and
// one with a lower token than was seen before is refused. It is what keeps out a process that was paused between its
// look at the lease and its act; no lease alone can.
package fence

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"junctionring/internal/snapshot"
)

// Header carries a lease's name and token with an HTTP call, with a space between.
const Header = "X-Fence"

const (
	maxNameBytes = 200    // bytes
	maxNames     = 10_000 // that one gate remembers
)

// StaleTokenError is the refusal of an act under a token that another holder has overtaken.
type StaleTokenError struct {
	Name        string
	Token, Seen uint64
}

func (s *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: token %d is overtaken: %d was seen", s.Name, s.Token, s.Seen)
}

// Gate remembers the highest token of each lease.
type Gate struct {
	mu      sync.Mutex
	path    string
	highest map[string]uint64
}

// Open makes a gate. With a path its memory is as durable as that file; without one it lasts as long as the process,
// which fits what itself is forgotten with the process. A file that can't be read whole is an error: a gate that
// forgot would let anybody in.
func Open(path string) (*Gate, error) {
	g := &Gate{path: path, highest: map[string]uint64{}}
	if path == "" {
		return g, nil
	}
	v, err := snapshot.Load(path)
	if errors.Is(err, snapshot.ErrNone) {
		return g, nil
	}
	if err == nil {
		err = json.Unmarshal(v.Content, &g.highest)
	}
	if err != nil {
		return nil, fmt.Errorf("tokens seen so far: %w", err)
	}
	return g, nil
}

// Admit lets an act in, or returns a *Stale. A token seen for the first time is on disk before the act is let in: one
// that was let in and forgotten could be followed by a lower one.
func (g *Gate) Admit(name string, token uint64) error {
	if name == "" || len(name) > maxNameBytes || token == 0 {
		return fmt.Errorf("lease %.20q with token %d: a name of 1 to %d bytes and a token above 0 are due", name, token, maxNameBytes)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	seen, known := g.highest[name]
	switch {
	case token < seen:
		return &StaleTokenError{name, token, seen}
	case token == seen:
		return nil
	case !known && len(g.highest) >= maxNames:
		return fmt.Errorf("lease %s: %d leases are remembered here, and no more", name, maxNames)
	}
	g.highest[name] = token
	if err := g.save(); err != nil {
		if g.highest[name] = seen; !known {
			delete(g.highest, name)
		}
		return fmt.Errorf("lease %s: its token can't be kept: %w", name, err)
	}
	return nil
}

func (g *Gate) save() error {
	if g.path == "" {
		return nil
	}
	text, err := json.Marshal(g.highest)
	if err != nil {
		return err
	}
	return snapshot.Save(g.path, snapshot.Version{Number: 1, Content: text})
}

// Highest is the highest token of a lease that was let in; 0: none.
func (g *Gate) Highest(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest[name]
}

// Parse reads a Header's value.
func Parse(value string) (name string, token uint64, err error) {
	name, number, ok := strings.Cut(value, " ")
	if token, err = strconv.ParseUint(number, 10, 64); !ok || err != nil || name == "" || len(name) > maxNameBytes || token == 0 {
		return "", 0, fmt.Errorf("%s: %.40q is not NAME TOKEN", Header, value)
	}
	return name, token, nil
}

// Check looks at one HTTP call. A call without the header is let through: a person may always act by hand. status is
// 0 for a call that is let in.
func (g *Gate) Check(h http.Header) (status int, reason string) {
	values := h.Values(Header)
	if len(values) == 0 {
		return 0, ""
	}
	if len(values) > 1 {
		return http.StatusBadRequest, Header + " stands there twice"
	}
	name, token, err := Parse(values[0])
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	var stale *StaleTokenError
	switch err := g.Admit(name, token); {
	case err == nil:
		return 0, ""
	case errors.As(err, &stale):
		return http.StatusConflict, err.Error()
	default:
		return http.StatusInternalServerError, err.Error()
	}
}

// Guard puts the check in front of a handler's calls that change something.
func (g *Gate) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			if status, reason := g.Check(r.Header); status != 0 {
				http.Error(w, reason, status)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
