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
	maxCheckerConns       = 64 // at once
	checkerDialTimeout    = 250 * time.Millisecond
	maxVerdictHeaderBytes = 16 << 10 // bytes of an answer's head
)

var (
	errVerdictTooLong = errors.New("the checker's answer is too long")
	errProtocolSwitch = errors.New("the checker switches protocols")
)

// checker asks the checker over HTTP/1.1, each question on a connection of its own: nothing in an answer names the
// question that it is for. A second answer to one question, on a connection that is used again, would be taken for the
// verdict on the next client.
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

// ask sends one question, once, and returns the whole answer. It ends with ctx at the latest.
func (c *checker) query(ctx context.Context, header http.Header) (*egress.Reply, error) {
	if deadline, ok := ctx.Deadline(); ok {
		header.Set("X-Timeout", strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)+"m")
	}
	question := (&http.Request{Method: http.MethodGet, URL: c.url, Host: c.url.Host, Header: header}).WithContext(ctx)
	answer, err := c.transport.RoundTrip(question)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return nil, errProtocolSwitch // its body is the connection: it has no end, and no longer heeds ctx
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, egress.MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > egress.MaxBody {
		return nil, errVerdictTooLong
	}
	return &egress.Reply{Status: answer.StatusCode, Header: answer.Header, Body: body}, nil
}
