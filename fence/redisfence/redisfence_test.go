package redisfence

import (
	"errors"
	"math"
	"testing"

	"github.com/redis/go-redis/v9"
	"github.com/redis/go-redis/v9/maintnotifications"

	"junctionring/fence"
	"junctionring/internal/standin"
)

// The store here is a stand-in that does not interpret Lua: it runs a Go function for this script text, and refuses any
// other text.
func TestALateWriteIsRefused(t *testing.T) {
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	store.Script(ScriptText, func(get func(string) (string, bool), set func(key, value string), keys, args []string) (string, bool) {
		if seen, there := get(keys[1]); there && seen > args[0] {
			return seen, true
		}
		set(keys[1], args[0])
		set(keys[0], args[1])
		return "", false
	})
	client := redis.NewClient(&redis.Options{Addr: store.Addr(), Protocol: 2, DisableIdentity: true,
		MaintNotificationsConfig: &maintnotifications.Config{Mode: maintnotifications.ModeDisabled}})
	defer client.Close()
	s := Store{Client: client, Prefix: "fence:"}
	for _, w := range []struct {
		value string
		token uint64
		stale bool
	}{
		{"a", 9, false}, {"b", 10, false}, {"late", 9, true}, {"c", math.MaxUint64 - 1, false}, {"d", math.MaxUint64, false},
		{"late", math.MaxUint64 - 1, true}, // the two tokens differ only beyond the 53 bits of the store's numbers
	} {
		err := s.Set(t.Context(), "plan", w.value, "export", w.token)
		var stale *fence.StaleTokenError
		if errors.As(err, &stale) != w.stale || err != nil && !w.stale {
			t.Errorf("%s under %d: %v", w.value, w.token, err)
		}
	}
	if text, _ := store.Text("plan"); text != "d" {
		t.Errorf("the store holds %q", text)
	}
	if s.Set(t.Context(), "plan", "x", "export", 0) == nil {
		t.Error("a write with a token of 0 succeeded")
	}
}
