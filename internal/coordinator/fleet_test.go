package coordinator

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"junctionring/rollout"
)

// A command of an agent of an older version, without the newer words, is taken; one with a word that isn't known here, of
// a newer agent, is refused rather than half understood.
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
		t.Errorf("an older agent's: %+v (%v)", c, err)
	}
	old["zz"] = 1
	if err := decode(raw(old), &c); err == nil {
		t.Error("a word that is not known was passed over")
	}
}
