// Package ingress is the front for the platform's protocol: it decodes a client's message into a typed
// exchange, has it carried out, and answers. What is malformed is answered here and never reaches the core.
package ingress

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
)

// Margin is how long before the client gives up its answer is to be on its way.
const Margin = 5 * time.Millisecond

const (
	lingerFor  = 300 * time.Millisecond
	lingerMost = 256 << 10
)

// Malformed is what is wrong with a message, and the status that says so.
type Malformed struct {
	Status int
	Text   string
}

func (m *Malformed) Error() string { return m.Text }

func bad(format string, args ...any) error {
	return &Malformed{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// Names tells what the words in a message stand for.
type Names struct {
	Classes  []string
	Plans    []string
	Repeats  []control.Repeat // by class
	Gateways int
}

// Class finds the class of a path and checks that the method suits it.
func (n *Names) Class(r *http.Request) (int, error) {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class := slices.Index(n.Classes, first)
	if class < 0 {
		return 0, &Malformed{http.StatusNotFound, fmt.Sprintf("no such class: %.40q", first)}
	}
	want := http.MethodPost
	if n.Repeats[class] == control.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return 0, &Malformed{http.StatusMethodNotAllowed, first + " takes " + want}
	}
	if n.Repeats[class] == control.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return 0, bad("%s needs an Idempotency-Key", first)
	}
	return class, nil
}

// Decode reads a client's message, but for its body. received is when it was taken in.
func (n *Names) Decode(r *http.Request, received time.Time) (x core.Exchange, err error) {
	if x.Class, err = n.Class(r); err != nil {
		return x, err
	}
	if r.Header.Get("X-Request-ID") == "" {
		return x, bad("X-Request-ID is missing")
	}
	if x.Plan = slices.Index(n.Plans, r.Header.Get("X-Plan")); x.Plan < 0 {
		return x, bad("no such plan: %.40q", r.Header.Get("X-Plan"))
	}
	account, err := r.Cookie("account")
	if err != nil {
		return x, bad("the account cookie is missing")
	}
	if x.Customer, err = ParseAccount(account.Value); err != nil {
		return x, err
	}
	wait, err := ParseTimeout(r.Header.Get("X-Timeout"))
	if err != nil {
		return x, err
	}
	x.Deadline = received.Add(wait - Margin)
	x.Repeat = r.Header.Get("X-Retried") == "1"
	return x, n.Quota(r.Header.Get("X-Quota"), &x)
}

// ParseAccount reads a customer: 16 hex digits, below 2^33.
func ParseAccount(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || v >= 1<<33 {
		return 0, bad("no account: %.40q", text)
	}
	return v, nil
}

// ParseTimeout reads a number and its unit, m or u.
func ParseTimeout(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	}
	v, err := strconv.ParseFloat(text[:max(0, len(text)-1)], 64)
	if unit == 0 || err != nil || !(v > 0 && v*float64(unit) < float64(24*time.Hour)) {
		return 0, bad("no timeout: %.40q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// Quota reads the units that an exchange draws and the gateways that its customer comes through.
func (n *Names) Quota(text string, x *core.Exchange) error {
	for _, part := range strings.Split(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) {
			return bad("no quota: %.60q", text)
		}
		switch key {
		case "units":
			x.Units = v
		case "spread":
			x.Spread = int(v)
		case "first":
			x.First = int(v)
		}
	}
	if !(x.Units > 0 && x.Units <= 1e6) || x.Spread < 1 || x.First < 0 || x.First >= n.Gateways {
		return bad("quota out of range: %.60q", text)
	}
	return nil
}

// ReadBody takes a whole body in, up to the limit.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &Malformed{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if int64(len(body)) > limit {
		return nil, &Malformed{http.StatusRequestEntityTooLarge, "the body is too large"}
	}
	if err != nil {
		return nil, bad("the body is cut short")
	}
	return body, nil
}

// Reject answers what is malformed, at once: net/http would first wait for a body that was not read. What is
// still on its way is then read off for a moment, since closing on unread bytes resets the connection and may
// take the answer with it.
func Reject(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	if m, ok := err.(*Malformed); ok {
		status = m.Status
	}
	if r.ContentLength == 0 {
		http.Error(w, err.Error(), status)
		return
	}
	control := http.NewResponseController(w)
	control.EnableFullDuplex() // where these are not supported the answer is only slower
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(lingerFor))
	io.Copy(io.Discard, io.LimitReader(r.Body, lingerMost))
}
