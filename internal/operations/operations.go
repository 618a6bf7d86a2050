// Package operations is the HTTP handler for operators: it shows the state of the gateway as JSON and takes
// configuration versions. It defines the field names of that JSON and the calls, but does not decide what is done with
// a version: package configuration does.
package operations

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"junctionring/internal/config"
	"junctionring/internal/configuration"
	"junctionring/internal/core"
	"junctionring/internal/management"
	"junctionring/sites"
)

// Status is the answer of GET /status.
type Status struct {
	Ordinal  int           `json:"ordinal"`
	Gateways int           `json:"gateways"`
	Classes  []string      `json:"classes"` // by the class numbers that Sites uses
	Sites    *sites.Report `json:"sites,omitempty"`
	Config   *Config       `json:"config,omitempty"`
}

// New returns the handler, which also serves the calls of package management.
func New(o *config.Operator, c *core.Core, manager *configuration.Manager, hooks management.Hooks, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		s := Status{Ordinal: o.Ordinal, Gateways: o.Gateways}
		for _, class := range o.Classes {
			s.Classes = append(s.Classes, class.Name)
		}
		if report, ok := c.Sites(); ok {
			s.Sites = &report
		}
		if st, ok := manager.Status(); ok {
			s.Config = configFromStatus(st)
		}
		w.Header().Set("Content-Type", "application/json")
		out := json.NewEncoder(w)
		out.SetIndent("", "  ")
		out.Encode(s)
	})
	registerConfig(mux, manager)
	management.Calls(mux, hooks, log)
	return mux
}
