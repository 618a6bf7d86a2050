package front

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/egress"
	"junctionring/internal/routes"
)

// Margin is the time before the client's own timeout by which the response has to be sent.
const Margin = 5 * time.Millisecond

const (
	defaultMaxUnits = 1000                   // units per exchange, unless Names.MaxUnits is set
	maxDigits       = 16                     // digits of a number, so that it fits an int and a float64
	longBodyTimeout = 30 * time.Minute       // for a streamed body to arrive
	lingerTimeout   = 300 * time.Millisecond // how long the next body byte is awaited, to be discarded, before a close
	lingerMaxTime   = 2 * time.Second        // how long body bytes are discarded
)

// RequestError is the error for a request that is rejected, with the status of the response.
type RequestError struct {
	Status int
	Text   string
}

func (m *RequestError) Error() string { return m.Text }

// BadRequest returns a RequestError with status 400.
func BadRequest(format string, args ...any) error {
	return &RequestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// Names resolves the names in a message to classes, plans and limits.
type Names struct {
	Classes  []string
	Plans    []string
	Repeats  []control.Repeat  // by class
	MaxWait  []control.Seconds // by class, the cap on a client's timeout; 0 or missing: no cap
	Routes   *routes.Table     // nil: the first segment of a path names its class
	Gateways int
	MaxUnits float64 // per exchange; 0: defaultMaxUnits
}

// Class returns the class of a request by its path, and checks the method and the Idempotency-Key that it requires.
func (n *Names) Class(r *http.Request) (int, error) {
	path := r.URL.EscapedPath()
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class := -1
	if n.Routes != nil {
		var ok bool
		if class, ok = n.Routes.Match(r.Method, path); !ok {
			return 0, &RequestError{http.StatusNotFound, fmt.Sprintf("no route for %s %.40q", r.Method, path)}
		}
		first = n.Classes[class]
	} else if class = slices.Index(n.Classes, first); class < 0 {
		// A name that needs escaping. Only the canonical form is accepted: the next server to parse the path might
		// resolve any other form differently.
		class = slices.IndexFunc(n.Classes, func(name string) bool {
			return (&url.URL{Path: "/" + name}).EscapedPath() == "/"+first
		})
	}
	if class < 0 {
		return 0, &RequestError{http.StatusNotFound, fmt.Sprintf("no such class: %.40q", first)}
	}
	want := http.MethodPost
	if n.Repeats[class] == control.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return 0, &RequestError{http.StatusMethodNotAllowed, first + " takes " + want}
	}
	key, err := SingleHeader(r.Header, "Idempotency-Key")
	if err != nil {
		return 0, err
	}
	if n.Repeats[class] == control.Keyed && key == "" {
		return 0, BadRequest("%s needs an Idempotency-Key", first)
	}
	return class, nil
}

// Framing rejects framing that the platform's clients never send and that two servers might parse as different
// messages (request smuggling). A chunked body is accepted on a POST. Since net/http drops a Content-Length next to it,
// a second request may be hidden behind such a header, so the connection is closed after the response (see Chunked).
func Framing(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &RequestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	case len(r.TransferEncoding) > 0 &&
		(r.Method != http.MethodPost || len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked"):
		return BadRequest("Transfer-Encoding is taken only as chunked, on a POST")
	case r.URL.Host != "" || !strings.HasPrefix(r.RequestURI, "/"):
		return BadRequest("the target must be a path")
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return BadRequest("a GET has no body")
	case r.Method == http.MethodPost && r.Header.Get("Content-Length") == "" && len(r.TransferEncoding) == 0:
		return &RequestError{http.StatusLengthRequired, "Content-Length is missing"}
	}
	return nil
}

// Chunked reports whether a request has a chunked body. Its response has to close the connection, so that bytes that a
// Content-Length next to it would have delimited differently are never read as a separate request.
func Chunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// SingleHeader returns the value of a header that may occur at most once. Of two values, it is unknown which one the
// next server would use.
func SingleHeader(h http.Header, name string) (string, error) {
	switch values := h[name]; len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", BadRequest("%s stands more than once", name)
}

// ParseTimeout parses a timeout: a number and its unit, m (milliseconds) or u (microseconds).
func ParseTimeout(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	}
	v, err := parseNumber(text[:max(0, len(text)-1)])
	if unit == 0 || err != nil || !(v > 0 && v*float64(unit) < float64(24*time.Hour)) {
		return 0, BadRequest("no timeout: %.40q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseNumber parses a plain decimal number, not below 0. strconv also accepts signs, exponents, hexadecimal, Inf and
// NaN, none of which clients send. One of them in a running total would corrupt it permanently.
func parseNumber(text string) (float64, error) {
	if len(text) > maxDigits || strings.Trim(text, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// Quota parses into x the units that an exchange draws and the gateways that its customer's requests come through.
func (n *Names) Quota(text string, x *core.Exchange) error {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := parseNumber(value)
		if err != nil || seen[key] {
			return BadRequest("no quota: %.60q", text)
		}
		seen[key] = true
		switch key {
		case "units":
			x.Units = v
		case "spread":
			x.Spread = int(v)
		case "first":
			x.First = int(v)
		default:
			continue
		}
		if key != "units" && v != math.Trunc(v) {
			return BadRequest("no quota: %.60q", text)
		}
	}
	maxUnits := cmp.Or(n.MaxUnits, defaultMaxUnits)
	if !(x.Units > 0 && x.Units <= maxUnits) ||
		x.Spread < 1 || x.Spread > n.Gateways || x.First < 0 || x.First >= n.Gateways {
		return BadRequest("quota out of range: %.60q", text)
	}
	return nil
}

// StartDeadline sets an exchange's deadline once its body has arrived or begins to be forwarded. Its time runs from the
// body's last byte. While rest is still to be read, the deadline is the one for the body to arrive.
func StartDeadline(x *core.Exchange, received time.Time, rest *Body) {
	now := time.Now()
	x.ResponseTimeout = x.Deadline.Sub(received)
	if x.Deadline = now.Add(x.ResponseTimeout); rest != nil {
		x.Deadline = now.Add(longBodyTimeout) // for the rest of the body to arrive
	}
}

// AnswerDue returns when the client's wait for its answer ends, as far as is known now. While rest, unless nil, is still
// to be read, that is ResponseTimeout after the latest time at which the client certainly had more to send.
func AnswerDue(x *core.Exchange, rest *Body) time.Time {
	if rest == nil {
		return x.Deadline
	}
	if due := rest.IncompleteAt().Add(x.ResponseTimeout); due.Before(x.Deadline) {
		return due
	}
	return x.Deadline
}

// Forward forwards an exchange through a proxy to the core, and streams the rest of its body as it arrives. The
// response does not wait for body bytes that are no longer needed. onAnswer, unless nil, is called with the answer.
func Forward(proxy http.Handler, w http.ResponseWriter, r *http.Request, x *core.Exchange, body []byte, rest *Body,
	onAnswer func(core.Answer)) {
	if c := connOf(r); c != nil && rest == nil {
		c.markComplete()
	}
	if clientClosed(r) { // the client closed while the request waited to be read: it is not forwarded
		panic(http.ErrAbortHandler)
	}
	var upload *egress.Upload
	if rest != nil {
		defer rest.Close() // also if the client has gone, and there is no response
		rest.control.EnableFullDuplex()
		upload = &egress.Upload{
			Length: r.ContentLength, Next: rest.Read, AnswerDue: func() time.Time { return AnswerDue(x, rest) },
		}
		var stop func()
		r, stop = watchClient(r, upload.Done)
		defer stop()
	}
	proxy.ServeHTTP(w, egress.WithExchange(r, x, body, upload, func(a core.Answer) {
		if upload != nil && !upload.Done() || closesConnection(r) {
			w.Header().Set("Connection", "close")
		}
		if c := connOf(r); c != nil {
			c.markForwarded(a)
			switch a.Kind {
			case core.ClientGone:
				c.setAttemptsOut(a)
			case core.Served:
				c.markServed()
			}
		}
		if onAnswer != nil {
			onAnswer(a)
		}
	}))
	if rest != nil {
		rest.Finish()
	}
}

// logRejected logs why a request is rejected.
func logRejected(r *http.Request, status int, err error) {
	o, ok := r.Context().Value(originKey{}).(origin)
	if !ok || !o.server.log.Enabled(r.Context(), slog.LevelDebug) {
		return
	}
	o.server.log.Debug("request rejected", "id", r.Header.Get("X-Request-ID"), "client", r.RemoteAddr, "status", status, "err", err)
}

// Reject answers a request that is invalid, or that is shed before its body arrived, at once, and closes the
// connection, so that such a client does not keep one. net/http would first wait for the unread body. Body bytes that
// still arrive are discarded for a short time, since closing with unread bytes resets the connection and may lose the
// response.
func Reject(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	switch e := err.(type) {
	case *RequestError:
		status = e.Status
	case *shedError:
		status = http.StatusServiceUnavailable
		if e.retryAfter != "" {
			w.Header().Set("Retry-After", e.retryAfter)
		}
	}
	logRejected(r, status, err)
	w.Header().Set("Connection", "close")
	if r.ContentLength == 0 {
		http.Error(w, err.Error(), status)
		return
	}
	control := http.NewResponseController(w)
	control.EnableFullDuplex() // if these calls are not supported, the response is only slower
	http.Error(w, err.Error(), status)
	control.Flush()
	linger(control, r.Body)
}
