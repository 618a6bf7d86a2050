// Package front is what all HTTP fronts share beneath them: a server with its slots for connections and its
// drain, the reading of messages, and the proxy onto the core's RoundTripper.
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

	"junctionring/internal/egress"
)

const (
	// MaxHeader is what a client's headers may hold on the platform.
	MaxHeader     = 16 << 10
	headerTimeout = 2500 * time.Millisecond // from the accept on: who sends no whole head holds a slot for nothing
	idleTimeout   = 2 * time.Minute         // clients that went away without a word must not hold descriptors for ever

	closeIdleBeforeStop = 100 * time.Millisecond // before a drain takes nothing new: connections at rest are closed
	closeIdleInterval   = 10 * time.Millisecond  // between looks at them, then and until none is left
	evacuateInterval    = 100 * time.Millisecond // between closes of resting connections while evacuated
	evacuateMinIdle     = 250 * time.Millisecond // rested at least: a client that just connected sends at once
)

// Server is a front's HTTP server with a drain.
type Server struct {
	http            *http.Server
	draining        atomic.Bool
	closing         atomic.Bool
	ready           atomic.Bool
	evacuated       atomic.Bool
	handingOver     atomic.Bool // a successor serves at this address
	listener        atomic.Pointer[limitListener]
	serving         chan struct{} // closed when slots is there
	held            *atomic.Int64 // requests held now; nil: not counted
	unreadResponses atomic.Int64  // answers cut since their clients did not read them
	writeTimeout    time.Duration // for a piece of an answer to be read
	log             *slog.Logger
	shedError       atomic.Pointer[shedError] // set once the process sheds what it holds
}

// NewServer serves h, with the readiness path in front of it. taken, where not nil, counts the requests held.
func NewServer(h http.Handler, maxHeader int, held *atomic.Int64, log *slog.Logger) *Server {
	s := &Server{held: held, serving: make(chan struct{}), writeTimeout: defaultWriteTimeout, log: log}
	s.http = &http.Server{
		MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, originKey{}, origin{s, c})
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c := connOf(r); c != nil {
				c.setRequestID(r.Header.Get("X-Request-ID"))
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
			if s.held != nil {
				s.held.Add(1)
				defer s.held.Add(-1)
			}
			h.ServeHTTP(w, r)
		}),
	}
	return s
}

// Available tells whether clients are welcome: ready, and neither draining nor evacuated.
func (s *Server) Available() bool {
	return s.ready.Load() && !s.draining.Load() && !s.evacuated.Load()
}

// UnreadResponses is how many answers were cut since their clients did not read them.
func (s *Server) UnreadResponses() int64 { return s.unreadResponses.Load() }

// sendsAway tells whether answers close their connections: clients keep one for as long as it stays open.
func (s *Server) closesConnections() bool { return s.closing.Load() || s.evacuated.Load() }

// Evacuate sends clients away while the process runs on: readiness says no at once, each answer closes its
// connection, and resting connections are closed, now and every evacuateSweep, once nothing unread is on them.
// Connections that still come are served. It lasts until Rejoin, or ctx ends.
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

// Rejoin takes clients again after Evacuate.
func (s *Server) Rejoin() { s.evacuated.Store(false) }

// Serve takes connections until Drain has ended, at most so many at once.
func (s *Server) Serve(l net.Listener, maxConns int) error {
	limited := newLimitListener(l, maxConns)
	limited.writeTimeout, limited.onWriteTimeout, limited.onUnanswered = s.writeTimeout, func() { s.unreadResponses.Add(1) }, s.logUnanswered
	s.http.ConnState = limited.connState
	s.listener.Store(limited)
	close(s.serving)
	go s.http.Serve(adoptionListener{limited})
	if err := s.http.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// MarkReady lets the readiness path answer 200.
func (s *Server) MarkReady() { s.ready.Store(true) }

// Drain serves on until closing, since clients keep to the connections that they have: those find no other way
// in while the gateway is away. From then on each answer closes its connection, and shortly before stop those at rest
// are closed, while a request that crosses such a close still finds the way in. At stop nothing new is taken. It
// returns nil once no connection is left, or an error when ctx ends; a later Drain goes on from there.
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
	select { // a listener that is closed with connections waiting in it resets them
	case <-l.stop():
	case <-ctx.Done():
	}
	// net/http's Shutdown closes idle connections with no look for a request come in on them, and none that is taken
	// back with one unread could be served any more: it has to find none.
	if !l.closeWhenIdle(ctx) {
		return ctx.Err()
	}
	return s.http.Shutdown(ctx)
}

// HandOver gives every client's connection to a successor, each as soon as no request is under way on it, and
// accepts no more: the successor holds the listening socket too. give returns false for a connection that the
// successor did not take, which is served on here. It returns nil when none is left; when lost is closed,
// everything is as before, but for readiness: Drain goes on from there.
func (s *Server) HandOver(ctx context.Context, transfer func(*net.TCPConn) bool, lost <-chan struct{}) error {
	s.handingOver.Store(true) // who asks at this address is told of the successor
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

var errSuccessorLost = errors.New("the successor is lost")

// Adopt serves a connection that a process before this one held. It returns false, and the connection is the
// caller's, when nobody serves here any more.
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

// Proxy is the reverse proxy on a RoundTripper of ours.
func Proxy(t http.RoundTripper, log *slog.Logger) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite:       func(*httputil.ProxyRequest) {},
		FlushInterval: -1, // what comes of a long answer goes on at once
		BufferPool:    egress.Pieces{},
		Transport:     t,
		ErrorLog:      slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			panic(http.ErrAbortHandler) // the client has left: nobody is told anything
		},
	}
}
