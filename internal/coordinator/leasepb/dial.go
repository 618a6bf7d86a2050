package leasepb

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// MaxMessageBytes is the limit of a gRPC message. The snapshot of a group at its bounds has some 5 MB.
const MaxMessageBytes = 16 << 20

// Dial returns a connection to the coordinator at host:port. The connection is opened by the first call.
func Dial(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)))
}

// Status fetches the status of one coordinator, whether it leads or not, with a timeout.
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
