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

// Redis is the counter on a Redis store that all gateways share: a few workers behind one mailbox.
type Redis struct {
	address        string
	client         atomic.Pointer[redis.Client] // replaced when an answer on one of its connections was another call's
	timeout        time.Duration
	mailbox        chan *call
	lastCallNumber atomic.Uint64 // that were sent: their numbers
}

type redisAdd struct {
	name   string
	amount float64
	ttl    time.Duration
}

// NewRedis makes the counter for the store at an address; each call is given up after timeout.
func NewRedis(address string, timeout time.Duration) *Redis {
	r := &Redis{address: address, timeout: timeout, mailbox: make(chan *call, mailboxSize)}
	r.client.Store(r.newClient())
	return r
}

func (r *Redis) newClient() *redis.Client {
	return redis.NewClient(&redis.Options{
		Addr: r.address, Protocol: 2, DisableIdentity: true, PoolSize: redisWorkers,
		// A lost answer may have been added: sent again it would count twice.
		MaxRetries: -1, DialerRetries: 1,
		DialTimeout: r.timeout, ReadTimeout: r.timeout, WriteTimeout: r.timeout, ContextTimeoutEnabled: true,
		MaintNotificationsConfig: &maintnotifications.Config{Mode: maintnotifications.ModeDisabled},
	})
}

// replaceClient ends all connections of a client. Calls that are out on them may have been added.
func (r *Redis) replaceClient(old *redis.Client) {
	if replacement := r.newClient(); r.client.CompareAndSwap(old, replacement) {
		old.Close()
	} else { // another worker has replaced it
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

// Run works calls off until ctx ends.
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

// add makes one call. SET NX gives a new name its life; INCRBYFLOAT leaves that of an old one alone; as one
// transaction no other gateway comes between the two, nor can a name be left without an end. ECHO returns the call's own
// number, so that an answer to another call on the connection is not taken for its own.
func (r *Redis) add(ctx context.Context, c *call) (control.Status, float64) {
	remaining := r.timeout - time.Since(c.requestedAt)
	if remaining <= 0 {
		return control.Full, 0 // it waited here for all its time: nothing was added
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

// redisStatus tells what is known of an add that failed. What may have been added must not be added again.
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
		return control.Full // the store's own word: a transaction that it turns away adds nothing
	}
	return control.Timeout
}
