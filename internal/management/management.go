// Package management is the operators' front: a second address with four calls, HTTP/1.1, one call per
// connection. Each answer is due within a second whatever the load, so no handler waits on the core or on
// another caller: they read atomics or set a flag. A call that carries a lease's token (fence.Header) is turned away
// with 409 when a later holder has called.
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
	headerTimeout  = 500 * time.Millisecond // a caller who sends nothing, or half a head, is let go by then
	callTimeout    = time.Second            // the whole call, head and body
	writeTimeout   = time.Second            // a caller who does not read its answer
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 4 << 10
)

// Hooks are what the calls do; each returns at once.
type Hooks struct {
	Ready     func() bool           // this process takes clients
	Telemetry func(*bytes.Buffer)   // the figures
	Draining  func() map[string]int // work under way at targets that take nothing new; nil: the call is not there
	Evacuate  func()                // send clients away
	Rejoin    func()                // back to work
}

// Server serves the calls.
type Server struct{ http *http.Server }

// New serves h.
func New(h Hooks, log *slog.Logger) *Server {
	mux := http.NewServeMux()
	gate, _ := fence.Open("") // as lasting as what the calls set: it ends with the process
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

// Calls adds the calls to a handler.
func Calls(mux *http.ServeMux, h Hooks, log *slog.Logger) {
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, r *http.Request) {
		if !h.Ready() {
			http.Error(w, "not taking clients", http.StatusServiceUnavailable)
			return
		}
		w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /api/telemetry", func(w http.ResponseWriter, r *http.Request) {
		var b bytes.Buffer // written whole, so that a slow reader holds no figure back
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

// Serve takes calls on l until Close.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Close ends the server and every call on it.
func (s *Server) Close() error { return s.http.Close() }
