// Package standin holds stand-ins for what stands round a gateway, for tests and the lab: table servers, their
// registry, a checker, a Redis store, and a link between sites. Each speaks its published protocol over
// loopback, makes the failures it is told to make, and keeps a record of what reached it. None decides
// anything for a gateway, and the gateway never imports this package.
package standin

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// serveHTTP serves h on l until l is closed.
func serveHTTP(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(l)
	return s
}

// NewChecker starts a checker that takes "Authorization: ACCOUNT PLAN" at its word and turns all else away.
func NewChecker(listen string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, err
	}
	s := serveHTTP(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, plan, ok := strings.Cut(r.Header.Get("Authorization"), " ")
		if !ok {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		w.Header().Set("X-Auth-Account", account)
		w.Header().Set("X-Auth-Plan", plan)
		w.WriteHeader(http.StatusNoContent)
	}))
	return l.Addr().String(), func() { s.Close() }, nil
}
