package coordinator

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"junctionring/rollout"
)

// A command of an older agent, which lacks the newer fields, is accepted. A command of a newer agent with a field that is
// unknown here is refused, since it would be only partly understood.
func TestCommandsOfOtherVersions(t *testing.T) {
	raw := func(m map[string]any) []byte {
		text, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	old := map[string]any{"o": "want", "b": "g1", "u": "g1", "c": "r", "l": time.Minute}
	var c rollout.Command
	if err := decode(raw(old), &c); err != nil || c.Check() != nil || c.Op != rollout.RequestPermit || c.Unit != "g1" || c.Change != "r" || c.Life != time.Minute {
		t.Errorf("command of an older agent decoded as %+v (error %v)", c, err)
	}
	old["zz"] = 1
	if err := decode(raw(old), &c); err == nil {
		t.Error("a command with an unknown field was accepted")
	}
}
