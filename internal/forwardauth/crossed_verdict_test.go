package forwardauth_test

import (
	"net/http"
	"testing"

	"junctionring/internal/standin"
)

// newDoubleAnswerChecker starts a checker that answers every check twice, the second time once the next check on the
// connection has arrived.
func newDoubleAnswerChecker(t *testing.T, answer func(token string) string) (url string) {
	t.Helper()
	address, stop, err := standin.NewTwice("127.0.0.1:0", func(r *http.Request) string { return answer(r.Header.Get("Authorization")) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return "http://" + address
}

// Guards against one client being taken for another when the checker answers a check twice, the second time late: on a
// reused connection, the second answer would be read as the answer to the next client's check.
func TestSecondVerdictIsNotGivenToTheNextClient(t *testing.T) {
	for _, status := range []string{"200 OK", "204 No Content"} {
		t.Run(status, func(t *testing.T) {
			check := newDoubleAnswerChecker(t, func(token string) string {
				length := "Content-Length: 0\r\n"
				if status != "200 OK" {
					length = "" // a 204 answer must not have a Content-Length
				}
				return "HTTP/1.1 " + status + "\r\n" + length + "X-Auth-Account: " + token + "\r\nX-Auth-Plan: club\r\n\r\n"
			})
			table, store := newTableServer(t), newStore(t)
			url := startGateway(t, check, store.Addr(), table, `timeout = "300ms"`, `timeout = "1500ms"`)
			for i, client := range []string{"one", "two", "three"} {
				resp, _ := sendRequest(t, "GET", url+"/table-view/1", "", "Authorization", client)
				expectStatus(t, resp, http.StatusOK)
				if table.total() != i+1 {
					t.Fatalf("%d requests reached a table, want %d", table.total(), i+1)
				}
				if got := table.seen[i].Get("X-Auth-Account"); got != client {
					t.Errorf("client %s was taken for %s", client, got)
				}
			}
		})
	}
}

// Guards against a client being admitted by the verdict on another when the checker answers a check twice.
func TestSecondVerdictDoesNotLetAStrangerIn(t *testing.T) {
	check := newDoubleAnswerChecker(t, func(token string) string {
		if token == "stranger" {
			return "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\n\r\n"
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Auth-Account: " + token + "\r\nX-Auth-Plan: club\r\n\r\n"
	})
	table, store := newTableServer(t), newStore(t)
	url := startGateway(t, check, store.Addr(), table, `timeout = "300ms"`, `timeout = "1500ms"`)
	resp, _ := sendRequest(t, "GET", url+"/table-view/1", "", "Authorization", "one")
	expectStatus(t, resp, http.StatusOK)
	resp, _ = sendRequest(t, "GET", url+"/table-view/1", "", "Authorization", "stranger")
	expectStatus(t, resp, http.StatusUnauthorized)
	if n := table.total(); n != 1 {
		t.Errorf("%d requests reached a table, want only that of client one", n)
	}
}

// Guards against a check that never ends when the checker switches to another protocol.
func TestCheckerThatSwitchesProtocolsIsNoVerdict(t *testing.T) {
	check := newDoubleAnswerChecker(t, func(string) string {
		return "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\nX-Auth-Account: one\r\nX-Auth-Plan: club\r\n\r\n"
	})
	table, store := newTableServer(t), newStore(t)
	url := startGateway(t, check, store.Addr(), table)
	resp, _ := sendRequest(t, "GET", url+"/table-view/1", "")
	expectStatus(t, resp, http.StatusServiceUnavailable)
	if n := table.total(); n != 0 {
		t.Errorf("%d requests reached a table", n)
	}
}
