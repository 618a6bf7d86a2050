// Package forwardauth is the front for forward authentication over HTTP, after Traefik's ForwardAuth and
// nginx's auth_request. It asks a checker before an exchange enters the core, and is asked for verdicts by
// proxies, on the same core and quota as all else.
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

// forwarded are the headers that only trusted proxies are believed.
var forwarded = []string{"X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Forwarded-Method",
	"X-Forwarded-Uri", "X-Original-Uri", "X-Original-Method", "Forwarded", "X-Real-Ip"}

// hopByHop are the headers that end at this gateway.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// Front is the handler of the front. Each request is decided under the one view that it came in under.
type Front struct {
	core  *core.Core
	proxy *httputil.ReverseProxy
	keys  keys
	log   *slog.Logger

	mu   sync.Mutex
	view *View
	past []*View // replaced, and still used by requests
}

// New makes the front of an operator's file.
func New(o *config.Operator, c *core.Core, log *slog.Logger) (*Front, error) {
	f := &Front{
		core: c, log: log, keys: keys{known: map[string]*keyState{}},
		proxy: front.Proxy(&egress.RoundTripper{Core: c, RetryAfter: egress.WholeSeconds}, log),
	}
	var err error
	f.view, err = f.NewView(o, places(len(o.Classes)), places(len(o.Plans)))
	return f, err
}

func places(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// visit is one request's stay, with the view that it is decided under.
type visit struct {
	*Front
	*View
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v := f.enterView()
	defer f.leaveView(v)
	visit{f, v}.serve(w, r)
}

func (f visit) serve(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	if front.Chunked(r) {
		w.Header().Set("Connection", "close")
	}
	if f.o.Asked.Path != "" && r.URL.Path == f.o.Asked.Path {
		f.asked(w, r, received)
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
	front.Arrived(&x, received, rest)
	trusted := f.trusted(r)
	origin := f.origin(r, trusted)
	// What is checked is what is sent on: no header may say that it is something else.
	origin["X-Forwarded-Method"], origin["X-Forwarded-Uri"] = r.Method, r.RequestURI
	ctx, cancel := context.WithDeadline(r.Context(), x.Deadline)
	identity, refusal := f.identify(ctx, r.Header, origin, trusted)
	cancel()
	if refusal == nil {
		refusal = f.enter(&x, identity)
	}
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the client left while it was checked: nothing is sent for it
	}
	if refusal != nil {
		refusal.write(w)
		return
	}
	f.strip(r.Header)
	for name, values := range identity {
		r.Header[name] = values
	}
	for name, value := range origin {
		r.Header.Set(name, value)
	}
	if r.Header.Get("X-Request-ID") == "" {
		r.Header.Set("X-Request-ID", freshID())
	}
	f.carry(w, r, x, body, rest)
}

// carry has an exchange carried out, a keyed one under the guard of its key.
func (f visit) carry(w http.ResponseWriter, r *http.Request, x core.Exchange, body []byte, rest *front.Body) {
	class, name := f.o.Module.Classes[x.Class], f.names.Classes[x.Class]
	x.Class = f.classes[x.Class]
	if class.Repeat != control.Keyed {
		front.Carry(f.proxy, w, r, &x, body, rest, nil)
		return
	}
	id := name + "\x00" + r.Header.Get(f.o.Identity.Account) + "\x00" + r.Header.Get("Idempotency-Key")
	v, by, reply, ranAt := f.keys.begin(id, time.Now(), time.Duration(class.Window*float64(time.Second)))
	switch v {
	case running, spent:
		(&refusal{status: http.StatusConflict, retryAfter: time.Second,
			text: "this Idempotency-Key is in use, or how it ended is in doubt"}).write(w)
		return
	case crowded:
		(&refusal{status: http.StatusServiceUnavailable, retryAfter: time.Second}).write(w)
		return
	case served:
		for name, values := range reply.Header {
			if !slices.Contains(hopByHop, name) {
				w.Header()[name] = values
			}
		}
		w.Header().Set("Idempotent-Replayed", "true")
		w.Write(reply.Body)
		return
	}
	if by.Before(x.Deadline) {
		x.Deadline = by // later targets no longer drop a repeat
	}
	if v == repeat && class.Group != control.GroupAll { // at another site it would run a second time
		x.Pinned, x.PinnedSite = true, ranAt
	}
	end := core.Answer{Kind: core.ClientGone} // unless the core is reached: nothing can have run
	defer func() { f.keys.end(id, time.Now(), end, v == repeat) }()
	front.Carry(f.proxy, w, r, &x, body, rest, func(a core.Answer) { end = a })
}

// asked answers a proxy that asks whether a request may pass. It is the proxy that sends the request on.
func (f visit) asked(w http.ResponseWriter, r *http.Request, received time.Time) {
	if !f.trusted(r) {
		(&refusal{status: http.StatusForbidden, text: "only configured proxies may ask"}).write(w)
		return
	}
	origin := f.origin(r, true)
	u, err := url.ParseRequestURI(origin["X-Forwarded-Uri"])
	if err != nil {
		front.Reject(w, r, &front.Malformed{Status: http.StatusBadRequest, Text: "X-Forwarded-Uri is missing or no path"})
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
	identity, no := f.identify(ctx, r.Header, origin, true)
	if no == nil {
		no = f.enter(&x, identity)
	}
	if no != nil {
		no.write(w)
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

// decode reads a message but for who sent it: that is for the checker to say.
func (f visit) decode(r *http.Request, received time.Time) (x core.Exchange, err error) {
	if x.Class, err = f.names.Class(r); err != nil {
		return x, err
	}
	x.Deadline = received.Add(f.o.Classes[x.Class].Deadline.Duration - front.Margin)
	if text := r.Header.Get("X-Timeout"); text != "" {
		wait, err := front.ParseTimeout(text)
		if err != nil {
			return x, err
		}
		if by := received.Add(wait - front.Margin); by.Before(x.Deadline) {
			x.Deadline = by
		}
	}
	x.Units, x.Spread = 1, f.o.Gateways
	if text := r.Header.Get("X-Quota"); text != "" {
		err = f.names.Quota(text, &x)
	}
	return x, err
}

// enter fills in who sent an exchange.
func (f visit) enter(x *core.Exchange, identity http.Header) *refusal {
	account, plan := identity.Get(f.o.Identity.Account), identity.Get(f.o.Identity.Plan)
	place := slices.Index(f.names.Plans, plan)
	switch {
	case account != "" && place >= 0:
		x.Plan = f.plans[place]
		h := fnv.New64a()
		h.Write([]byte(account))
		x.Customer = h.Sum64()
		return nil
	case f.checker != nil: // it let the client in, but does not say as whom
		f.log.Error("the checker named no account, or no known plan", "plan", plan)
		return f.closed()
	case account == "":
		return &refusal{status: http.StatusUnauthorized, text: "nobody vouches for this client"}
	}
	return &refusal{status: http.StatusForbidden, text: "no such plan"}
}

// trusted tells whether the peer is a configured proxy.
func (f visit) trusted(r *http.Request) bool {
	peer, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && slices.ContainsFunc(f.o.TrustedProxies, func(p netip.Prefix) bool {
		return p.Contains(peer.Addr().Unmap())
	})
}

// origin is what the forwarded headers are to say: what a trusted proxy says, else what is seen here.
func (f visit) origin(r *http.Request, trusted bool) map[string]string {
	peer, _, _ := net.SplitHostPort(r.RemoteAddr)
	o := map[string]string{
		"X-Forwarded-Method": r.Method, "X-Forwarded-Proto": "http", "X-Forwarded-Host": r.Host,
		"X-Forwarded-Uri": r.RequestURI, "X-Forwarded-For": peer,
	}
	if !trusted {
		return o
	}
	for _, said := range [][2]string{
		{"X-Forwarded-Method", "X-Original-Method"}, {"X-Forwarded-Method", "X-Forwarded-Method"},
		{"X-Forwarded-Uri", "X-Original-Uri"}, {"X-Forwarded-Uri", "X-Forwarded-Uri"},
		{"X-Forwarded-Proto", "X-Forwarded-Proto"}, {"X-Forwarded-Host", "X-Forwarded-Host"},
	} {
		if v := r.Header.Get(said[1]); v != "" {
			o[said[0]] = v
		}
	}
	if before := strings.Join(r.Header.Values("X-Forwarded-For"), ", "); before != "" {
		o["X-Forwarded-For"] = before + ", " + peer
	}
	return o
}

// strip removes what a client may not say of itself.
func (f visit) strip(h http.Header) {
	for _, list := range [][]string{forwarded, f.o.Checker.ResponseHeaders, {f.o.Identity.Account, f.o.Identity.Plan}} {
		for _, name := range list {
			h.Del(name)
		}
	}
}

func freshID() string {
	var b [8]byte
	rand.Read(b[:]) // does not fail
	return hex.EncodeToString(b[:])
}
