package coordinator

import (
	"context"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// A call that ends before the actor handles it must share no memory with the actor. The race detector reports a late
// reply that writes what the caller reads.
func TestCallThatEndsEarlySharesNothing(t *testing.T) {
	n := &Node{requests: make(chan any, 1), ended: make(chan struct{}), g: newGroup()}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	value, err := runInActor(ctx, service{n: n}, func(_ *Node, done func([]byte, error)) { done([]byte("late"), nil) })
	if value != nil || status.Code(err) != codes.Canceled {
		t.Fatalf("cancelled call returned %q, %v; want no value and Canceled", value, err)
	}
	handled := make(chan struct{})
	go func() { // the actor
		defer close(handled)
		(<-n.requests).(call).do()
	}()
	if value != nil {
		t.Errorf("the late reply reached the caller: %q", value)
	}
	<-handled
}
