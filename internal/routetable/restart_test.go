package routetable_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/routetable"
)

func endpoint(id, lifecycle string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.1.0.18:8000","lifecycle":%q,"startedAtMs":1000}`, id, lifecycle)
}

func endpointList(generation int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`+"\n", generation, whole, strings.Join(entries, ","))
}

// scheduled is text that an agent sends on a watch, with its delay since the watch was opened.
type scheduled struct {
	after time.Duration
	text  string
}

// sendScheduled sends each text at its time, and heartbeats in between.
func sendScheduled(w http.ResponseWriter, r *http.Request, all []scheduled) {
	began := time.Now()
	for {
		for len(all) > 0 && time.Since(began) >= all[0].after {
			io.WriteString(w, all[0].text)
			all = all[1:]
		}
		w.(http.Flusher).Flush()
		wait := 2 * time.Second
		if len(all) > 0 {
			wait = min(wait, all[0].after-time.Since(began))
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
			io.WriteString(w, "\n")
		}
	}
}

// An agent that has restarted sends a snapshot of a lower generation. If discovery has restarted its numbering, endpoints
// drained under the old numbering become ready again, as the new lists say, once no list has reached the old generation
// for 30 s. An agent that is merely behind never undoes a drain, and its changes after catching up apply at once.
func TestRestartedNumberingIsToldFromAnOlderList(t *testing.T) {
	before := endpointList(41, true, endpoint("a", "SERVING"), endpoint("b", "SERVING"), endpoint("c", "SERVING")) +
		endpointList(43, false, endpoint("a", "DRAINING"), endpoint("b", "DELETED"))
	const a, b = "a", "b"
	for _, c := range []struct {
		name  string
		after []scheduled
		want  map[string][]string // by endpoint: the state changes published on the second watch, with their times
	}{
		{"numbered anew, both in use again",
			[]scheduled{{0, endpointList(2, true, endpoint(a, "SERVING"), endpoint(b, "SERVING"), endpoint("c", "SERVING"))}},
			map[string][]string{a: {"0s draining", "30s ready"}, b: {"0s draining", "30s ready"}}},
		{"numbered anew, one of them still draining",
			[]scheduled{{0, endpointList(2, true, endpoint(a, "SERVING"), endpoint(b, "DRAINING"))}},
			map[string][]string{a: {"0s draining", "30s ready"}, b: {"0s draining"}}},
		{"numbered anew, in use again by a change",
			[]scheduled{{0, endpointList(2, true, endpoint(a, "DRAINING"))}, {10 * time.Second, endpointList(3, false, endpoint(a, "SERVING"))}},
			map[string][]string{a: {"0s draining", "30s ready"}}},
		{"numbered anew, drained again before it counts",
			[]scheduled{{0, endpointList(2, true, endpoint(a, "SERVING"))}, {20 * time.Second, endpointList(3, false, endpoint(a, "DRAINING"))}},
			map[string][]string{a: {"0s draining"}}},
		{"numbered anew, drained after it counts",
			[]scheduled{{0, endpointList(2, true, endpoint(a, "SERVING"))}, {40 * time.Second, endpointList(3, false, endpoint(a, "DRAINING"))}},
			map[string][]string{a: {"0s draining", "30s ready", "40s draining"}}},
		{"behind, catches up after 14 s",
			[]scheduled{{0, endpointList(42, true, endpoint(a, "SERVING"), endpoint(b, "SERVING"))},
				{14 * time.Second, endpointList(43, false, endpoint(a, "DRAINING"), endpoint(b, "DELETED"))}},
			map[string][]string{a: {"0s draining"}, b: {"0s draining", "14s removed"}}},
		{"behind, catches up step by step",
			[]scheduled{{0, endpointList(40, true, endpoint(a, "SERVING"))}, {9 * time.Second, endpointList(42, false, endpoint("c", "SERVING"))},
				{14 * time.Second, endpointList(43, false, endpoint(a, "DRAINING"))}},
			map[string][]string{a: {"0s draining"}}},
		{"behind, catches up with a drain that was called off",
			[]scheduled{{0, endpointList(42, true, endpoint(a, "SERVING"))}, {6 * time.Second, endpointList(44, false, endpoint(a, "SERVING"))}},
			map[string][]string{a: {"0s draining", "6s ready"}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := statesOnSecondWatch(t, before, c.after)
				for id, want := range c.want {
					if !slices.Equal(got[id], want) {
						t.Errorf("%s: published %q, want %q", id, got[id], want)
					}
				}
			})
		})
	}
}

// statesOnSecondWatch watches an agent that sends before, resets the connection, and sends after on the second watch. It
// returns the state changes of each endpoint within a minute.
func statesOnSecondWatch(t *testing.T, before string, after []scheduled) map[string][]string {
	listener := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	calls := 0
	var second time.Time
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls++; calls == 1 {
			io.WriteString(w, before)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		second = time.Now()
		sendScheduled(w, r, after)
	})}
	go server.Serve(listener)
	names := map[control.MemberState]string{control.Ready: "ready", control.Draining: "draining", control.Removed: "removed"}
	states := map[string][]string{}
	d := &routetable.Discovery{Address: "agent:80", From: 40, Log: slog.New(slog.DiscardHandler), Dial: listener.dial,
		Publish: func(table core.Table) {
			if second.IsZero() {
				return
			}
			for _, e := range table.Targets {
				all, state := states[e.Server], names[e.State]
				if len(all) == 0 || !strings.HasSuffix(all[len(all)-1], " "+state) {
					states[e.Server] = append(all, fmt.Sprintf("%v %s", time.Since(second).Round(time.Second), state))
				}
			}
		}}
	ctx, cancel := context.WithCancel(t.Context())
	var ended sync.WaitGroup
	ended.Go(func() { d.Run(ctx) })
	time.Sleep(time.Minute) // virtual time
	cancel()
	ended.Wait()
	server.Close()
	listener.Close()
	synctest.Wait()
	return states
}
