package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/internal/core"
	"junctionring/internal/egress"
)

const (
	// MaxHeader is what a client's headers may hold on the platform.
	MaxHeader  = 16 << 10
	headerWait = 1500 * time.Millisecond // from the accept on: who sends no whole head holds a slot for nothing
	idleWait   = 2 * time.Minute         // clients that went away without a word must not hold descriptors for ever
)

// Server is a front's HTTP server with a drain.
type Server struct {
	http     *http.Server
	draining atomic.Bool
	closing  atomic.Bool
	ready    atomic.Bool
}

// NewServer serves h, with the readiness path in front of it.
func NewServer(h http.Handler, maxHeader int, log *slog.Logger) *Server {
	s := &Server{}
	s.http = &http.Server{
		MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.closing.Load() { // clients keep a connection for as long as it stays open
				w.Header().Set("Connection", "close")
			}
			if r.URL.Path == "/health/ready" {
				if s.draining.Load() || !s.ready.Load() {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return
			}
			h.ServeHTTP(w, r)
		}),
	}
	return s
}

// Serve takes connections until Drain has ended, at most so many at once.
func (s *Server) Serve(l net.Listener, most int) error {
	limited := newSlots(l, most)
	s.http.ConnState = limited.state
	if err := s.http.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ready lets the readiness path answer 200.
func (s *Server) Ready() { s.ready.Store(true) }

// Drain serves on for a while, since clients keep to the connections that they have: those find no other way
// in while the gateway is away. Then it closes each connection with its next answer, lest a close cross a
// request, takes nothing new, and waits until all that is held has its answer, or ctx ends.
func (s *Server) Drain(ctx context.Context, serve, closing time.Duration) error {
	s.draining.Store(true)
	pause(ctx, serve)
	s.closing.Store(true)
	pause(ctx, closing)
	return s.http.Shutdown(ctx)
}

func pause(ctx context.Context, d time.Duration) {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}

// Platform is the handler of the platform's protocol.
func Platform(names *Names, c *core.Core, log *slog.Logger) http.Handler {
	proxy := Proxy(&egress.RoundTripper{Core: c, RetryAfter: egress.DecimalSeconds}, log)
	var open sync.Map // ids of the exchanges that are held
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := time.Now()
		x, err := names.Decode(r, received)
		if err != nil {
			Reject(w, r, err)
			return
		}
		body, err := ReadBody(w, r, egress.MaxBody)
		if err != nil {
			Reject(w, r, err)
			return
		}
		// Ids are fresh on every request: one that is open is another client's, and two attempts with it would
		// be two copies of that one.
		id := r.Header.Get("X-Request-ID")
		if _, taken := open.LoadOrStore(id, nil); taken {
			Reject(w, r, &Malformed{http.StatusConflict, "this X-Request-ID is in use"})
			return
		}
		defer open.Delete(id)
		proxy.ServeHTTP(w, egress.WithExchange(r, &x, body, nil))
	})
}

// Proxy is the reverse proxy on a RoundTripper of ours.
func Proxy(t http.RoundTripper, log *slog.Logger) *httputil.ReverseProxy {
	return &httputil.ReverseProxy{
		Rewrite:   func(*httputil.ProxyRequest) {},
		Transport: t,
		ErrorLog:  slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			panic(http.ErrAbortHandler) // the client has left: nobody is told anything
		},
	}
}
