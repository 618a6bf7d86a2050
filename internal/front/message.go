package front

import (
	"cmp"
	"fmt"
	"io"
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

// Margin is how long before the client gives up its answer is to be on its way.
const Margin = 5 * time.Millisecond

const (
	defaultMaxUnits = 1000 // of one exchange, where nothing is stated
	maxDigits       = 16   // of a number: it fits an int and a float64
	longBodyTimeout = 30 * time.Minute
	lingerTimeout   = 300 * time.Millisecond
	lingerMaxBytes  = 256 << 10
)

// RequestError is what is wrong with a message, and the status that says so.
type RequestError struct {
	Status int
	Text   string
}

func (m *RequestError) Error() string { return m.Text }

// BadRequest is a message that cannot be read.
func BadRequest(format string, args ...any) error {
	return &RequestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// Names tells what the words in a message stand for.
type Names struct {
	Classes  []string
	Plans    []string
	Repeats  []control.Repeat  // by class
	MaxWait  []control.Seconds // by class: no client waits longer; 0 or none: any wait
	Routes   *routes.Table     // nil: the first part of a path is its class
	Gateways int
	MaxUnits float64 // of one exchange; 0: mostUnits
}

// Class finds the class of a path and checks that the method suits it.
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
		// A name that is not plain; in no other form than this, or the next reader may take it for another.
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

// Framing refuses what the platform's clients never send and what two readers may take for different
// messages. A chunked body is taken on a POST; net/http has dropped a Content-Length that stood beside it, so
// behind such a head a second request may be hidden, and the connection is closed after the answer (Chunked).
func Framing(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return &RequestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is spoken here"}
	case len(r.TransferEncoding) > 0 && (r.Method != http.MethodPost || len(r.TransferEncoding) != 1 || r.TransferEncoding[0] != "chunked"):
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

// Chunked tells that a request came with a chunked body: its answer closes the connection, so that nothing
// that a Content-Length beside it would have hidden is ever read as a request of its own.
func Chunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// SingleHeader returns the value of a header that may stand once at most: of two, nobody knows which one the next
// reader would take.
func SingleHeader(h http.Header, name string) (string, error) {
	switch values := h[name]; len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", BadRequest("%s stands more than once", name)
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
	v, err := parseNumber(text[:max(0, len(text)-1)])
	if unit == 0 || err != nil || !(v > 0 && v*float64(unit) < float64(24*time.Hour)) {
		return 0, BadRequest("no timeout: %.40q", text)
	}
	return time.Duration(v * float64(unit)), nil
}

// parseNumber reads a plain decimal number, nothing below 0. strconv also takes signs, exponents, hex, Inf and
// NaN, none of which clients send: one of them in a sum that is kept would spoil it for good.
func parseNumber(text string) (float64, error) {
	if len(text) > maxDigits || strings.Trim(text, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// Quota reads the units that an exchange draws and the gateways that its customer comes through.
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
	if !(x.Units > 0 && x.Units <= maxUnits) || x.Spread < 1 || x.Spread > n.Gateways || x.First < 0 || x.First >= n.Gateways {
		return BadRequest("quota out of range: %.60q", text)
	}
	return nil
}

// StartDeadline gives an exchange its time, once its body is in or begins to be passed on: it runs from its last byte.
func StartDeadline(x *core.Exchange, received time.Time, rest *Body) {
	now := time.Now()
	x.Wait = x.Deadline.Sub(received)
	if x.Deadline = now.Add(x.Wait); rest != nil {
		x.Deadline = now.Add(longBodyTimeout) // for its body to come in
	}
}

// Forward has an exchange carried out by a proxy onto the core, its body as it comes in. An answer does not wait for
// the rest of a body that nobody wants. ended may be nil.
func Forward(proxy http.Handler, w http.ResponseWriter, r *http.Request, x *core.Exchange, body []byte, rest *Body, onAnswer func(core.Answer)) {
	if c := connOf(r); c != nil && rest == nil {
		c.markComplete()
	}
	if clientClosed(r) { // it waited here, unread: nothing is sent on for it
		panic(http.ErrAbortHandler)
	}
	var upload *egress.Upload
	if rest != nil {
		defer rest.Close()
		rest.control.EnableFullDuplex()
		upload = &egress.Upload{Length: r.ContentLength, Next: rest.Read}
	}
	proxy.ServeHTTP(w, egress.WithExchange(r, x, body, upload, func(a core.Answer) {
		if upload != nil && !upload.Done() || closesConnection(r) {
			w.Header().Set("Connection", "close")
		}
		if c := connOf(r); c != nil && a.Kind == core.Left {
			c.setAttemptsOut(a)
		}
		if onAnswer != nil {
			onAnswer(a)
		}
	}))
}

// Reject answers what is malformed, or shed before its body was in, at once, and closes: a client that sends such things gets no slot to keep.
// net/http would first wait for a body that was not read. What is still on its way is read off for a moment,
// since closing on unread bytes resets the connection and may take the answer with it.
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
	w.Header().Set("Connection", "close")
	if r.ContentLength == 0 {
		http.Error(w, err.Error(), status)
		return
	}
	control := http.NewResponseController(w)
	control.EnableFullDuplex() // where these are not supported the answer is only slower
	http.Error(w, err.Error(), status)
	control.Flush()
	control.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(r.Body, lingerMaxBytes))
}
