package ingress_test

import (
	"io"
	"net/http"
	"testing"
)

// Guards against an id that runs twice, as its client leaves while it runs and the id comes again.
func TestIDOfAClientThatLeftIsNotRunAgain(t *testing.T) {
	for name, message := range map[string]string{"keyed": moveRequest, "unsafe": stakeRequest} {
		t.Run(name, func(t *testing.T) {
			target := newTestServer(t)
			address, _ := start(t, fleet(), target)
			client := dial(t, address)
			io.WriteString(client, withID(message, 1))
			running := <-target.requests
			client.Close()
			running.awaitClosed(t) // the gateway has called the attempt off
			for range 3 {
				if resp, _ := dial(t, address).roundTrip(t, withID(message, 1)); resp.StatusCode != http.StatusConflict {
					t.Errorf("the id came again and was answered %d, want 409", resp.StatusCode)
				}
			}
			if n := len(target.requests); n > 0 {
				t.Errorf("the id reached a table server %d times more", n)
			}
		})
	}
}
