// Package forwardauth is the HTTP front for forward authentication in the manner of Traefik's ForwardAuth and nginx's
// auth_request: it asks a checker before an exchange enters the core, and gives proxies verdicts on requests, on the
// core and quota that forwarded requests use too. It does not authenticate clients itself.
package forwardauth

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"junctionring/control"
	"junctionring/internal/config"
	"junctionring/internal/core"
	"junctionring/internal/egress"
	"junctionring/internal/front"
)

// trustedHeaders are the headers that are accepted only from trusted proxies.
var trustedHeaders = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Forwarded-Method",
	"X-Forwarded-Uri", "X-Original-Uri", "X-Original-Method", "Forwarded", "X-Real-Ip"}

// hopByHop are the headers that end at this gateway and are not passed on in either direction.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// Front is the front's HTTP handler. Each request is handled entirely under the view that was current on its arrival.
type Front struct {
	core  *core.Core
	proxy *httputil.ReverseProxy
	keys  keyGuard
	log   *slog.Logger

	mu       sync.Mutex
	view     *View
	replaced []*View // views that requests still use
}

// New returns a front with the configuration of an operator's file.
func New(o *config.Operator, c *core.Core, log *slog.Logger) (*Front, error) {
	f := &Front{
		core: c, log: log, keys: keyGuard{states: map[string]*keyState{}},
		proxy: front.Proxy(&egress.RoundTripper{Core: c, RetryAfter: egress.WholeSeconds}, log),
	}
	var err error
	f.view, err = f.NewView(o, sequence(len(o.Classes)), sequence(len(o.Plans)))
	return f, err
}

// sequence returns the numbers 0 to n-1.
func sequence(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// requestHandler handles one request under one view.
type requestHandler struct {
	*Front
	*View
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := f.acquireView()
	defer f.releaseView(v)
	requestHandler{f, v}.serve(w, r)
}

func (f requestHandler) serve(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if front.Chunked(r) {
		w.Header().Set("Connection", "close")
	}
	if f.o.Asked.Path != "" && r.URL.Path == f.o.Asked.Path {
		f.serveVerdict(w, r, received)
		return
	}
	x, err := f.decode(r, received)
	if err != nil {
		front.Reject(w, r, err)
		return
	}
	body, rest, err := front.ReadBody(w, r, min(f.o.MaxBody, egress.MaxBody), f.o.MaxBody)
	if err != nil {
		front.Reject(w, r, err)
		return
	}
	front.StartDeadline(&x, received, rest)
	trusted := f.trusted(r)
	origin := f.forwardedValues(r, trusted)
	// The forwarded request is the one that was checked: no header may describe another one.
	origin["X-Forwarded-Method"], origin["X-Forwarded-Uri"] = r.Method, r.RequestURI
	ctx, cancel := context.WithDeadline(r.Context(), front.AnswerDue(&x, rest))
	identity, refusal := f.identify(ctx, r.Header, origin, trusted)
	cancel()
	if refusal == nil {
		refusal = f.assignSender(&x, identity)
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the client disconnected during the check: nothing is sent
	}
	if refusal != nil {
		refusal.write(w)
		return
	}
	f.stripTrustedHeaders(r.Header)
	for name, values := range identity {
		r.Header[name] = values
	}
	for name, value := range origin {
		r.Header.Set(name, value)
	}
	if r.Header.Get("X-Request-ID") == "" {
		r.Header.Set("X-Request-ID", newRequestID())
	}
	f.forward(w, r, x, body, rest)
}

// forward passes an exchange to the core. The key of a keyed one is guarded against running twice.
func (f requestHandler) forward(w http.ResponseWriter, r *http.Request, x core.Exchange, body []byte, rest *front.Body) {
	class, name := f.o.Module.Classes[x.Class], f.names.Classes[x.Class]
	x.Class = f.classes[x.Class]
	if class.Repeat != control.Keyed {
		front.Forward(f.proxy, w, r, &x, body, rest, nil)
		return
	}
	id := name + "\x00" + r.Header.Get(f.o.Identity.Account) + "\x00" + r.Header.Get("Idempotency-Key")
	window := time.Duration(class.Window * float64(time.Second))
	status, firstSeen, reply, ranAt := f.keys.begin(id, time.Now(), window)
	switch status {
	case keyInFlight, keyExpired:
		(&refusal{status: http.StatusConflict, retryAfter: time.Second,
			text: "this Idempotency-Key is in use, or how it ended is in doubt"}).write(w)
		return
	case keyGuardFull:
		(&refusal{status: http.StatusServiceUnavailable, retryAfter: time.Second}).write(w)
		return
	case keyReplay:
		for name, values := range reply.Header {
			if !slices.Contains(hopByHop, name) {
				w.Header()[name] = values
			}
		}
		w.Header().Set("Idempotent-Replayed", "true")
		w.Write(reply.Body)
		return
	}
	if windowEnd := firstSeen.Add(window); windowEnd.Before(x.Deadline) {
		x.Deadline = windowEnd // after this, targets no longer drop a repeat
	}
	if status == keyRepeat && class.BoundToGroup() { // targets outside the group would run it a second time
		x.EarlierRun = &core.EarlierRun{Placement: ranAt, SentAt: firstSeen}
	}
	outcome := core.Answer{Kind: core.ClientGone} // stands if the core is not reached: nothing can have run
	defer func() { f.keys.end(id, time.Now(), outcome, status == keyRepeat) }()
	front.Forward(f.proxy, w, r, &x, body, rest, func(a core.Answer) { outcome = a })
}

// serveVerdict answers a proxy that asks whether a request may pass. The proxy forwards the request itself.
func (f requestHandler) serveVerdict(w http.ResponseWriter, r *http.Request, received time.Time) {
	if !f.trusted(r) {
		(&refusal{status: http.StatusForbidden, text: "only configured proxies may ask"}).write(w)
		return
	}
	origin := f.forwardedValues(r, true)
	u, err := url.ParseRequestURI(origin["X-Forwarded-Uri"])
	if err != nil {
		front.Reject(w, r, &front.RequestError{Status: http.StatusBadRequest, Text: "X-Forwarded-Uri is missing or no path"})
		return
	}
	x, err := f.decode(&http.Request{Method: origin["X-Forwarded-Method"], URL: u, Header: r.Header}, received)
	if err != nil {
		front.Reject(w, r, err)
		return
	}
	x.VerdictOnly = true
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
	defer cancel()
	identity, refused := f.identify(ctx, r.Header, origin, true)
	if refused == nil {
		refused = f.assignSender(&x, identity)
	}
	if refused != nil {
		refused.write(w)
		return
	}
	x.Class = f.classes[x.Class]
	switch a := f.core.Do(ctx, x); {
	case a.Kind == core.Allowed:
		for name, values := range identity {
			w.Header()[name] = values
		}
		w.WriteHeader(http.StatusOK)
	case a.OverQuota:
		(&refusal{status: http.StatusTooManyRequests, retryAfter: max(a.RetryAfter, time.Second)}).write(w)
	default:
		(&refusal{status: http.StatusServiceUnavailable, retryAfter: max(a.RetryAfter, time.Second)}).write(w)
	}
}

// decode reads everything from a request except its sender, which the checker determines.
func (f requestHandler) decode(r *http.Request, received time.Time) (x core.Exchange, err error) {
	if x.Class, err = f.names.Class(r); err != nil {
		return x, err
	}
	x.Deadline = received.Add(f.o.Classes[x.Class].Deadline.Duration - front.Margin)
	if text := r.Header.Get("X-Timeout"); text != "" {
		timeout, err := front.ParseTimeout(text)
		if err != nil {
			return x, err
		}
		if by := received.Add(timeout - front.Margin); by.Before(x.Deadline) {
			x.Deadline = by
		}
	}
	x.RequestID = r.Header.Get("X-Request-ID")
	x.Units, x.Spread = 1, f.o.Gateways
	if text := r.Header.Get("X-Quota"); text != "" {
		err = f.names.Quota(text, &x)
	}
	return x, err
}

// assignSender sets an exchange's customer and plan from identity.
func (f requestHandler) assignSender(x *core.Exchange, identity http.Header) *refusal {
	account, plan := identity.Get(f.o.Identity.Account), identity.Get(f.o.Identity.Plan)
	index := slices.Index(f.names.Plans, plan)
	switch {
	case account != "" && index >= 0:
		x.Plan = f.plans[index]
		h := fnv.New64a()
		h.Write([]byte(account))
		x.Customer = h.Sum64()
		return nil
	case f.checker != nil: // the checker allowed the client without a usable identity
		f.log.Error("checker's answer has no account or no known plan", "plan", plan)
		return f.checkFailed()
	case account == "":
		return &refusal{status: http.StatusUnauthorized, text: "nobody vouches for this client"}
	}
	return &refusal{status: http.StatusForbidden, text: "no such plan"}
}

// trusted reports whether the peer is a configured proxy.
func (f requestHandler) trusted(r *http.Request) bool {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && slices.ContainsFunc(f.o.TrustedProxies, func(p netip.Prefix) bool {
		return p.Contains(peer.Addr().Unmap())
	})
}

// forwardedValues returns the values of the forwarded headers: those from a trusted proxy, or else those of the request
// as received.
func (f requestHandler) forwardedValues(r *http.Request, trusted bool) map[string]string {
	peer, _, _ := net.SplitHostPort(r.RemoteAddr)
	values := map[string]string{
		"X-Forwarded-Method": r.Method, "X-Forwarded-Proto": "http", "X-Forwarded-Host": r.Host,
		"X-Forwarded-Uri": r.RequestURI, "X-Forwarded-For": peer,
	}
	if !trusted {
		return values
	}
	for _, source := range [][2]string{
		{"X-Forwarded-Method", "X-Original-Method"}, {"X-Forwarded-Method", "X-Forwarded-Method"},
		{"X-Forwarded-Uri", "X-Original-Uri"}, {"X-Forwarded-Uri", "X-Forwarded-Uri"},
		{"X-Forwarded-Proto", "X-Forwarded-Proto"}, {"X-Forwarded-Host", "X-Forwarded-Host"},
	} {
		if v := r.Header.Get(source[1]); v != "" {
			values[source[0]] = v
		}
	}
	if previous := strings.Join(r.Header.Values("X-Forwarded-For"), ", "); previous != "" {
		values["X-Forwarded-For"] = previous + ", " + peer
	}
	return values
}

// stripTrustedHeaders removes the headers that a client may not set.
func (f requestHandler) stripTrustedHeaders(h http.Header) {
	for _, list := range [][]string{trustedHeaders, f.o.Checker.ResponseHeaders, {f.o.Identity.Account, f.o.Identity.Plan}} {
		for _, name := range list {
			h.Del(name)
		}
	}
}

func newRequestID() string {
	var b [8]byte
	rand.Read(b[:]) // does not fail
	return hex.EncodeToString(b[:])
}
