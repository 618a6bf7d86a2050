// Package ingress is the front for the platform's protocol: it decodes a client's message into a typed exchange, has
// it forwarded, and answers. It does not pass malformed messages to the core; it rejects them itself.
package ingress

import (
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/egress"
	"junctionring/internal/front"
)

const maxIDBytes = 128 // of an X-Request-ID

// Platform returns the handler for the platform's protocol.
func Platform(names *front.Names, c *core.Core, log *slog.Logger) http.Handler {
	return PlatformLive(func() *front.Names { return names }, c, log)
}

// PlatformLive is like Platform with names that may change: each request is decoded with those that current returns
// when it arrives.
func PlatformLive(current func() *front.Names, c *core.Core, log *slog.Logger) http.Handler {
	proxy := front.Proxy(&egress.RoundTripper{Core: c, RetryAfter: egress.DecimalSeconds}, log)
	ids := newRequestIDs()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := time.Now()
		if front.Chunked(r) {
			w.Header().Set("Connection", "close")
		}
		x, err := Decode(current(), r, received)
		if err != nil {
			front.Reject(w, r, err)
			return
		}
		body, rest, err := front.ReadBody(w, r, egress.MaxBody, egress.MaxLong)
		if err != nil {
			front.Reject(w, r, err)
			return
		}
		id := strings.Clone(r.Header.Get("X-Request-ID")) // without the rest of the head, as it may be kept for long
		if !ids.begin(id, received) {
			front.Reject(w, r, &front.RequestError{Status: http.StatusConflict, Text: "this X-Request-ID is in use or was used before"})
			return
		}
		var answer core.Answer // none, and nothing has run, if the core is not reached
		defer func() { ids.end(id, time.Now(), answer) }()
		front.StartDeadline(&x, received, rest)
		front.Forward(proxy, w, r, &x, body, rest, func(a core.Answer) { answer = a })
	})
}

// Decode decodes a client's message except for its body. received is the time at which the server received it.
func Decode(n *front.Names, r *http.Request, received time.Time) (x core.Exchange, err error) {
	if err = front.Framing(r); err != nil {
		return x, err
	}
	if x.Class, err = n.Class(r); err != nil {
		return x, err
	}
	var values [5]string
	for i, name := range [...]string{"X-Request-Id", "X-Plan", "Cookie", "X-Timeout", "X-Quota"} {
		if values[i], err = front.SingleHeader(r.Header, name); err != nil {
			return x, err
		}
	}
	if id := values[0]; id == "" || len(id) > maxIDBytes {
		return x, front.BadRequest("X-Request-ID is missing or too long")
	}
	if x.Plan = slices.Index(n.Plans, values[1]); x.Plan < 0 {
		return x, front.BadRequest("no such plan: %.40q", values[1])
	}
	accounts := r.CookiesNamed("account")
	if len(accounts) != 1 {
		return x, front.BadRequest("there must be one account cookie")
	}
	if x.Customer, err = ParseAccount(accounts[0].Value); err != nil {
		return x, err
	}
	timeout, err := front.ParseTimeout(values[3])
	if err != nil {
		return x, err
	}
	if x.Class < len(n.MaxWait) && n.MaxWait[x.Class] > 0 {
		timeout = min(timeout, time.Duration(n.MaxWait[x.Class]*float64(time.Second)))
	}
	x.Deadline = received.Add(timeout - front.Margin)
	x.RequestID = values[0]
	x.Repeat = r.Header.Get("X-Retried") == "1"
	return x, n.Quota(values[4], &x)
}

// ParseAccount parses a customer: 16 hexadecimal digits with a value below 2^33.
func ParseAccount(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || v >= 1<<33 {
		return 0, front.BadRequest("no account: %.40q", text)
	}
	return v, nil
}
