package forwardauth

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"junctionring/internal/egress"
)

// refusal is a final response that is given without involving the core.
type refusal struct {
	status     int
	retryAfter time.Duration
	text       string
	reply      *egress.Reply // the checker's response, passed back unchanged
}

func (r *refusal) write(w http.ResponseWriter) {
	if r.reply != nil {
		for name, values := range r.reply.Header {
			if !slices.Contains(hopByHop, name) {
				w.Header()[name] = values
			}
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(r.reply.Body)))
		w.WriteHeader(r.reply.Status)
		w.Write(r.reply.Body)
		return
	}
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", egress.WholeSeconds(r.retryAfter))
	}
	if r.text == "" {
		r.text = http.StatusText(r.status)
	}
	http.Error(w, r.text, r.status)
}

// checkFailed returns the refusal for a request that could not be checked. Nothing has run, so the client may retry.
func (f requestHandler) checkFailed() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, retryAfter: f.o.Checker.RetryAfter.Duration,
		text: "the request could not be checked"}
}

// identify determines the client's identity: with one check, whose deadline lies within the client's, or from a trusted
// proxy's headers if there is no checker. It returns the headers to copy to the forwarded request, or a refusal.
func (f requestHandler) identify(
	ctx context.Context, h http.Header, origin map[string]string, trusted bool,
) (http.Header, *refusal) {
	if f.checker == nil {
		identity := http.Header{}
		if trusted {
			for _, name := range []string{f.o.Identity.Account, f.o.Identity.Plan} {
				if v := h.Get(name); v != "" {
					identity.Set(name, v)
				}
			}
		}
		return identity, nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.o.Checker.Timeout.Duration)
	defer cancel()
	reply, err := f.checker.query(ctx, f.checkRequestHeader(h, origin))
	if err = cmp.Or(err, ctx.Err()); err != nil { // no answer, or one after the deadline
		f.log.Warn("check failed: no usable answer from the checker", "err", err)
		return nil, f.checkFailed()
	}
	switch {
	case reply.Status >= 200 && reply.Status < 300:
		identity := http.Header{}
		for _, name := range append([]string{f.o.Identity.Account, f.o.Identity.Plan}, f.o.Checker.ResponseHeaders...) {
			if values := reply.Header.Values(name); len(values) > 0 {
				identity[http.CanonicalHeaderKey(name)] = values
			}
		}
		return identity, nil
	case reply.Status >= 300 && reply.Status < 500 && reply.Status != http.StatusNotModified:
		return nil, &refusal{reply: reply}
	}
	f.log.Warn("check failed: unexpected status from the checker", "status", reply.Status)
	return nil, f.checkFailed()
}

// checkRequestHeader returns the header of the request to the checker: the client's headers, and the forwarded headers
// that describe the client's request.
func (f requestHandler) checkRequestHeader(h http.Header, origin map[string]string) http.Header {
	q := http.Header{}
	for name, values := range h {
		if len(f.o.Checker.RequestHeaders) == 0 || slices.ContainsFunc(f.o.Checker.RequestHeaders, func(n string) bool {
			return http.CanonicalHeaderKey(n) == name
		}) {
			q[name] = values
		}
	}
	f.stripTrustedHeaders(q)
	for _, name := range hopByHop {
		q.Del(name)
	}
	q.Del("Expect")
	if q.Get("User-Agent") == "" {
		q["User-Agent"] = nil // nil keeps net/http from adding its own
	}
	for name, value := range origin {
		q.Set(name, value)
	}
	return q
}
