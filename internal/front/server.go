// Package front holds what all HTTP fronts share: the server with its connection limit and its drain, the reading of
// messages, and the proxy to the core's RoundTripper. It does not define any front's protocol: decoding a message into
// an exchange is up to each front.
package front

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"junctionring/internal/cpushare"
	"junctionring/internal/egress"
)

const (
	// MaxHeader is the size limit for a client's request header on the platform, in bytes.
	MaxHeader     = 16 << 10
	headerTimeout = 2500 * time.Millisecond // from accept on; an incomplete request must not hold a connection
	idleTimeout   = 2 * time.Minute         // clients that vanish without closing must not hold descriptors forever

	closeIdleBeforeStop = 100 * time.Millisecond // how long before stop a drain begins to close idle connections
	closeIdleInterval   = 10 * time.Millisecond  // between passes over idle connections, until none is left
	evacuateInterval    = 100 * time.Millisecond // between passes over idle connections while evacuated
	evacuateMinIdle     = 250 * time.Millisecond // idle time before a close; new clients send at once
)

// Server is a front's HTTP server. It can drain, and can hand its connections over to a successor process.
type Server struct {
	http            *http.Server
	draining        atomic.Bool
	closing         atomic.Bool
	ready           atomic.Bool
	evacuated       atomic.Bool
	handingOver     atomic.Bool // a successor process serves at this address
	listener        atomic.Pointer[limitListener]
	serving         chan struct{} // closed once listener is set
	held            *atomic.Int64 // requests in progress; nil: not counted
	unreadResponses atomic.Int64  // responses cut off because the client did not read them
	writeTimeout    time.Duration // for each chunk of a response
	bodyMemory      *bodyMemory   // nil: unlimited
	pipelined       *cpushare.Limiter
	newConns        *rate.Limiter
	log             *slog.Logger
	shedError       atomic.Pointer[shedError] // set once the process sheds its requests
}

// NewServer returns a server for h that answers the readiness path itself. held, unless nil, counts the requests in
// progress.
func NewServer(h http.Handler, maxHeader int, held *atomic.Int64, log *slog.Logger) *Server {
	s := &Server{held: held, serving: make(chan struct{}), writeTimeout: defaultWriteTimeout,
		pipelined: cpushare.New(pipelineShares, 1), newConns: newConnLimiter(1), log: log}
	s.http = &http.Server{
		MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, originKey{}, origin{s, c})
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c := connOf(r); c != nil {
				c.setRequestID(r.Header.Get("X-Request-ID"))
				defer s.releaseBody(c)
			}
			if s.closesConnections() {
				w.Header().Set("Connection", "close")
			}
			if r.URL.Path == "/health/ready" {
				if !s.Available() && !s.handingOver.Load() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return
			}
			if fieldCount(r.Header) > maxHeadFields { // of a head that was read together with the previous request
				Reject(w, r, errTooManyFields)
				return
			}
			if s.held != nil {
				s.held.Add(1)
				defer s.held.Add(-1)
			}
			h.ServeHTTP(w, r)
		}),
	}
	return s
}

// Available reports whether the server accepts clients: it is ready, and neither draining nor evacuated.
func (s *Server) Available() bool {
	return s.ready.Load() && !s.draining.Load() && !s.evacuated.Load()
}

// UnreadResponses returns how many responses were cut off because their clients did not read them.
func (s *Server) UnreadResponses() int64 { return s.unreadResponses.Load() }

// closesConnections reports whether responses close their connections. Clients keep a connection as long as it is open.
func (s *Server) closesConnections() bool { return s.closing.Load() || s.evacuated.Load() }

// Evacuate moves clients away while the process keeps running. The readiness path fails at once, each response closes
// its connection, and idle connections without unread bytes are closed now and every evacuateInterval. New connections
// are still served. This lasts until Rejoin; idle connections are no longer closed once ctx ends.
func (s *Server) Evacuate(ctx context.Context) {
	if s.evacuated.Swap(true) {
		return
	}
	go func() {
		t := time.NewTicker(evacuateInterval)
		defer t.Stop()
		for s.evacuated.Load() {
			if l := s.listener.Load(); l != nil {
				l.closeIdle(evacuateMinIdle)
			}
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// Rejoin accepts clients again after Evacuate.
func (s *Server) Rejoin() { s.evacuated.Store(false) }

// Serve accepts connections until Drain has ended, and serves at most maxConns at a time.
func (s *Server) Serve(l net.Listener, maxConns int) error {
	limited := newLimitListener(l, maxConns)
	limited.writeTimeout, limited.onWriteTimeout, limited.onUnanswered = s.writeTimeout,
		func() { s.unreadResponses.Add(1) }, s.logUnanswered
	limited.pipelined, limited.newConns = s.pipelined, s.newConns
	s.http.ConnState = limited.connState
	s.listener.Store(limited)
	close(s.serving)
	go s.http.Serve(adoptionListener{limited})
	if err := s.http.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// MarkReady makes the readiness path answer 200.
func (s *Server) MarkReady() { s.ready.Store(true) }

// Drain keeps serving until closing, since clients keep using the connections that they have and find no other way in
// while the gateway is away. From closing on, each response closes its connection. Shortly before stop, idle
// connections are closed, while the client of a request that crosses such a close can still connect again. At stop, the
// server accepts no more connections. Drain returns nil once no connection is left, or an error when ctx ends; a later
// Drain continues from there.
func (s *Server) Drain(ctx context.Context, closing, stop time.Time) error {
	s.draining.Store(true)
	sleep(ctx, time.Until(closing))
	s.closing.Store(true)
	<-s.serving
	l := s.listener.Load()
	sleep(ctx, time.Until(stop)-closeIdleBeforeStop)
	for ctx.Err() == nil && time.Now().Before(stop) {
		l.closeIdle(0)
		sleep(ctx, closeIdleInterval)
	}
	select { // closing a listener resets the connections that are still in its accept queue
	case <-l.stop():
	case <-ctx.Done():
	}
	// net/http's Shutdown closes idle connections without checking for arrived requests, and a connection that is
	// reclaimed with an unread request could then no longer be served. So Shutdown must find no idle connection.
	if !l.closeWhenIdle(ctx) {
		return ctx.Err()
	}
	return s.http.Shutdown(ctx)
}

// FinishAnswers returns once no table server's answer is being passed on, and whether there was one. Meanwhile it closes
// connections as they become idle. How long an answer may take is bounded only by the limits on a table server that
// sends nothing and on a client that reads nothing.
func (s *Server) FinishAnswers() (waited bool) {
	<-s.serving
	l := s.listener.Load()
	for {
		n, changed := l.answersInProgress()
		if n == 0 {
			return waited
		}
		waited = true
		l.closeIdle(0)
		awaitChange(context.Background(), changed)
	}
}

// HandOver transfers every client connection to a successor process, each as soon as no request is in progress on it.
// It accepts no more connections, since the successor holds the listening socket too. transfer returns false for a
// connection that the successor did not take; that one is still served here. HandOver returns nil when no connection
// is left. When lost is closed, it restores the previous state except for readiness and returns an error; Drain
// continues from there.
func (s *Server) HandOver(ctx context.Context, transfer func(*net.TCPConn) bool, lost <-chan struct{}) error {
	s.handingOver.Store(true) // a readiness probe at this address is about the successor
	s.draining.Store(true)
	<-s.serving
	l := s.listener.Load()
	l.startHandOver(transfer)
	if l.waitEmpty(lost, ctx.Done()) {
		return s.http.Shutdown(ctx)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	l.cancelHandOver()
	s.handingOver.Store(false)
	return errSuccessorLost
}

var errSuccessorLost = errors.New("connection handover failed: successor process lost")

// Adopt serves a connection that was transferred from the predecessor process. It returns false if the server no
// longer serves; the connection then remains the caller's.
func (s *Server) Adopt(c *net.TCPConn) bool {
	<-s.serving // a handover may begin before the listener is served
	return s.listener.Load().adopt(c, false)
}

func sleep(ctx context.Context, d time.Duration) {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}

// Proxy returns the reverse proxy that forwards requests through t.
func Proxy(t http.RoundTripper, log *slog.Logger) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite:       func(*httputil.ProxyRequest) {},
		FlushInterval: -1, // pass each part of a long response on at once
		BufferPool:    egress.BufferPool{},
		Transport:     t,
		ErrorLog:      slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			panic(http.ErrAbortHandler) // the client has closed the connection: there is nobody to answer
		},
	}
}
