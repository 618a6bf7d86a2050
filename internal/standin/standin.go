// Package standin holds stand-ins for what stands round a gateway, for tests and the lab: table servers, their
// registry, a checker, a Redis store, and a link between sites. Each speaks its published protocol over
// loopback, makes the failures it is told to make, and keeps a record of what reached it. None decides
// anything for a gateway, and the gateway never imports this package.
package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
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

var given struct {
	sync.Mutex
	addresses map[string]bool
}

// Loopback is a loopback address of this process's own: what other processes send to a port of theirs that is no longer
// listened at does not come here.
func Loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 64+pid>>8&63, pid&255)
}

// Free is an address that nobody listens at, for a process that will. It is on a loopback address of this process's own,
// and given once: neither another test nor a connection going out takes it before, or while nobody listens there.
func Free() (string, error) {
	given.Lock()
	defer given.Unlock()
	if given.addresses == nil {
		given.addresses = map[string]bool{}
	}
	for range 1000 {
		l, err := net.Listen("tcp", net.JoinHostPort(Loopback(), "0"))
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		l.Close()
		if !given.addresses[address] {
			given.addresses[address] = true
			return address, nil
		}
	}
	return "", errors.New("no address is free")
}
