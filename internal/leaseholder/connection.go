package leaseholder

import (
	"cmp"
	"context"
	"time"

	"junctionring/internal/coordinator/leasepb"
	"junctionring/lease"
)

func viewFromProto(v *leasepb.View) (out lease.View) {
	out.Rev = v.GetRev()
	for _, g := range v.GetHeld() {
		out.Held = append(out.Held, lease.Grant{Name: g.Name, Token: g.Token})
	}
	for _, p := range v.GetPlaces() {
		out.Places = append(out.Places, lease.Place{Name: p.Name, Before: int(p.Before)})
	}
	return out
}

// connection is one stream to a coordinator. Only its reader and writer goroutines wait for the network; the client's
// actor never does.
type connection struct {
	address      string
	in           chan *leasepb.ToHolder
	failed       chan error
	out          chan *leasepb.FromHolder
	cancel       context.CancelFunc
	sessionOpen  bool          // the coordinator has answered a renewal on this stream
	lastReceived time.Duration // when the last message was received
}

// openConnection starts a stream to a coordinator without waiting for it. A failure arrives on the failed channel.
func openConnection(ctx context.Context, address string, via map[string]string) (*connection, error) {
	conn, err := leasepb.Dial(cmp.Or(via[address], address))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{address: address, in: make(chan *leasepb.ToHolder, 16), failed: make(chan error, 1), out: make(chan *leasepb.FromHolder, 16), cancel: cancel}
	go func() {
		defer conn.Close()
		defer cancel()
		timer := time.AfterFunc(firstAnswerTimeout, cancel)
		stream, err := leasepb.NewLeasesClient(conn).Session(ctx)
		if err != nil {
			timer.Stop()
			c.failed <- err
			return
		}
		go func() {
			for {
				select {
				case m := <-c.out:
					if stream.Send(m) != nil {
						return // the reader receives the stream's error
					}
				case <-ctx.Done():
					return
				}
			}
		}()
		for {
			m, err := stream.Recv()
			timer.Stop()
			if err != nil {
				c.failed <- err
				return
			}
			select {
			case c.in <- m:
			case <-ctx.Done():
				c.failed <- ctx.Err()
				return
			}
		}
	}()
	return c, nil
}

// send queues a message, and reports whether there was room for it.
func (c *connection) send(m *leasepb.FromHolder) bool {
	select {
	case c.out <- m:
		return true
	default:
		return false // the queue is full: the coordinator does not read
	}
}
