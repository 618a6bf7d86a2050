package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"junctionring/internal/agent"
	"junctionring/internal/conductor"
	"junctionring/internal/coordinator"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
	"junctionring/rollout"
)

// An agent replaces the real program under a release: clients that keep their connections and clients that come anew
// are answered all the while, not one request is lost, and the gateway outlives its agent.
func TestAnAgentReplacesTheProgramWithNothingLost(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dir, quiet := t.TempDir(), slog.New(slog.DiscardHandler)
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
		return path
	}
	at := free(t)
	group, err := coordinator.LoadConfig(file("c.toml", fmt.Sprintf("listen = %q\ndata = \"data\"\nlongest_life = \"2s\"\n", at)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := coordinator.Init(ctx, group); err != nil {
		t.Fatal(err)
	}
	go coordinator.Serve(ctx, coordinator.Options{Config: group, Log: quiet}, nil)

	binary, err := os.ReadFile(program)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range []string{"1", "2"} {
		file("versions/"+v+"/junctionring", string(binary))
		file("versions/"+v+"/SHA256", fmt.Sprintf("%x  junctionring\n", sha256.Sum256(binary)))
	}
	discovery, _ := watched(t)
	counts, _ := dialled(t)
	listen := free(t)
	config := file("gw.json", strings.Replace(platform(discovery, counts, `{"generation":1,"reset":true,"instances":[]}`),
		`"listen":"127.0.0.1:0"`, `"listen":"`+listen+`"`, 1))
	c, err := agent.LoadConfig(file("agent.toml", fmt.Sprintf(`name = "gw-1"
coordinators = [%q]
life = "2s"
state = "gw-1.state"
[program]
versions = "versions"
version = "1"
management = [%q, %q]
learn = "100ms"
env = { EDGE_CONFIG = %q, TMPDIR = %q, EDGE_DISCOVERY = "" }
`, at, free(t), free(t), config, dir)))
	if err != nil {
		t.Fatal(err)
	}
	agents, end := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- agent.New(c, quiet).Run(agents) }()
	client, err := leaseholder.Start(ctx, leaseholder.Options{Coordinators: []string{at}, Life: 2 * time.Second, Member: lease.Member{Kind: "conductor", Name: "test"}})
	if err != nil {
		t.Fatal(err)
	}
	go (&conductor.Conductor{Client: client, Group: leaseholder.NewGroup(at), Log: quiet}).Run(ctx)
	await := func(what string, so func(*rollout.Fleet) bool) {
		t.Helper()
		for {
			if f, err := coordinator.View(ctx, leaseholder.NewGroup(at), 1<<62); err == nil && so(f) {
				return
			}
			select {
			case <-ctx.Done():
				t.Fatalf("never: %s", what)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	await("the gateway serves", func(f *rollout.Fleet) bool { u := f.Budget.Units["gw-1"]; return u != nil && u.Warm })

	stop, asked := make(chan struct{}), make(chan [2]int, 2)
	for _, anew := range []bool{false, true} {
		go func() {
			h := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: anew}}
			n, lost := 0, 0
			for {
				select {
				case <-stop:
					asked <- [2]int{n, lost}
					return
				case <-time.After(5 * time.Millisecond):
				}
				n++
				a, err := h.Get("http://" + listen + "/health/ready")
				if err != nil || a.StatusCode != http.StatusOK {
					lost++
				}
				if err == nil {
					a.Body.Close()
				}
			}
		}()
	}
	s := rollout.DefaultSettings
	s.Pause = 200 * time.Millisecond
	for _, do := range []rollout.Command{{Op: rollout.SetRules, Rules: []rollout.Rule{{Name: "one", Most: 1}}},
		{Op: rollout.Begin, Change: "r", Version: "2", Units: []string{"gw-1"}, Settings: &s}} {
		if r, err := coordinator.Change(ctx, leaseholder.NewGroup(at), do); err != nil || r.Error != "" {
			t.Fatal(r.Error, err)
		}
	}
	await("the release is done", func(f *rollout.Fleet) bool { return f.Plans["r"].Stage == rollout.Done })
	end()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	again := make(chan error, 1) // the next agent goes on with the process that runs
	last, endLast := context.WithCancel(ctx)
	go func() { again <- agent.New(c, quiet).Run(last) }()
	await("the next agent sees it", func(f *rollout.Fleet) bool { u := f.Budget.Units["gw-1"]; return u.Warm && u.Version == "2" })
	close(stop)
	for range 2 {
		if got := <-asked; got[0] < 50 || got[1] > 0 {
			t.Errorf("%d of %d requests were lost", got[1], got[0])
		}
	}
	endLast()
	if err := <-again; err != nil {
		t.Error(err)
	}
	f, err := coordinator.View(ctx, leaseholder.NewGroup(at), 1<<62)
	if err != nil {
		t.Fatal(err)
	}
	var pid int
	fmt.Sscanf(f.Budget.Units["gw-1"].Instance, "%d-", &pid)
	if pid == 0 || syscall.Kill(pid, syscall.SIGTERM) != nil {
		t.Errorf("no gateway is left to end: %q", f.Budget.Units["gw-1"].Instance)
	}
}
