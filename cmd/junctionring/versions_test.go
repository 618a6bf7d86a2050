package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"junctionring/internal/snapshot"
)

// The built program serves from its snapshot with no control service at all, and says which version it runs.
func TestStartsFromSnapshot(t *testing.T) {
	s, got, letGo := tableServer(t)
	letGo <- struct{}{}
	body := fmt.Sprintf(`trusted_proxies = ["127.0.0.0/8"]
class = [{name = "move-submit", aim = "1s", deadline = "4s", worth = 6.0, repeat = "keyed", window = "4s"}]
plan = [{name = "club", rate = 5.0, burst = 20.0, worth = 1.0}]
target = [{id = "t1", address = %q}]
`, strings.TrimPrefix(s.URL, "http://"))
	path := filepath.Join(t.TempDir(), "last-good")
	version := body + "route = [{path = \"/boards/*/moves\", methods = [\"POST\"], class = \"move-submit\"}]\n"
	if err := snapshot.Save(path, snapshot.Version{Number: 12, Content: []byte(version)}); err != nil {
		t.Fatal(err)
	}
	file := write(t, "operator.toml", fmt.Sprintf("listen = \"127.0.0.1:0\"\nredis = {address = %q}\nversions = {snapshot = %q}\n",
		newStore(t).Addr(), path)+body)
	begun := time.Now()
	cmd, address := start(t, "--operator", file)
	t.Logf("serving %v after its start", time.Since(begun)) // the operators want a second at most
	status := ask(t, "http://"+address+"/boards/7/moves", "k1", "X-Auth-Account", "ayumi", "X-Auth-Plan", "club")
	select {
	case r := <-got:
		if r.URL.Path != "/boards/7/moves" {
			t.Errorf("sent on as %s", r.URL.Path)
		}
	case code := <-status:
		t.Fatalf("answered %d without the table server", code)
	}
	if code := <-status; code != http.StatusOK {
		t.Errorf("answered %d", code)
	}
	cmd.Process.Signal(os.Interrupt)
	exits(t, cmd)
}
