package leaseholder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"junctionring/lease"
)

// Register keeps a member in the fleet's list: a process beside it, so that a gateway carries neither gRPC nor a
// session, and serves on whatever becomes of the coordinators.
type Register struct {
	Client *Client
	Member lease.Member
	Ready  string        // a URL that answers 2xx while the member is in order; empty: it is taken to be
	Every  time.Duration // between two looks
}

const (
	stateReady   = "ready"
	probeTimeout = time.Second // for the member's answer
)

// Run looks and reports each change until ctx ends; then the member leaves.
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

// state is how the member says that it is, in words that don't change from one look to the next without a cause.
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
