// Package redisfence writes keys of a Redis store under the fencing tokens of leases: the check that no later holder has
// written, and the write, are one atomic step. It does not guard reads, or writes that bypass it.
//
// It is separate from package fence, so that programs that only check calls do not depend on a Redis client.
package redisfence

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/redis/go-redis/v9"

	"junctionring/fence"
)

// ScriptText is the Lua script that the store runs: KEYS are the keys of the value and of the token, ARGV the token and
// the value. It returns the higher token for which the write was refused, or nothing. Tokens are compared as strings of
// equal length: the store's numbers hold 53 bits, and a token has 64.
const ScriptText = `local seen = redis.call('GET', KEYS[2])
if seen and seen > ARGV[1] then return seen end
redis.call('SET', KEYS[2], ARGV[1])
redis.call('SET', KEYS[1], ARGV[2])
return false`

var script = redis.NewScript(ScriptText)

// Store writes to a Redis store under leases.
type Store struct {
	Client redis.Scripter
	Prefix string // of the keys that hold tokens; these are only as durable as the store
}

// Set writes a value under a lease's token. A *fence.StaleTokenError means that a later holder has written. After any
// other error the value may have been written, but not after a write of a later holder.
func (s Store) Set(ctx context.Context, key, value, lease string, token uint64) error {
	if key == "" || lease == "" || token == 0 {
		return fmt.Errorf("key %q, lease %q, token %d: key and lease must not be empty, and token must not be 0", key, lease, token)
	}
	seen, err := script.Run(ctx, s.Client, []string{key, s.Prefix + lease}, fmt.Sprintf("%020d", token), value).Text()
	switch {
	case errors.Is(err, redis.Nil):
		return nil
	case err != nil:
		return fmt.Errorf("cannot write key %q under lease %s: %w", key, lease, err)
	}
	n, err := strconv.ParseUint(seen, 10, 64)
	if err != nil {
		return fmt.Errorf("lease %s: the store holds %q as its token, which is not a number", lease, seen)
	}
	return &fence.StaleTokenError{Name: lease, Token: token, Seen: n}
}
