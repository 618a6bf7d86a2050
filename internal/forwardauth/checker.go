package forwardauth

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"junctionring/internal/egress"
)

const (
	maxCheckerConns       = 64 // concurrent connections
	checkerDialTimeout    = 250 * time.Millisecond
	maxVerdictHeaderBytes = 16 << 10 // of an answer
)

var (
	errVerdictTooLong = errors.New("checker's answer has a body that is too long")
	errProtocolSwitch = errors.New("checker answered with 101 Switching Protocols")
)

// checker queries the checker over HTTP/1.1, with a new connection for each query: HTTP/1.1 answers do not identify the
// request that they belong to. On a reused connection, a second answer to one query would be taken for the verdict on
// the next client.
type checker struct {
	url       *url.URL
	transport *http.Transport
}

func newChecker(u *url.URL) *checker {
	dialer := &net.Dialer{Timeout: checkerDialTimeout}
	return &checker{url: u, transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		MaxConnsPerHost: maxCheckerConns, MaxResponseHeaderBytes: maxVerdictHeaderBytes,
	}}
}

// query sends one query without retries and returns the complete answer. It returns when ctx ends at the latest.
func (c *checker) query(ctx context.Context, header http.Header) (*egress.Reply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		header.Set("X-Timeout", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)+"m")
	}
	req := (&http.Request{Method: http.MethodGet, URL: c.url, Host: c.url.Host, Header: header}).WithContext(ctx)
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errProtocolSwitch // its body is the connection itself: it has no end and ignores ctx
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, egress.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > egress.MaxBody {
		return nil, errVerdictTooLong
	}
	return &egress.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
