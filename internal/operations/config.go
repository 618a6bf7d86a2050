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

const pushTimeout = 30 * time.Second // for the outcome of a pushed version

// Config is the state of the configuration versions.
type Config struct {
	Version      int64     `json:"version"` // the version in force; 0: the file
	Age          float64   `json:"age_s"`
	Pinned       bool      `json:"pinned"`
	InProgress   int64     `json:"on_its_way,omitempty"`
	LastRejected *History  `json:"turned_down,omitempty"` // the last one
	History      []History `json:"history"`
}

// History is one version in the history.
type History struct {
	Version int64  `json:"version"`
	State   string `json:"state"`
	Reason  string `json:"why,omitempty"`
	Source  string `json:"source"`
}

func historyFromEntry(e versions.Entry) History {
	source := fmt.Sprintf("control service %d", e.Source)
	switch e.Source {
	case versions.FromOperator:
		source = "operator"
	case versions.FromDisk:
		source = "disk"
	}
	return History{Version: e.Number, State: e.State.String(), Reason: e.Reason, Source: source}
}

func configFromStatus(s configuration.Status) *Config {
	c := &Config{Version: s.InForce.Number, Age: s.Age.Seconds(), Pinned: s.Pinned, InProgress: s.InProgress}
	if s.LastRejected.Reason != "" {
		h := historyFromEntry(s.LastRejected)
		c.LastRejected = &h
	}
	for _, e := range s.History {
		c.History = append(c.History, historyFromEntry(e))
	}
	return c
}

// configHandlers handles the calls for configuration versions.
type configHandlers struct {
	manager *configuration.Manager
}

// registerConfig registers the calls for configuration versions: GET /config and /config/document, and POST /config,
// /config/pin and /config/unpin.
func registerConfig(mux *http.ServeMux, manager *configuration.Manager) {
	c := configHandlers{manager}
	mux.HandleFunc("GET /config", func(w http.ResponseWriter, _ *http.Request) { c.writeStatus(w) })
	mux.HandleFunc("GET /config/document", c.serveDocument)
	mux.HandleFunc("POST /config", c.servePush)
	for path, pinned := range map[string]bool{"POST /config/pin": true, "POST /config/unpin": false} {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			manager.Pin(pinned)
			c.writeStatus(w)
		})
	}
}

func (c configHandlers) writeStatus(w http.ResponseWriter) {
	status, ok := c.manager.Status()
	if !ok {
		http.Error(w, "the gateway is ending", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	out.Encode(configFromStatus(status))
}

func (c configHandlers) serveDocument(w http.ResponseWriter, r *http.Request) {
	number := int64(-1)
	if text := r.FormValue("version"); text != "" {
		var err error
		if number, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, fmt.Sprintf("version: %q is no number", text), http.StatusBadRequest)
			return
		}
	}
	text := c.manager.Document(number)
	if text == nil {
		http.Error(w, "no such document is kept (version 0 is the file)", http.StatusNotFound)
		return
	}
	w.Write(text)
}

// servePush offers the version in the request to the manager, and writes the status once the version is in force.
func (c configHandlers) servePush(w http.ResponseWriter, r *http.Request) {
	offer, code, err := readOffer(w, r)
	if err != nil {
		http.Error(w, err.Error(), code)
		return
	}
	answer := make(chan string, 2)
	offer.Answer = func(reason string) {
		select {
		case answer <- reason:
		default:
		}
	}
	c.manager.Offer(offer)
	wait := time.NewTimer(pushTimeout)
	defer wait.Stop()
	select {
	case reason := <-answer:
		if reason != "" {
			http.Error(w, reason, http.StatusUnprocessableEntity)
			return
		}
		c.writeStatus(w)
	case <-wait.C:
		http.Error(w, "no answer yet; see the history", http.StatusGatewayTimeout)
	case <-r.Context().Done():
	}
}

// readOffer reads the version in the request. If err is set, code is the HTTP status to answer with.
func readOffer(w http.ResponseWriter, r *http.Request) (offer configuration.Offer, code int, err error) {
	offer.Source, offer.Rollback = versions.FromOperator, r.FormValue("rollback") == "true"
	if offer.Number, err = strconv.ParseInt(r.FormValue("version"), 10, 64); err != nil {
		return offer, http.StatusBadRequest, fmt.Errorf("version: %q is no number", r.FormValue("version"))
	}
	// One byte above the limit is read, to tell a document that is too long from one that is truncated.
	offer.Content, err = io.ReadAll(http.MaxBytesReader(w, r.Body, configuration.MaxDocument+1))
	if err != nil {
		return offer, http.StatusRequestEntityTooLarge, err
	}
	if text := r.FormValue("source"); text != "" {
		if offer.Source, err = strconv.Atoi(text); err != nil || offer.Source < 0 {
			return offer, http.StatusBadRequest, fmt.Errorf("source: %q is no control service's number", text)
		}
	}
	return offer, 0, nil
}
