package warden

import (
	"fmt"
	"net/http"
	"testing"

	"junctionring/internal/standin"
)

// Guards against taking a rejected drain for an accepted one. The registry sends its response to the list twice, the
// second time late, so that on a reused connection it would be read as the response to the drain.
func TestSecondAnswerOfARegistryDoesNotCarryADrainOut(t *testing.T) {
	address, stop, err := standin.NewTwice("127.0.0.1:0", func(r *http.Request) string {
		if r.Method == http.MethodGet {
			const list = `{"generation":1,"reset":true,"instances":[]}`
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		}
		return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	registry := HTTP{Address: address}
	if _, err := registry.List(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := registry.Drain(t.Context(), "s1", true, "tables:one", 7); err == nil {
		t.Error("Drain returned no error although the registry rejected the drain")
	}
}
