package leasepb

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// MaxMessageBytes is the most that one message holds, in bytes: a snapshot of a full group has some 5 MB.
const MaxMessageBytes = 16 << 20

// Dial makes a connection to a coordinator at host:port; it opens with its first call.
func Dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)))
}

// Status asks one coordinator how it is, whoever leads. Its answer may take so long at the most.
func Status(ctx context.Context, address string, timeout time.Duration) (*StatusAnswer, error) {
	conn, err := Dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	ctx, done := context.WithTimeout(ctx, timeout)
	defer done()
	return NewLeasesClient(conn).Status(ctx, &StatusAsk{})
}
