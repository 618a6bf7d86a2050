package fence

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
)

func TestATokenIsNeverFollowedByALowerOne(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens")
	g, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		name  string
		token uint64
		stale bool
	}{
		{"a", 5, false}, {"a", 5, false}, {"a", 4, true}, {"b", 1, false}, {"a", 9, false}, {"a", 5, true}, {"b", 1, false},
	} {
		err := g.Admit(step.name, step.token)
		var stale *StaleTokenError
		if errors.As(err, &stale) != step.stale || err != nil && !step.stale {
			t.Errorf("%s %d: %v", step.name, step.token, err)
		}
	}
	reopened, err := Open(path) // as after a restart of the process
	if err != nil || reopened.Highest("a") != 9 || reopened.Admit("a", 8) == nil || reopened.Admit("a", 9) != nil {
		t.Errorf("after a restart the highest token is %d, %v", reopened.Highest("a"), err)
	}
	if g.Admit("", 1) == nil || g.Admit("a", 0) == nil {
		t.Error("an empty name or a token of 0 was admitted")
	}
	if err := os.WriteFile(path, []byte("spoilt"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); err == nil {
		t.Error("a gate whose file is unreadable was opened")
	}
}

// A token that cannot be saved is not admitted: after a restart, a lower one could be admitted.
func TestNothingIsLetInThatCannotBeKept(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gone")
	g, err := Open(filepath.Join(dir, "tokens"))
	if err != nil {
		t.Fatal(err)
	}
	if g.Admit("a", 1) == nil || g.Highest("a") != 0 {
		t.Error("a token was admitted that could not be saved")
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := g.Admit("a", 1); err != nil {
		t.Error(err)
	}
}

func TestCallsAreGuarded(t *testing.T) {
	g, _ := Open("")
	calls := 0
	s := httptest.NewServer(g.Guard(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { calls++ })))
	defer s.Close()
	for _, call := range []struct {
		method, header string
		status         int
	}{
		{"PUT", "", 200}, {"PUT", "release 7", 200}, {"PUT", "release 7", 200}, {"PUT", "release 6", 409}, {"PUT", "other 6", 200},
		{"PUT", "release", 400}, {"PUT", "release x", 400}, {"PUT", "release 0", 400}, {"PUT", " 3", 400}, {"PUT", "release -1", 400},
		{"GET", "release 1", 200}, {"PUT", "", 200},
	} {
		r, _ := http.NewRequest(call.method, s.URL, nil)
		if call.header != "" {
			r.Header.Set(Header, call.header)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if response.StatusCode != call.status {
			t.Errorf("%s with %q: %d, want %d", call.method, call.header, response.StatusCode, call.status)
		}
	}
	if calls != 6 {
		t.Errorf("%d calls reached the handler, want 6", calls)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("release 7")
	f.Add(" ")
	f.Fuzz(func(t *testing.T, value string) {
		if name, token, err := Parse(value); err == nil && (name == "" || token == 0) {
			t.Errorf("%q was parsed as name %q, token %d", value, name, token)
		}
	})
}
