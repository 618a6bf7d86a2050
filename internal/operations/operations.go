// Package operations is the listener for operators: what the gateway knows and counts, as JSON. It owns the
// words under which that is shown, and the calls by which they set versions; what is
// done about those is decided elsewhere.
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
	Classes  []string      `json:"classes"` // by the numbers used below
	Sites    *sites.Report `json:"sites,omitempty"`
	Config   *Config       `json:"config,omitempty"`
}

// New is the handler of the listener. It has the calls of package management too.
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
