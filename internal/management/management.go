// Package management serves the operators' calls on an address of their own: HTTP/1.1, one call per connection.
// It carries out none of them itself: Hooks do. Each answer is due within a second at any load, so no handler waits
// for the core or for another caller; handlers only read atomics or set a flag. A call that carries a fencing token
// (fence.Header) is refused with 409 once a later holder of the lease has called.
package management

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"junctionring/fence"
)

const (
	headerTimeout  = 500 * time.Millisecond // for the request header; the connection of a caller that sends less is closed
	callTimeout    = time.Second            // for the whole request, header and body
	writeTimeout   = time.Second            // for a caller to read the answer
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 4 << 10
)

// Hooks are the functions behind the calls. None of them may block.
type Hooks struct {
	Ready     func() bool           // reports whether this process accepts clients
	Telemetry func(*bytes.Buffer)   // writes the metrics
	Draining  func() map[string]int // attempts in flight at each draining target; nil: the call does not exist
	Evacuate  func()                // makes clients leave for another gateway
	Rejoin    func()                // accepts clients again
}

// Server is the HTTP server of the management address.
type Server struct{ http *http.Server }

// New returns a server for the calls of h.
func New(h Hooks, log *slog.Logger) *Server {
	mux := http.NewServeMux()
	gate, _ := fence.Open("") // kept in memory: the state that the calls set ends with the process, too
	Calls(mux, h, log)
	guarded := gate.Guard(mux)
	s := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
			guarded.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: callTimeout, WriteTimeout: writeTimeout, IdleTimeout: headerTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetKeepAlivesEnabled(false) // one call per connection
	return &Server{http: s}
}

// Calls registers the calls with mux.
func Calls(mux *http.ServeMux, h Hooks, log *slog.Logger) {
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, r *http.Request) {
		if !h.Ready() {
			http.Error(w, "not taking clients", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, r *http.Request) {
		var b bytes.Buffer // completed before it is sent, so that a slow reader does not delay the reading of the metrics
		h.Telemetry(&b)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(b.Bytes())
	})
	mux.HandleFunc("PUT /api/evacuate", func(w http.ResponseWriter, r *http.Request) {
		h.Evacuate()
		log.Info("evacuate: clients are sent away")
		w.Write([]byte("done\n"))
	})
	mux.HandleFunc("PUT /api/rejoin", func(w http.ResponseWriter, r *http.Request) {
		h.Rejoin()
		log.Info("rejoin: clients are taken again")
		w.Write([]byte("done\n"))
	})
	if h.Draining == nil {
		return
	}
	mux.HandleFunc("GET /api/draining", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(h.Draining())
	})
}

// Serve accepts calls on l until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close stops the server and closes all of its connections.
func (s *Server) Close() error { return s.http.Close() }
