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
	inOrder  = "ready"
	readWait = time.Second // for the member's answer
)

// Run looks and reports each change until ctx ends; then the member leaves.
func (r Register) Run(ctx context.Context) error {
	client := &http.Client{Timeout: readWait, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	look := time.NewTicker(r.Every)
	defer look.Stop()
	told := ""
	for {
		if state := r.state(ctx, client); state != told && ctx.Err() == nil {
			m := r.Member
			m.State = state
			if err := r.Client.Report(ctx, m); err != nil {
				return err
			}
			told = state
		}
		select {
		case <-ctx.Done():
			last, done := context.WithTimeout(context.Background(), time.Second)
			defer done()
			r.Client.Close(last)
			return nil
		case <-look.C:
		}
	}
}

// state is how the member says that it is, in words that don't change from one look to the next without a cause.
func (r Register) state(ctx context.Context, client *http.Client) string {
	if r.Ready == "" {
		return inOrder
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.Ready, nil)
	if err != nil {
		return "unknown: " + err.Error()
	}
	a, err := client.Do(q)
	if err != nil {
		return "no answer"
	}
	defer a.Body.Close()
	io.Copy(io.Discard, io.LimitReader(a.Body, 64<<10))
	if a.StatusCode/100 != 2 {
		return fmt.Sprintf("not ready (%d)", a.StatusCode)
	}
	return inOrder
}
