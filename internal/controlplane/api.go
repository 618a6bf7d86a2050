package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const apiWait = 35 * time.Second // longer than a gateway takes to answer for a version

// API is a gateway's operations listener.
type API struct {
	Address string
}

// client makes each call on a connection of its own: a second answer to a call, on one that is used again, would be taken
// for the next call's.
var client = &http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DisableKeepAlives: true}}

// Offer implements Gateway.
func (a *API) Offer(ctx context.Context, v Version) (reason string, err error) {
	ctx, cancel := context.WithTimeout(ctx, apiWait)
	defer cancel()
	url := fmt.Sprintf("http://%s/config?version=%d&rollback=%t&source=%d", a.Address, v.Number, v.Rollback, v.Source)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(v.Document))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	switch {
	case err != nil:
		return "", err
	case resp.StatusCode == http.StatusOK:
		return "", nil
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return strings.TrimSpace(string(text)), nil
	}
	return "", fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
}

// Running implements Gateway.
func (a *API) Running(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, apiWait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.Address+"/config", nil)
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("the gateway answered %s", resp.Status)
	}
	var c struct {
		Version int64 `json:"version"`
	}
	err = json.NewDecoder(resp.Body).Decode(&c)
	return c.Version, err
}

// Document implements DocumentHolder.
func (a *API) Document(ctx context.Context, number int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, apiWait)
	defer cancel()
	url := fmt.Sprintf("http://%s/config/document?version=%d", a.Address, number)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the gateway answered %s", resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, MaxMessage))
}
