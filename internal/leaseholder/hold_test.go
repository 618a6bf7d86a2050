package leaseholder_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"junctionring/internal/coordinator"
	"junctionring/internal/coordinator/leasepb"
	"junctionring/internal/leaseholder"
	"junctionring/lease"
)

const ttl = time.Second

// startCoordinator starts a group of one coordinator, and returns its address and a function that stops it.
func startCoordinator(t *testing.T) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = l.Addr().String()
	l.Close()
	path := filepath.Join(t.TempDir(), "c.toml")
	if err := os.WriteFile(path, []byte(fmt.Sprintf("listen = %q\ndata = \"data\"\nlongest_life = %q\n", address, ttl)), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := coordinator.LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := coordinator.Init(t.Context(), c); err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	ready, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- coordinator.Serve(ctx, coordinator.Options{Config: c, Log: slog.New(slog.DiscardHandler)}, func(string) { close(ready) })
	}()
	<-ready
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			end()
			<-ended
		}
	}
	t.Cleanup(stop)
	return address, stop
}

func startClient(t *testing.T, address, name string) *leaseholder.Client {
	t.Helper()
	c, err := leaseholder.Start(t.Context(), leaseholder.Options{Coordinators: []string{address}, Life: ttl, Member: lease.Member{Kind: "test", Name: name}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestHoldRunsACommandUnderALease(t *testing.T) {
	address, stop := startCoordinator(t)
	out := filepath.Join(t.TempDir(), "out")
	hold := func(wait time.Duration, command ...string) (int, error) {
		return leaseholder.Hold(t.Context(), startClient(t, address, "holder"), "sweep", command, wait, 200*time.Millisecond)
	}
	exit, err := hold(0, "sh", "-c", `echo "$JUNCTIONRING_LEASE $JUNCTIONRING_TOKEN $JUNCTIONRING_DEADLINE" >`+out+`; exit 7`)
	if exit != 7 || err != nil {
		t.Errorf("the command's exit status 7 was returned as %d, %v", exit, err)
	}
	text, _ := os.ReadFile(out)
	var token uint64
	var deadline float64
	if _, err := fmt.Sscanf(string(text), "sweep %d %f", &token, &deadline); err != nil || token == 0 || deadline < float64(time.Now().Unix())-5 {
		t.Errorf("the command's environment holds %q: %v", text, err)
	}
	if exit, err := hold(0, "/nonexistent/command"); exit != leaseholder.ExitNoStart || err == nil {
		t.Errorf("a command that can't be started: %d, %v", exit, err)
	}
	other := startClient(t, address, "other")
	held, err := other.Acquire(t.Context(), "sweep")
	if err != nil {
		t.Fatal(err)
	}
	if exit, err := hold(100*time.Millisecond, "true"); exit != leaseholder.ExitNotHeld || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a lease that another holds: %d, %v", exit, err)
	}
	if err := held.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	// Without coordinators the command is killed before the lease ends, even though it does not end on SIGTERM.
	began := filepath.Join(t.TempDir(), "began")
	go func() {
		for {
			if _, err := os.Stat(began); err == nil {
				stop()
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	begun := time.Now()
	exit, err = hold(0, "sh", "-c", `trap 'echo told >`+out+`' TERM; >`+began+`; while :; do sleep 0.01; done`)
	if exit != leaseholder.ExitLost || err == nil || !strings.Contains(err.Error(), "no answer") {
		t.Errorf("a lease that was lost: %d, %v", exit, err)
	}
	if text, _ := os.ReadFile(out); string(text) != "told\n" {
		t.Errorf("the command received no SIGTERM before it was killed: %q", text)
	}
	if took := time.Since(begun); took > 10*ttl {
		t.Errorf("the command was killed only after %v", took)
	}
}

// A revoked lease is granted to the next session only after the command has ended.
func TestHoldEndsACommandWhoseLeaseIsRevoked(t *testing.T) {
	address, _ := startCoordinator(t)
	dir := t.TempDir()
	began, ended := filepath.Join(dir, "began"), filepath.Join(dir, "ended")
	next := startClient(t, address, "next")
	endedFirst := make(chan bool, 1)
	go func() {
		for {
			if _, err := os.Stat(began); err == nil {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := leaseholder.Ask(t.Context(), leaseholder.NewGroup(address), func(ctx context.Context, to leasepb.LeasesClient) (*leasepb.Outcome, error) {
			return to.Revoke(ctx, &leasepb.RevokeAsk{Name: "sweep"}, leaseholder.Trailer(ctx))
		}); err != nil {
			t.Error(err)
		}
		if _, err := next.Acquire(t.Context(), "sweep"); err != nil {
			t.Error(err)
		}
		_, err := os.Stat(ended)
		endedFirst <- err == nil
	}()
	exit, err := leaseholder.Hold(t.Context(), startClient(t, address, "first"), "sweep",
		[]string{"sh", "-c", `trap 'sleep 0.1; >` + ended + `; exit 0' TERM; >` + began + `; while :; do sleep 0.01; done`}, 0, 400*time.Millisecond)
	if exit != leaseholder.ExitLost || err == nil || !strings.Contains(err.Error(), "revoked") {
		t.Errorf("the command of a revoked lease: exit status %d, %v", exit, err)
	}
	if !<-endedFirst {
		t.Error("the next session was granted the lease before the command had ended")
	}
}

func TestASessionThatIsTurnedDownSaysWhy(t *testing.T) {
	address, _ := startCoordinator(t)
	c, err := leaseholder.Start(t.Context(), leaseholder.Options{Coordinators: []string{address}, Life: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Acquire(t.Context(), "sweep"); !errors.Is(err, leaseholder.ErrClosed) || !strings.Contains(err.Error(), "longest_life") {
		t.Errorf("a life above longest_life: %v", err)
	}
	for _, o := range []leaseholder.Options{{}, {Coordinators: []string{address}, Life: ttl, Margin: ttl}} {
		if _, err := leaseholder.Start(t.Context(), o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
}

// A process beside the gateway registers it and reports its state; the gateway keeps answering without coordinators.
func TestRegisterShowsAGatewayAndNeverStopsIt(t *testing.T) {
	address, stop := startCoordinator(t)
	var ready atomic.Bool
	ready.Store(true)
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer gateway.Close()
	states := make(chan string, 100)
	watchCtx, stopWatch := context.WithCancel(t.Context())
	defer stopWatch()
	go leaseholder.Watch{Coordinators: []string{address}, Log: slog.New(slog.DiscardHandler)}.Run(watchCtx, func(_ bool, changes []lease.Change) {
		for _, c := range changes {
			states <- c.Member.State
		}
	})
	m := lease.Member{Kind: "gateway", Name: "gw-1", Site: "fukuoka", State: "starting"}
	c, err := leaseholder.Start(t.Context(), leaseholder.Options{Coordinators: []string{address}, Life: ttl, Member: m})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- leaseholder.Register{Client: c, Member: m, Ready: gateway.URL, Every: 20 * time.Millisecond}.Run(ctx)
	}()
	expect := func(want string) {
		t.Helper()
		for {
			select {
			case got := <-states:
				if got == want {
					return
				}
			case <-time.After(10 * time.Second):
				t.Fatalf("state %q was not reported within 10 s", want)
			}
		}
	}
	expect("ready")
	ready.Store(false)
	expect("not ready (503)")
	stop()
	if a, err := http.Get(gateway.URL); err != nil || a.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without coordinators the gateway answers %v, %v", a, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
