// Package redisfence guards keys of a Redis store by leases' tokens: a value is written in one step with the check
// that no later holder has written before. It is apart from package fence so that what only checks calls carries no
// store's client.
package redisfence

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/redis/go-redis/v9"

	"junctionring/fence"
)

// ScriptText is the script, as the store runs it: KEYS are the value's and the token's, ARGV the token and the value. It
// returns the token that overtook this one, or nothing. Tokens are compared as text of one length: the store's numbers
// hold 53 bits, and a token has 64.
const ScriptText = `local seen = redis.call('GET', KEYS[2])
if seen and seen > ARGV[1] then return seen end
redis.call('SET', KEYS[2], ARGV[1])
redis.call('SET', KEYS[1], ARGV[2])
return false`

var script = redis.NewScript(ScriptText)

// Store writes to a Redis store under leases.
type Store struct {
	Client redis.Scripter
	Prefix string // of the keys that hold tokens; they are as durable as the store, and no more
}

// Set writes a value under a lease's token. A *fence.Stale says that a later holder has written. After any other
// error the value may have been written, by this token's holder and so not after a later one.
func (s Store) Set(ctx context.Context, key, value, lease string, token uint64) error {
	if key == "" || lease == "" || token == 0 {
		return fmt.Errorf("key %q, lease %q, token %d: each must be there", key, lease, token)
	}
	seen, err := script.Run(ctx, s.Client, []string{key, s.Prefix + lease}, fmt.Sprintf("%020d", token), value).Text()
	switch {
	case errors.Is(err, redis.Nil):
		return nil
	case err != nil:
		return fmt.Errorf("lease %s: %w", lease, err)
	}
	n, err := strconv.ParseUint(seen, 10, 64)
	if err != nil {
		return fmt.Errorf("lease %s: the store holds %q for its token", lease, seen)
	}
	return &fence.StaleTokenError{Name: lease, Token: token, Seen: n}
}
