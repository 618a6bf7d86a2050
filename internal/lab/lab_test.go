package lab

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestIdealCrossesOnlyTheExcess(t *testing.T) {
	hall := Mixed(4)
	for _, c := range []struct{ load, least, most float64 }{{0.7, 0, 0.001}, {1.4, 0.2, 0.36}} {
		var samples []Sample
		rate := c.load * Capacity(hall)
		for i := range int(rate * 60) {
			class := 0
			if i%3 == 0 {
				class = 1
			}
			samples = append(samples, Sample{At: time.Duration(float64(i) / rate * float64(time.Second)), Class: class})
		}
		inTime, crossed := Ideal(samples, hall, hall, 40*time.Millisecond, 1)
		if share := float64(crossed) / float64(len(samples)); inTime < 0.99 || share < c.least || share > c.most {
			t.Errorf("at %g: %.3f in time, %.3f crossed", c.load, inTime, share)
		}
	}
}

func TestSummary(t *testing.T) {
	s := Summarise([]Sample{
		{At: 0, Took: 100 * time.Millisecond, Class: 1, Status: 200, Server: "near-1", Key: "a"},
		{At: time.Second, Took: 1500 * time.Millisecond, Class: 1, Status: 200, Server: "far-1", Key: "b"},
		{At: time.Second, Took: time.Millisecond, Class: 0, Status: 503},
		{At: time.Second, Took: 4 * time.Second, Class: 0, Status: 503},
		{At: time.Second, Took: 4 * time.Second, Class: 0},
	}, "near")
	if s.Served != 2 || s.InTime != 1 || s.Crossed != 1 || s.Refused != 2 || s.LateRefusals != 1 || s.Unanswered != 1 ||
		s.MoveGap != 2400*time.Millisecond {
		t.Errorf("%+v", s)
	}
}

// The stretch without a move around a drain is judged against the load's own gaps before it, not by a figure that a
// busy machine misses; a drain that stops moves is told all the same.
func TestDrainIsJudgedAgainstTheStretchBefore(t *testing.T) {
	for _, c := range []struct {
		before, around time.Duration
		ok             bool
	}{
		{100, 290, true}, {100, 310, false}, {246, 381, true}, {246, 500, false}, {10, 299, true}, {10, 1000, false},
	} {
		r := Result{Events: []Event{{At: 10 * time.Second}}}
		move := func(at time.Duration) {
			r.Near = append(r.Near, Sample{At: at, Class: 1, Status: 200, Server: "near-1"})
		}
		for at := time.Duration(0); at < 8*time.Second; at += c.before * time.Millisecond {
			move(at)
		}
		for at := 8 * time.Second; at < 12*time.Second; at += c.around * time.Millisecond {
			move(at)
		}
		if judgeDrain(nil, &r); r.Figures[1].OK != c.ok {
			t.Errorf("%d ms after %d ms: %+v", c.around, c.before, r.Figures[1])
		}
	}
}

// The load goes to loopback only, ends by itself, and books every request once.
func TestLoad(t *testing.T) {
	if _, err := (&Load{Gateways: []string{"192.0.2.1:80"}, Rate: 1}).Run(context.Background(), nil); err == nil {
		t.Error("an address elsewhere is taken")
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.Write([]byte("near-0 served"))
	}))
	defer server.Close()
	l := Load{Name: "t", Gateways: []string{strings.TrimPrefix(server.URL, "http://")}, Rate: 2000, For: time.Minute, Most: 200, Seed: 1}
	samples, err := l.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	s := Summarise(samples, "near")
	if s.Requests != 200 || s.Served != 200 || s.Crossed != 0 {
		t.Errorf("%+v", s)
	}
	dir := t.TempDir()
	if err := PlotRun(dir, "a test", "near", samples, []Event{{50 * time.Millisecond, "midway"}}); err != nil {
		t.Error(err)
	}
	if err := WriteSamples(filepath.Join(dir, "raw.csv"), samples); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"in-time.png", "crossings.png", "latency.png", "raw.csv"} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
