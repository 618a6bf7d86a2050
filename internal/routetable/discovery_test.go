package routetable_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/routetable"
)

func line(version int, reset bool, id, state string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[{"instanceId":%q,"hostPort":"10.1.0.18:8000",`+
		`"zone":"hall-b","cell":3,"lifecycle":%q,"startedAtMs":1500}]}`+"\n", version, reset, id, state)
}

// A change is told as it comes; a watch that breaks, half a line in, is taken up from the last version.
func TestWatchIsTakenUpAgain(t *testing.T) {
	from, goOn := make(chan string, 4), make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from <- r.URL.Query().Get("from")
		switch r.URL.Query().Get("from") {
		case "41":
			fmt.Fprint(w, line(42, true, "s-1", "SERVING")+"\n")
			w.(http.Flusher).Flush()
			<-goOn
			fmt.Fprint(w, line(43, false, "s-1", "DRAINING")+`{"generation":44,"res`)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprint(w, line(45, false, "s-1", "DELETED"))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	defer agent.Close()
	told := make(chan core.Table, 4)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := &routetable.Discovery{Address: strings.TrimPrefix(agent.URL, "http://"), From: 41,
		Zones: []string{"hall-a", "hall-b"}, Tell: func(t core.Table) { told <- t }, Log: slog.New(slog.DiscardHandler)}
	go func() { d.Run(ctx); close(ended) }()
	first := <-told // while the watch is still open
	if m := first.Targets[0]; first.Kind != control.Snapshot || m.Server != "s-1" || m.Zone != 1 || m.Cell != 3 ||
		m.Since != 1.5 || m.State != control.Ready || m.Address != "10.1.0.18:8000" {
		t.Errorf("told %+v", first)
	}
	close(goOn)
	if second := <-told; second.Kind != control.Delta || second.Targets[0].State != control.Draining {
		t.Errorf("told %+v", second)
	}
	if third := <-told; third.Version != 45 || third.Targets[0].State != control.Removed {
		t.Errorf("told %+v", third)
	}
	if a, b := <-from, <-from; a != "41" || b != "43" {
		t.Errorf("watched from %s, then from %s", a, b)
	}
	cancel()
	<-ended
}

// One entry that is not understood gets nothing new, and does not hide the others.
func TestOddEntryDoesNotHideTheRest(t *testing.T) {
	text := strings.Replace(line(7, true, "s-1", "RESTING"), `"instances":[`,
		`"instances":[{"zone":"hall-a"},{"instanceId":"s-2","hostPort":"10.1.0.19:8000","lifecycle":"SERVING"},`, 1)
	table, err := routetable.Decode([]byte(text), nil)
	if err != nil || len(table.Targets) != 2 {
		t.Fatalf("read %+v, %v", table, err)
	}
	if a, b := table.Targets[0], table.Targets[1]; a.Server != "s-2" || a.State != control.Ready ||
		b.Server != "s-1" || b.State != control.Draining {
		t.Errorf("read %+v", table)
	}
}

// An agent that moves is watched at its new address at once, from the version held, while the old one is still
// open and silent.
func TestWatchMoves(t *testing.T) {
	from := make(chan string, 4)
	agent := func(text string) (*httptest.Server, string) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			from <- r.URL.Query().Get("from")
			fmt.Fprint(w, text)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		return s, strings.TrimPrefix(s.URL, "http://")
	}
	first, address := agent(line(42, true, "s-1", "SERVING"))
	second, next := agent(line(43, false, "s-1", "DRAINING"))
	told, moves := make(chan core.Table, 4), make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := &routetable.Discovery{Address: address, From: 41, Moves: moves,
		Tell: func(t core.Table) { told <- t }, Log: slog.New(slog.DiscardHandler)}
	go func() { d.Run(ctx); close(ended) }()
	<-told
	moves <- next
	if t2 := <-told; t2.Version != 43 || t2.Targets[0].State != control.Draining {
		t.Errorf("told %+v", t2)
	}
	if a, b := <-from, <-from; a != "41" || b != "42" {
		t.Errorf("watched from %s, then from %s", a, b)
	}
	cancel()
	<-ended
	first.Close()
	second.Close()
}
