package operations

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"junctionring/internal/configuration"
	"junctionring/versions"
)

const pushWait = 30 * time.Second // for the answer to a version that was pushed

// Config is what the status says of versions.
type Config struct {
	Version  int64     `json:"version"` // in force; 0: the file
	Age      float64   `json:"age_s"`
	Pinned   bool      `json:"pinned"`
	OnItsWay int64     `json:"on_its_way,omitempty"`
	Down     *History  `json:"turned_down,omitempty"` // the last
	History  []History `json:"history"`
}

// History is a line of the history.
type History struct {
	Version int64  `json:"version"`
	State   string `json:"state"`
	Why     string `json:"why,omitempty"`
	Source  string `json:"source"`
}

func historyOf(e versions.Entry) History {
	source := fmt.Sprintf("control service %d", e.Source)
	switch e.Source {
	case versions.FromOperator:
		source = "operator"
	case versions.FromDisk:
		source = "disk"
	}
	return History{Version: e.Number, State: e.State.String(), Why: e.Reason, Source: source}
}

func configOf(s configuration.Status) *Config {
	c := &Config{Version: s.InForce.Number, Age: s.Age.Seconds(), Pinned: s.Pinned, OnItsWay: s.OnItsWay}
	if s.Down.Reason != "" {
		h := historyOf(s.Down)
		c.Down = &h
	}
	for _, e := range s.History {
		c.History = append(c.History, historyOf(e))
	}
	return c
}

// serveConfig adds the calls for versions: GET /config and /config/document, POST /config, /config/pin, /config/unpin.
func serveConfig(mux *http.ServeMux, manager *configuration.Manager) {
	show := func(w http.ResponseWriter) {
		st, ok := manager.Status()
		if !ok {
			http.Error(w, "the gateway is ending", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		out.Encode(configOf(st))
	}
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, r *http.Request) { show(w) })
	mux.HandleFunc("GET /config/document", func(w http.ResponseWriter, r *http.Request) {
		number := int64(-1)
		if text := r.FormValue("version"); text != "" {
			var err error
			if number, err = strconv.ParseInt(text, 10, 64); err != nil {
				http.Error(w, fmt.Sprintf("version: %q is no number", text), http.StatusBadRequest)
				return
			}
		}
		text := manager.Document(number)
		if text == nil {
			http.Error(w, "no such document is kept (version 0 is the file)", http.StatusNotFound)
			return
		}
		w.Write(text)
	})
	mux.HandleFunc("POST /config", func(w http.ResponseWriter, r *http.Request) {
		number, err := strconv.ParseInt(r.FormValue("version"), 10, 64)
		if err != nil {
			http.Error(w, fmt.Sprintf("version: %q is no number", r.FormValue("version")), http.StatusBadRequest)
			return
		}
		// One byte more than is allowed is read, so that too long a document is told from one that is cut.
		content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxDocument+1))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		source := versions.FromOperator
		if text := r.FormValue("source"); text != "" {
			if source, err = strconv.Atoi(text); err != nil || source < 0 {
				http.Error(w, fmt.Sprintf("source: %q is no control service's number", text), http.StatusBadRequest)
				return
			}
		}
		answer := make(chan string, 2)
		manager.Offer(configuration.Offer{Number: number, Content: content, Rollback: r.FormValue("rollback") == "true",
			Source: source, Answer: func(reason string) {
				select {
				case answer <- reason:
				default:
				}
			}})
		wait := time.NewTimer(pushWait)
		defer wait.Stop()
		select {
		case reason := <-answer:
			if reason != "" {
				http.Error(w, reason, http.StatusUnprocessableEntity)
				return
			}
			show(w)
		case <-wait.C:
			http.Error(w, "no answer yet; see the history", http.StatusGatewayTimeout)
		case <-r.Context().Done():
		}
	})
	for path, on := range map[string]bool{"POST /config/pin": true, "POST /config/unpin": false} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			manager.Pin(on)
			show(w)
		})
	}
}
