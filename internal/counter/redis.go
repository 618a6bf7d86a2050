package counter

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/redis/go-redis/v9"
	"github.com/redis/go-redis/v9/maintnotifications"

	"junctionring/control"
)

const (
	redisWorkers = 8
	redisPrefix  = "junctionring:"
)

// Redis is the counter on a Redis store that all gateways share: a few workers that read one mailbox.
type Redis struct {
	address        string
	client         atomic.Pointer[redis.Client] // replaced when a connection returned the answer to another call
	timeout        time.Duration
	mailbox        chan *call
	lastCallNumber atomic.Uint64 // counts the calls sent, to number them
}

type redisAdd struct {
	name   string
	amount float64
	ttl    time.Duration
}

// NewRedis returns the counter on the store at address. Each call times out after timeout.
func NewRedis(address string, timeout time.Duration) *Redis {
	r := &Redis{address: address, timeout: timeout, mailbox: make(chan *call, mailboxSize)}
	r.client.Store(r.newClient())
	return r
}

func (r *Redis) newClient() *redis.Client {
	return redis.NewClient(&redis.Options{
		Addr: r.address, Protocol: 2, DisableIdentity: true, PoolSize: redisWorkers,
		// No retries: a call whose answer was lost may have been added, and would then count twice.
		MaxRetries: -1, DialerRetries: 1,
		DialTimeout: r.timeout, ReadTimeout: r.timeout, WriteTimeout: r.timeout, ContextTimeoutEnabled: true,
		MaintNotificationsConfig: &maintnotifications.Config{Mode: maintnotifications.ModeDisabled},
	})
}

// replaceClient closes all connections of a client and installs a new one. Calls in flight on them may have been added.
func (r *Redis) replaceClient(old *redis.Client) {
	if replacement := r.newClient(); r.client.CompareAndSwap(old, replacement) {
		old.Close()
	} else { // another worker has already replaced it
		replacement.Close()
	}
}

// Add implements core.Counter.
func (r *Redis) Add(name uint64, amount float64, ttl time.Duration, report func(control.Status, float64)) bool {
	c := &call{report: report, requestedAt: time.Now(),
		redisAdd: redisAdd{redisPrefix + strconv.FormatUint(name, 10), amount, max(ttl, time.Millisecond)}}
	select {
	case r.mailbox <- c:
		return true
	default:
		return false
	}
}

// Run makes calls until ctx ends.
func (r *Redis) Run(ctx context.Context) {
	defer func() { r.client.Load().Close() }()
	done := make(chan struct{})
	for range redisWorkers {
		go func() {
			defer func() { done <- struct{}{} }()
			for {
				select {
				case <-ctx.Done():
					return
				case c := <-r.mailbox:
					c.finish(r.add(ctx, c))
				}
			}
		}()
	}
	for range redisWorkers {
		<-done
	}
}

// add makes one call. SET NX gives a new name its time to live, and INCRBYFLOAT keeps that of an existing name. Both are
// in one transaction, so that no other gateway acts between them and no name is left without an expiry. ECHO returns the
// number of the call, so that the answer to another call on the connection is not taken for its own.
func (r *Redis) add(ctx context.Context, c *call) (control.Status, float64) {
	remaining := r.timeout - time.Since(c.requestedAt)
	if remaining <= 0 {
		return control.Full, 0 // it timed out in the mailbox: nothing was added
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	client, number := r.client.Load(), strconv.FormatUint(r.lastCallNumber.Add(1), 10)
	tx := client.TxPipeline()
	tx.SetNX(ctx, c.name, 0, c.ttl)
	total := tx.IncrByFloat(ctx, c.name, c.amount)
	echo := tx.Echo(ctx, number)
	if _, err := tx.Exec(ctx); err != nil {
		return redisStatus(err), 0
	}
	if echo.Val() != number {
		r.replaceClient(client)
		return control.Timeout, 0
	}
	return control.OK, total.Val()
}

// redisStatus maps the error of a failed call to a status that tells whether its amount may have been added, and so must
// not be added again.
func redisStatus(err error) control.Status {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return control.ConnectFailed
	case errors.Is(err, redis.ErrPoolTimeout):
		return control.Full
	}
	var reply redis.Error
	if errors.As(err, &reply) && !errors.Is(err, redis.Nil) {
		return control.Full // an error reply of the store: a rejected transaction adds nothing
	}
	return control.Timeout
}
