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
	Started  time.Time // zero: unknown, and the server counts as warm
}

// Registry lists table servers and sets their state. A driver for another kind of registry implements it.
type Registry interface {
	// List returns every server that is registered now.
	List(ctx context.Context) ([]Server, error)
	// Drain sets a server to draining, or to serving again. It carries the fencing token of the warden's lease. A registry
	// that supports fencing checks it (package fence), so that a warden that was paused and lost its lease changes nothing.
	Drain(ctx context.Context, id string, draining bool, lease string, token uint64) error
}

const (
	maxListBytes = 16 << 20 // of a response body
	listPath     = "/registry/instances"
)

// HTTP is the driver for a registry that publishes its list in the platform's format and accepts
// PUT /registry/instances/ID/lifecycle with the body DRAINING or SERVING.
type HTTP struct {
	Address string // host:port
}

// client opens a new connection for each call: on a reused connection, a second response to one call would be taken for
// the response to the next call.
var client = &http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}}

// do sends a request and returns the body of the response. A status other than 200 is an error.
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
		return nil, fmt.Errorf("registry returned status %s: %.200s", response.Status, strings.TrimSpace(string(content)))
	case len(content) > maxListBytes:
		return nil, fmt.Errorf("registry response exceeds %d bytes", maxListBytes)
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

// decodeList decodes a complete list. It rejects a list with any invalid entry, because a server whose entry was skipped
// would count as gone.
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
		return nil, fmt.Errorf("decoding the registry's list: %w", err)
	}
	if !list.Reset {
		return nil, errors.New("registry's list is incomplete: \"reset\" is not true")
	}
	seen := map[string]bool{}
	for _, entry := range list.Instances {
		switch {
		case entry.ID == "" || entry.HostPort == "" || seen[entry.ID]:
			return nil, fmt.Errorf("registry's list: instance %q has no ID or no address, or is listed twice", entry.ID)
		case !(entry.Weight >= 0) || entry.Started < 0:
			return nil, fmt.Errorf("registry's list: instance %s: invalid weight %g or start time %d", entry.ID, entry.Weight, entry.Started)
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
			return nil, fmt.Errorf("registry's list: instance %s: unknown lifecycle %q", entry.ID, entry.Lifecycle)
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
