package leaseholder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"junctionring/lease"
)

// Register keeps a member registered in the fleet's list. It runs in a process beside the member, so that a gateway
// needs neither gRPC nor a session, and keeps serving whatever happens to the coordinators.
type Register struct {
	Client *Client
	Member lease.Member
	Ready  string        // a URL that answers 2xx while the member is ready; empty: it is taken to be ready
	Every  time.Duration // between two probes of Ready
}

const (
	stateReady   = "ready"
	probeTimeout = time.Second // for the member's answer to a probe
)

// Run probes the member and reports each change of its state until ctx ends; then it closes the session, and the
// member leaves the list.
func (r Register) Run(ctx context.Context) error {
	client := &http.Client{Timeout: probeTimeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	ticker := time.NewTicker(r.Every)
	defer ticker.Stop()
	reported := ""
	for {
		if state := r.probe(ctx, client); state != reported && ctx.Err() == nil {
			m := r.Member
			m.State = state
			if err := r.Client.Report(ctx, m); err != nil {
				return err
			}
			reported = state
		}
		select {
		case <-ctx.Done():
			closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			r.Client.Close(closeCtx)
			return nil
		case <-ticker.C:
		}
	}
}

// probe returns the member's state. The text stays the same from one probe to the next unless the state changes,
// because each change is reported.
func (r Register) probe(ctx context.Context, client *http.Client) string {
	if r.Ready == "" {
		return stateReady
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.Ready, nil)
	if err != nil {
		return "unknown: " + err.Error()
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 64<<10))
	if resp.StatusCode/100 != 2 {
		return fmt.Sprintf("not ready (%d)", resp.StatusCode)
	}
	return stateReady
}
