package egress

import "testing"

// Guards against identifiers making each path one of its own, and against different paths counting as one.
func TestPathTemplate(t *testing.T) {
	for uri, want := range map[string]string{
		"/write":                  "POST /write",
		"/write?n=1":              "POST /write",
		"/orders/17/lines?n=/1":   "POST /orders/*/lines",
		"/orders/9f3b-02c/lines/": "POST /orders/*/lines/",
		"/v1/orders":              "POST /v1/orders",
		"/api/v2/orders/alice":    "POST /api/v2/orders/alice",
		"/api/v2x/17":             "POST /api/*/*",
		"/17":                     "POST /17",
		"/":                       "POST /",
	} {
		if got := string(post(uri, "").pathTemplate()); got != want {
			t.Errorf("%s: got %q, want %q", uri, got, want)
		}
	}
}
