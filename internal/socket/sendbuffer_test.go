package socket

import "testing"

// Guards against a client whose system holds more than Linux's default, and whose time would start late.
func TestMaxSendBufferIsTheSystems(t *testing.T) {
	for setting, want := range map[string]int64{
		"4096\t16384\t4194304\n":  4 << 20,
		"4096\t65536\t16777216\n": 16 << 20,
		"4096 16384 1048576":      4 << 20,
		"":                        4 << 20,
		"4096 16384":              4 << 20,
		"4096 16384 much":         4 << 20,
	} {
		if got := maxSendBufferOf(setting); got != want {
			t.Errorf("%q: %d, want %d", setting, got, want)
		}
	}
}
