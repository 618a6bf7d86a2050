package configuration_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"junctionring/internal/configuration"
)

func TestCallsForVersionsAreAnswered(t *testing.T) {
	r := newRig(t, false)
	tooLong := strings.Repeat("#", configuration.MaxDocument+2)
	for _, c := range []struct {
		method, path, body string
		status             int
		answer             string // text that the answer contains
	}{
		{http.MethodGet, "/config", "", http.StatusOK, `"pinned": false`},
		{http.MethodGet, "/config/document", "", http.StatusNotFound, "version 0 is the file"},
		{http.MethodGet, "/config/document?version=x", "", http.StatusBadRequest, `version: "x" is no number`},
		{http.MethodGet, "/config/document?version=99", "", http.StatusNotFound, "no such document is kept"},
		{http.MethodPost, "/config", "", http.StatusBadRequest, `version: "" is no number`},
		{http.MethodPost, "/config?version=x", "", http.StatusBadRequest, `version: "x" is no number`},
		{http.MethodPost, "/config?version=1", tooLong, http.StatusRequestEntityTooLarge, "too large"},
		{http.MethodPost, "/config?version=1&source=x", "", http.StatusBadRequest, `source: "x" is no control service's number`},
		{http.MethodPost, "/config?version=1&source=-1", "", http.StatusBadRequest, `source: "-1" is no control service's number`},
		{http.MethodPost, "/config?version=1", "[", http.StatusUnprocessableEntity, "toml"},
		{http.MethodPost, "/config?version=2", r.version(), http.StatusOK, `"version": 2`},
		{http.MethodGet, "/config/document", "", http.StatusOK, r.version()},
		{http.MethodGet, "/config/document?version=2", "", http.StatusOK, r.version()},
		{http.MethodPost, "/config/pin", "", http.StatusOK, `"pinned": true`},
		{http.MethodPost, "/config/unpin", "", http.StatusOK, `"pinned": false`},
		{http.MethodDelete, "/config", "", http.StatusMethodNotAllowed, ""},
	} {
		t.Run(fmt.Sprintf("%s %s, %d bytes", c.method, c.path, len(c.body)), func(t *testing.T) {
			q, err := http.NewRequest(c.method, r.ops.URL+c.path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || !strings.Contains(string(answer), c.answer) {
				t.Errorf("status %d with body %q, want %d with %q", resp.StatusCode, answer, c.status, c.answer)
			}
		})
	}
}
