package front

import (
	"context"
	"net/http"
	"time"

	"junctionring/internal/socket"
)

// clientWatchInterval is the time between looks for the end of a client's connection. No attempt may begin more than
// 100 ms after it.
const clientWatchInterval = 40 * time.Millisecond

// watchClient returns a request whose context ends soon after its client has closed the connection, also while a part
// of the body is unread. net/http looks for that end only once it has read the whole body, which done reports.
func watchClient(r *http.Request, done func() bool) (watched *http.Request, stop func()) {
	c := connOf(r)
	if c == nil {
		return r, func() {}
	}
	ctx, cancel := context.WithCancel(r.Context())
	go func() {
		tick := time.NewTicker(clientWatchInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			if done() {
				return
			}
			if socket.HungUp(c.TCPConn) {
				cancel()
			}
		}
	}()
	return r.WithContext(ctx), cancel
}
