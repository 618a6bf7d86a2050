// Package egress sends attempts to the egress targets: a RoundTripper for httputil.ReverseProxy hands each
// exchange to the core, and an actor for each target owns its connections. It neither chooses targets nor repeats
// requests by itself: the core does.
package egress

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/cpushare"
)

// Fleet holds all egress targets. Its methods are called from the core's goroutine only, and never block.
type Fleet struct {
	sites   []*site // the first one also serves targets of an unknown site
	targets map[string]*entry
}

// site holds the options of one site, and what its targets share at run time.
type site struct {
	Options
	permits chan struct{} // semaphore: at most Options.Conns connections and dials of all its targets together
	tracker *answerTracker
	streams *cpushare.Limiter // nil: unlimited
}

func (s *site) connect(ctx context.Context, network, address string) (net.Conn, error) {
	if s.Dial != nil {
		return s.Dial(ctx, network, address)
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// entry is a target with its route as last sent to the actor. Only the core's goroutine uses route.
type entry struct {
	*target
	route route
}

// NewFleet returns a fleet without targets. Each site has its own options and its own limit on connections, so
// that connections hanging on the link to one site take no descriptors from another.
func NewFleet(bySite ...Options) *Fleet {
	f := &Fleet{targets: map[string]*entry{}}
	var streams *cpushare.Limiter
	if len(bySite) > 0 && bySite[0].Cores > 0 {
		streams = cpushare.New(streamShares, bySite[0].Cores)
	}
	for _, o := range bySite {
		f.sites = append(f.sites, &site{o, make(chan struct{}, o.Conns), newAnswerTracker(), streams})
	}
	return f
}

// Update implements core.Egress.
func (f *Fleet) Update(table core.Table) {
	listed := map[string]bool{}
	for _, m := range table.Targets {
		listed[m.Server] = true
		if m.State == control.Removed {
			f.remove(m.Server)
			continue
		}
		s := f.sites[0]
		if m.Site > 0 && m.Site < len(f.sites) {
			s = f.sites[m.Site]
		}
		e := f.targets[m.Server]
		if e != nil && e.site != s { // the target moved to another site
			f.remove(m.Server)
			e = nil
		}
		if e == nil {
			ctx, cancel := context.WithCancel(context.Background())
			e = &entry{target: &target{site: s, mailbox: make(chan any, mailboxSize), ctx: ctx, stop: cancel}}
			e.stats.tracker = s.tracker
			f.targets[m.Server] = e
			go e.run()
		}
		if r := (route{process{m.Address, m.Since}, m.State == control.Ready}); r != e.route {
			e.route = r
			e.send(r)
		}
	}
	if table.Kind != control.Delta { // a complete table: targets that it does not list are gone
		for id := range f.targets {
			if !listed[id] {
				f.remove(id)
			}
		}
	}
}

func (f *Fleet) remove(id string) {
	if e := f.targets[id]; e != nil {
		e.send(targetRemoved{})
		delete(f.targets, id)
	}
}

// send posts a message to the actor without waiting for it. If the mailbox is full, later messages may overtake it.
func (e *entry) send(m any) {
	select {
	case e.mailbox <- m:
	default:
		go e.post(m)
	}
}

// Start implements core.Egress.
func (f *Fleet) Start(a core.Attempt) bool {
	e := f.targets[a.Target]
	if e == nil || !e.route.ready {
		return false
	}
	go e.attempt(a)
	return true
}

// Probe implements core.Egress.
func (f *Fleet) Probe(id string, within time.Duration, report func(control.Status, []float64)) bool {
	e := f.targets[id]
	if e == nil {
		return false
	}
	go func() {
		ctx, cancel := context.WithTimeout(e.ctx, cmp.Or(within, e.site.ConnectTimeout))
		defer cancel()
		path := "/health/live"
		if len(e.site.LoadFields) > 0 {
			path = "/stats"
		}
		o := e.exchange(core.Attempt{Ctx: ctx, Payload: &Request{
			Method: http.MethodGet, Head: []byte("GET " + path + " HTTP/1.1\r\nHost: target\r\n"),
		}})
		if reply, ok := o.Reply.(*Reply); ok {
			reply.Close()
			if len(o.Load) == 0 {
				o.Load = decodeLoad(string(reply.Body), e.site.LoadFields)
			}
		}
		report(o.Status, o.Load)
	}()
	return true
}

// CloseIdle implements core.Egress.
func (f *Fleet) CloseIdle(id string) {
	if e := f.targets[id]; e != nil {
		e.send(closeAllIdle{})
	}
}

type exchangeKey struct{}

// carriedExchange is what a request's context carries through httputil.ReverseProxy.
type carriedExchange struct {
	target   string // request target as received: httputil.ReverseProxy rewrites some queries
	exchange *core.Exchange
	body     []byte
	upload   *Upload
	onAnswer func(core.Answer)
}

// WithExchange returns a request that carries its exchange through httputil.ReverseProxy to the RoundTripper. rest
// is the part of the body that follows; onAnswer gets the final answer before the client does; both may be nil.
func WithExchange(r *http.Request, x *core.Exchange, body []byte, rest *Upload,
	onAnswer func(core.Answer)) *http.Request {
	if rest != nil {
		x.BodyIncoming, x.BodyConsumed, x.AnswerDue = true, rest.BodyConsumed, rest.AnswerDue
	}
	return r.WithContext(context.WithValue(r.Context(), exchangeKey{},
		&carriedExchange{r.RequestURI, x, body, rest, onAnswer}))
}

// RoundTripper has the core decide and carry out the exchange that a request carries.
type RoundTripper struct {
	Core       *core.Core
	RetryAfter func(time.Duration) string // formats a wait for the clients of the ingress
}

// RoundTrip implements http.RoundTripper.
func (t *RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	c := r.Context().Value(exchangeKey{}).(*carriedExchange)
	message := Encode(r.Method, c.target, r.Host, r.Header, c.body, c.upload)
	message.Customer = c.exchange.Customer
	c.exchange.Payload = message
	a := t.Core.Do(r.Context(), *c.exchange)
	if c.onAnswer != nil {
		c.onAnswer(a)
	}
	resp := &http.Response{ProtoMajor: 1, ProtoMinor: 1, Request: r, Header: http.Header{}, Body: http.NoBody}
	switch a.Kind {
	case core.Served:
		reply := a.Reply.(*Reply)
		resp.StatusCode, resp.Header = http.StatusOK, reply.Header.Clone()
		if reply.Long != nil {
			if resp.ContentLength = reply.Length; reply.Length >= 0 {
				resp.Header.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
			}
			resp.Body = newClientBody(r.Context(), reply.Long, t.Core, c.exchange.Class)
			return resp, nil
		}
		resp.ContentLength = int64(len(reply.Body))
		resp.Header.Set("Content-Length", strconv.Itoa(len(reply.Body)))
		resp.Body = io.NopCloser(bytes.NewReader(reply.Body))
		return resp, nil
	case core.Refused:
		resp.StatusCode = http.StatusServiceUnavailable
		if a.OverQuota {
			resp.StatusCode = http.StatusTooManyRequests
		}
		if a.RetryAfter > 0 {
			resp.Header.Set("Retry-After", t.RetryAfter(a.RetryAfter))
		}
	case core.ClientGone:
		return nil, context.Canceled
	default:
		resp.StatusCode = http.StatusBadGateway
	}
	resp.Header.Set("Content-Length", "0")
	return resp, nil
}

// Encode encodes a message once, for all attempts.
func Encode(method, uri, host string, h http.Header, body []byte, rest *Upload) *Request {
	var b bytes.Buffer
	b.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	h = h.Clone()
	h.Del("X-Timeout")
	h.Del("Expect") // answered by the gateway, as the body has come in
	h.Del("Content-Length")
	h.Del("Transfer-Encoding")
	switch {
	case rest != nil && rest.Length < 0:
		h.Set("Transfer-Encoding", "chunked")
	case rest != nil:
		h.Set("Content-Length", strconv.FormatInt(rest.Length, 10))
	case len(body) > 0 || method == http.MethodPost:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.Write(&b) // writing to memory does not fail
	return &Request{Method: method, Head: b.Bytes(), Body: body, Rest: rest, Key: h.Get("Idempotency-Key")}
}

// DecimalSeconds formats a wait as seconds with three decimals, which the clients of the platform expect.
func DecimalSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// WholeSeconds formats a wait as HTTP specifies it: whole seconds, rounded up.
func WholeSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}
