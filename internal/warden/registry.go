package warden

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"junctionring/fence"
)

// Server is a table server as its registry lists it.
type Server struct {
	ID       string
	Address  string // host:port
	Zone     string
	Weight   float64
	Draining bool
	Started  time.Time // zero: not said; it counts as warm
}

// Registry is what a warden needs of a registry. A driver for another kind of registry implements it.
type Registry interface {
	// List is every server there is now.
	List(ctx context.Context) ([]Server, error)
	// Drain has a server listed as draining, or as serving again. It carries the token of the warden's lease: a registry
	// that can checks it (package fence), so that a warden that was stopped for long changes nothing any more.
	Drain(ctx context.Context, id string, draining bool, lease string, token uint64) error
}

const (
	maxListBytes = 16 << 20 // bytes of a list
	listPath     = "/registry/instances"
)

// HTTP is the driver for a registry that publishes its list as the platform's does, and takes
// PUT /registry/instances/ID/lifecycle with DRAINING or SERVING for a body.
type HTTP struct {
	Address string // host:port
}

// client makes each call on a connection of its own: a second answer to a call, on one that is used again, would be taken
// for the next call's.
var client = &http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}}

func (h *HTTP) do(ctx context.Context, method, path, body string, header http.Header) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.Address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("the registry answers %s: %.200s", response.Status, strings.TrimSpace(string(content)))
	case len(content) > maxListBytes:
		return nil, errors.New("the registry's list is too large")
	}
	return content, nil
}

// List implements Registry.
func (h *HTTP) List(ctx context.Context) ([]Server, error) {
	text, err := h.do(ctx, http.MethodGet, listPath, "", nil)
	if err != nil {
		return nil, err
	}
	return decodeList(text)
}

// decodeList reads a whole list. One that is wrong in any entry is not used at all: a server that is missing from what
// was understood would count as gone.
func decodeList(text []byte) (servers []Server, err error) {
	var list struct {
		Reset     bool `json:"reset"`
		Instances []struct {
			ID        string  `json:"instanceId"`
			HostPort  string  `json:"hostPort"`
			Zone      string  `json:"zone"`
			Lifecycle string  `json:"lifecycle"`
			Weight    float64 `json:"weight"`
			Started   int64   `json:"startedAtMs"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("the registry's list can't be read: %w", err)
	}
	if !list.Reset {
		return nil, errors.New("the registry's list is not whole")
	}
	seen := map[string]bool{}
	for _, entry := range list.Instances {
		switch {
		case entry.ID == "" || entry.HostPort == "" || seen[entry.ID]:
			return nil, fmt.Errorf("the registry's list: %q has no name or address, or stands there twice", entry.ID)
		case !(entry.Weight >= 0) || entry.Started < 0:
			return nil, fmt.Errorf("the registry's list: %s: weight %g or start %d is none", entry.ID, entry.Weight, entry.Started)
		}
		seen[entry.ID] = true
		s := Server{ID: entry.ID, Address: entry.HostPort, Zone: entry.Zone, Weight: entry.Weight, Draining: entry.Lifecycle == "DRAINING"}
		if entry.Started > 0 {
			s.Started = time.UnixMilli(entry.Started)
		}
		switch entry.Lifecycle {
		case "SERVING", "DRAINING":
			servers = append(servers, s)
		case "DELETED":
		default:
			return nil, fmt.Errorf("the registry's list: %s: there is no lifecycle %q", entry.ID, entry.Lifecycle)
		}
	}
	return servers, nil
}

// Drain implements Registry.
func (h *HTTP) Drain(ctx context.Context, id string, draining bool, lease string, token uint64) error {
	lifecycle := "SERVING"
	if draining {
		lifecycle = "DRAINING"
	}
	_, err := h.do(ctx, http.MethodPut, listPath+"/"+url.PathEscape(id)+"/lifecycle", lifecycle, http.Header{fence.Header: {fmt.Sprintf("%s %d", lease, token)}})
	return err
}
