// Package controlplane is the client of a control service: it keeps an aggregated discovery stream (Envoy's
// published ADS, v3) that carries one resource, a whole configuration version, or its incremental form (delta ADS),
// has each version offered to the gateway, and returns its acknowledgement or reason. It owns the streams, their
// reconnects and what waits to be offered; it decides nothing about versions. It runs in a process of its own
// (cmd/configstream): gRPC would add 8 MB resident to every gateway, streams or not.
package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	grpcbackoff "google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"junctionring/configdelta"
	"junctionring/internal/controlplane/versionpb"
)

// TypeURL names the resource type.
const TypeURL = "type.googleapis.com/junctionring.v1.Version"

// MaxMessage is the most that one message of a stream may hold, in bytes.
const MaxMessage = 9 << 20

const (
	pingEvery  = 10 * time.Second // gRPC takes no less; a control service that fell silent is noticed by it
	pingMost   = 6 * time.Minute  // what servers allow unless they say otherwise, and some more
	pingWait   = 3 * time.Second
	openWait   = 3 * time.Second        // for a connection to come up and speak
	firstPause = 100 * time.Millisecond // between streams, doubled with jitter
	longPause  = 5 * time.Second
	steadyFor  = 10 * time.Second // a stream that lasted this long begins its pauses anew
)

// Version is one version as a control service sent it.
type Version struct {
	Number   int64
	Rollback bool
	Document []byte
	Source   int // the control service, by its place in the list
}

// Gateway is the gateway that versions are offered to.
type Gateway interface {
	// Offer returns "" when the version is in force, else why not; an error when the gateway did not answer.
	Offer(ctx context.Context, v Version) (reason string, err error)
	// Running is the number of the version in force.
	Running(ctx context.Context) (int64, error)
}

// Client follows the control services, one at a time: the next in the list when one is gone.
type Client struct {
	Services []string // host:port
	Node     string   // this gateway's name, as control services know it
	Gateway  Gateway
	Log      *slog.Logger

	// Increments has versions come as increments (delta ADS) in place of whole documents.
	Increments bool

	mu       sync.Mutex
	refusals map[configdelta.Reason]int
	reader   *configdelta.Reader // of increments; kept from one stream to the next

	ping time.Duration // between keep-alives; longer where a control service calls that too many
}

// Run follows until ctx ends. A stream that breaks changes nothing: the next one asks from the version held.
func (c *Client) Run(ctx context.Context) error {
	if len(c.Services) == 0 {
		return errors.New("controlplane: no control service is named")
	}
	c.ping = pingEvery
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstPause, longPause
	for turn := 0; ; turn++ {
		source, begun := turn%len(c.Services), time.Now()
		err := c.follow(ctx, source)
		if ctx.Err() != nil {
			return nil
		}
		c.Log.Warn("the stream ended", "service", c.Services[source], "err", err)
		if err != nil && strings.Contains(err.Error(), "too_many_pings") {
			c.ping = min(2*c.ping, pingMost)
		}
		if time.Since(begun) > steadyFor {
			pause.Reset()
		}
		wait := time.NewTimer(pause.NextBackOff())
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-wait.C:
		}
	}
}

// dial makes the connection to a control service; it comes up with the first stream.
func (c *Client) dial(source int) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+c.Services[source], grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: grpcbackoff.DefaultConfig, MinConnectTimeout: openWait}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: c.ping, Timeout: pingWait}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage)))
}

// follow keeps one stream to a control service until it ends.
func (c *Client) follow(ctx context.Context, source int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := c.dial(source)
	if err != nil {
		return err
	}
	defer conn.Close()
	service := discovery.NewAggregatedDiscoveryServiceClient(conn)
	if c.Increments {
		return c.followIncrements(ctx, service, source)
	}
	return c.followVersions(ctx, service, source)
}

// running asks the gateway which version is in force.
func (c *Client) running(ctx context.Context) (int64, error) {
	number, err := c.Gateway.Running(ctx)
	if err != nil {
		return 0, fmt.Errorf("the gateway does not say what it runs: %w", err)
	}
	return number, nil
}

func word(number int64) string { return strconv.FormatInt(number, 10) }

// Decode reads the one version of a response.
func Decode(m *discovery.DiscoveryResponse) (v Version, err error) {
	if m.TypeUrl != TypeURL {
		return v, fmt.Errorf("resource type %q is not %q", m.TypeUrl, TypeURL)
	}
	if len(m.Resources) != 1 {
		return v, fmt.Errorf("%d resources where one whole version is due", len(m.Resources))
	}
	var p versionpb.Version
	if err := m.Resources[0].UnmarshalTo(&p); err != nil {
		return v, fmt.Errorf("the resource can't be read: %w", err)
	}
	if info := word(p.Number); m.VersionInfo != info {
		return v, fmt.Errorf("version_info %q for version %s", m.VersionInfo, info)
	}
	return Version{Number: p.Number, Rollback: p.Rollback, Document: p.Document}, nil
}
