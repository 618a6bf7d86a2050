package egress_test

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/egress"
)

type noCounter struct{}

func (noCounter) Add(uint64, float64, time.Duration, func(control.Status, float64)) bool {
	return false
}

// announcedTime is the remaining time that an attempt announced to its server, and the time that was left.
type announcedTime struct{ announced, left time.Duration }

// slowServers are servers over pipes whose connections take a while to come up. They close the connection of a
// first attempt when a share of the request's time has passed, and answer all others.
type slowServers struct {
	connect  time.Duration // for a connection to come up
	hold     time.Duration // of the first attempt, from when the request came
	began    time.Time
	deadline time.Time

	mu       sync.Mutex
	attempts []announcedTime
}

func (s *slowServers) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.connect):
	}
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *slowServers) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	told, err := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Timeout"), "m"))
	if err != nil {
		told = int(time.Hour.Milliseconds()) // none announced: counts as no limit
	}
	s.mu.Lock()
	s.attempts = append(s.attempts, announcedTime{time.Duration(told) * time.Millisecond, time.Until(s.deadline)})
	n := len(s.attempts)
	s.mu.Unlock()
	if n == 1 {
		time.Sleep(time.Until(s.began.Add(s.hold))) // in the synctest bubble's time
		return
	}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// Every attempt announces to its server at most the time that is left to the client: the first one, and further
// ones after a large part of the deadline, even if they waited for their connection.
func TestAttemptsTellNoMoreTimeThanIsLeft(t *testing.T) {
	const deadline = 2 * time.Second
	further := 0
	for _, connect := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond} {
		for _, share := range []float64{0.3, 0.6, 0.9, 0.95, 0.99} {
			name := fmt.Sprintf("connections take %v, first attempt ends after %.0f %%", connect, 100*share)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					attempts, _ := announcedTimes(t, control.Safe, connect, share, deadline)
					for i, a := range attempts {
						if a.announced > a.left {
							t.Errorf("attempt %d announces %v with %v left", i+1, a.announced, a.left)
						}
					}
					t.Logf("attempts (announced, left): %v", attempts)
					further += len(attempts) - 1
				})
			})
		}
	}
	t.Logf("%d further attempts", further)
	if further < 8 {
		t.Errorf("%d further attempts were made: too few to tell", further)
	}
}

// An unsafe request whose connection is reset long after it was sent is answered as failed at once, and not sent
// again.
func TestUnsafeThatIsResetLateIsAnsweredAtOnce(t *testing.T) {
	for _, share := range []float64{0.5, 0.9, 0.99} {
		t.Run(fmt.Sprintf("after %.0f %%", 100*share), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const deadline = 20 * time.Second
				attempts, answer := announcedTimes(t, control.Unsafe, 0, share, deadline)
				if len(attempts) != 1 || answer.Kind != core.Failed {
					t.Errorf("%d attempts, ended as %v", len(attempts), answer.Kind)
				}
				if after := time.Duration(share * float64(deadline)); answer.took > after {
					t.Errorf("answered after %v, reset after %v", answer.took, after)
				}
			})
		})
	}
}

// timedAnswer is the final answer of a request, and how long it took.
type timedAnswer struct {
	core.Answer
	took time.Duration
}

// announcedTimes has one request sent whose first attempt ends after a share of its deadline.
func announcedTimes(t *testing.T, repeat control.Repeat, connect time.Duration, share float64,
	deadline time.Duration) ([]announcedTime, timedAnswer) {
	s := &slowServers{connect: connect, hold: time.Duration(share * float64(deadline)), began: time.Now(),
		deadline: time.Now().Add(deadline)}
	fleet := egress.NewFleet(egress.Options{ConnectTimeout: time.Second, ConnIdle: time.Minute, Conns: 16, Dial: s.dial})
	c, err := core.New(control.Settings{
		Gateways:   1,
		Classes:    []control.Class{{Aim: 1, Deadline: deadline.Seconds(), Worth: 1, LateWorth: 1, Repeat: repeat}},
		Plans:      []control.Plan{{Rate: 100, Burst: 100, Worth: 1, OverCost: 1}},
		Limits:     control.Limits{MaxAttempts: 3, Cancel: true},
		Guarantees: control.Guarantees{ColdFrom: 0.2, Ramp: 5, FallMultiple: 3, FallAfter: 1.5},
	}, 1, fleet, noCounter{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	ended.Go(func() { c.Run(ctx) })
	table := core.Table{Kind: control.Snapshot}
	for _, id := range []string{"one", "two"} {
		table.Targets = append(table.Targets, core.Target{Member: control.Member{Server: id, State: control.Ready}, Address: id})
	}
	c.Routes(table)
	answer := c.Do(ctx, core.Exchange{Units: 1, Spread: 1, Deadline: s.deadline,
		Payload: &egress.Request{Method: "GET", Head: []byte("GET /view HTTP/1.1\r\nHost: t\r\n")}})
	timed := timedAnswer{answer, time.Since(s.began)}
	fleet.Update(core.Table{Kind: control.Snapshot})
	cancel()
	ended.Wait()
	time.Sleep(time.Minute) // in the synctest bubble's time: whatever hangs has ended by then
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts, timed
}
