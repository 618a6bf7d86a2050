package front

import (
	"net"
	"time"

	"golang.org/x/time/rate"

	"junctionring/internal/cpushare"
)

const (
	newConnRate  = 8000             // new connections per second and core
	newConnBurst = 64               // new connections
	newConnPause = time.Millisecond // beyond newConnRate, before a further one is accepted
)

// newConnLimiter limits the rate of new connections. While clients connect faster than connections can be accepted, the
// accepting goroutine never waits for the network, and each connection starts a goroutine that is ready to run, so that
// what arrives on connections that are already open would wait behind them.
func newConnLimiter(cores float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(newConnRate*cores), newConnBurst)
}

// LimitNewConns returns a listener with the limit on new connections of a Server, for servers that are none.
func LimitNewConns(l net.Listener, cores float64) net.Listener {
	if cores <= 0 {
		cores = 1
	}
	return &newConnListener{l, newConnLimiter(cores)}
}

type newConnListener struct {
	net.Listener
	limiter *rate.Limiter
}

// Accept implements net.Listener.
func (l *newConnListener) Accept() (net.Conn, error) {
	awaitNewConn(l.limiter)
	return l.Listener.Accept()
}

// awaitNewConn pauses before a new connection is accepted, if there have been too many.
func awaitNewConn(limiter *rate.Limiter) {
	if !limiter.Allow() {
		time.Sleep(newConnPause)
	}
}

// SetCores sets how many cores the process may use, for the limits on new connections and on pipelined requests. It must
// be called before Serve; without it, the server takes one core.
func (s *Server) SetCores(cores float64) {
	if cores > 0 {
		s.pipelined, s.newConns = cpushare.New(pipelineShares, cores), newConnLimiter(cores)
	}
}
