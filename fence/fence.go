// Package fence checks fencing tokens at the resource that a lease protects, and refuses an action whose token is lower
// than one seen before. It does not grant leases, and it does not authenticate callers.
//
// The check stops a process that was paused between checking its lease and acting, which no lease can do alone.
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

// Header is the HTTP header that carries a lease's name and token, separated by a space.
const Header = "X-Fence"

const (
	maxNameBytes = 200
	maxNames     = 10_000 // leases that one gate remembers
)

// StaleTokenError is the refusal of an action whose token is lower than one already seen for the lease.
type StaleTokenError struct {
	Name        string
	Token, Seen uint64
}

func (s *StaleTokenError) Error() string {
	return fmt.Sprintf("lease %s: token %d is overtaken: %d was seen", s.Name, s.Token, s.Seen)
}

// Gate admits actions by their fencing tokens; it remembers the highest token of each lease.
type Gate struct {
	mu      sync.Mutex
	path    string
	highest map[string]uint64
}

// Open returns a gate. With a path, its tokens are as durable as that file; without one, they last as long as the
// process, which is enough for a resource whose state is lost with the process. A file that cannot be read completely
// is an error: a gate that has lost its tokens would admit any holder.
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
		return nil, fmt.Errorf("cannot load the fencing tokens from %s: %w", path, err)
	}
	return g, nil
}

// Admit admits an action, or returns a *StaleTokenError. A new token is on disk before its action is admitted: if an
// admitted token were forgotten, a lower one could follow it.
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

// Highest returns the highest admitted token of a lease, or 0 if there is none.
func (g *Gate) Highest(name string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest[name]
}

// Parse parses a value of Header.
func Parse(value string) (name string, token uint64, err error) {
	name, number, ok := strings.Cut(value, " ")
	if token, err = strconv.ParseUint(number, 10, 64); !ok || err != nil || name == "" || len(name) > maxNameBytes || token == 0 {
		return "", 0, fmt.Errorf("%s: %.40q is not NAME TOKEN", Header, value)
	}
	return name, token, nil
}

// Check checks the token of one HTTP call. A call without the header is admitted: a person may always act by hand.
// status is 0 for an admitted call; for a refused one, status and reason are the answer to the caller.
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

// Guard returns a handler that checks each call before next handles it, except for GET and HEAD, which change nothing.
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
