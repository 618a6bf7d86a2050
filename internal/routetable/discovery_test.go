package routetable_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"junctionring/control"
	"junctionring/internal/core"
	"junctionring/internal/routetable"
)

func listLine(version int, reset bool, id, state string) string {
	return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[{"instanceId":%q,"hostPort":"10.1.0.18:8000",`+
		`"zone":"hall-b","cell":3,"lifecycle":%q,"startedAtMs":1500}]}`+"\n", version, reset, id, state)
}

// A change is published while the watch is open. A watch that breaks in the middle of a list resumes from the last
// version received.
func TestWatchIsTakenUpAgain(t *testing.T) {
	from, proceed := make(chan string, 4), make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from <- r.URL.Query().Get("from")
		switch r.URL.Query().Get("from") {
		case "41":
			fmt.Fprint(w, listLine(42, true, "s-1", "SERVING")+"\n")
			w.(http.Flusher).Flush()
			<-proceed
			fmt.Fprint(w, listLine(43, false, "s-1", "DRAINING")+`{"generation":44,"res`)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprint(w, listLine(45, false, "s-1", "DELETED"))
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	defer agent.Close()
	published := make(chan core.Table, 4)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := &routetable.Discovery{Address: strings.TrimPrefix(agent.URL, "http://"), From: 41,
		Publish: func(t core.Table) { published <- t }, Log: slog.New(slog.DiscardHandler)}
	go func() { d.Run(ctx); close(ended) }()
	first := <-published // while the watch is still open
	if m := first.Targets[0]; first.Kind != control.Snapshot || m.Server != "s-1" || m.Zone != "hall-b" || m.Cell != "3" ||
		m.Since != 1.5 || m.State != control.Ready || m.Address != "10.1.0.18:8000" {
		t.Errorf("published %+v", first)
	}
	close(proceed)
	if second := <-published; second.Kind != control.Delta || second.Targets[0].State != control.Draining {
		t.Errorf("published %+v", second)
	}
	if third := <-published; third.Version != 45 || third.Targets[0].State != control.Removed {
		t.Errorf("published %+v", third)
	}
	if a, b := <-from, <-from; a != "41" || b != "43" {
		t.Errorf("watched from %s, then from %s", a, b)
	}
	cancel()
	<-ended
}

// An entry with an unknown state is drained, one without an ID is skipped, and the other entries stay usable.
func TestOddEntryDoesNotHideTheRest(t *testing.T) {
	text := strings.Replace(listLine(7, true, "s-1", "RESTING"), `"instances":[`,
		`"instances":[{"zone":"hall-a"},{"instanceId":"s-2","hostPort":"10.1.0.19:8000","lifecycle":"SERVING"},`, 1)
	table, err := routetable.Decode([]byte(text))
	if err != nil || len(table.Targets) != 2 {
		t.Fatalf("decoded %+v, %v", table, err)
	}
	if a, b := table.Targets[0], table.Targets[1]; a.Server != "s-2" || a.State != control.Ready ||
		b.Server != "s-1" || b.State != control.Draining {
		t.Errorf("decoded %+v", table)
	}
}

// When the agent moves, its new address is watched at once from the version held, even while the old connection is open
// and silent.
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
	first, address := agent(listLine(42, true, "s-1", "SERVING"))
	second, next := agent(listLine(43, false, "s-1", "DRAINING"))
	published, moves := make(chan core.Table, 4), make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := &routetable.Discovery{Address: address, From: 41, AddressChanges: moves,
		Publish: func(t core.Table) { published <- t }, Log: slog.New(slog.DiscardHandler)}
	go func() { d.Run(ctx); close(ended) }()
	<-published
	moves <- next
	if t2 := <-published; t2.Version != 43 || t2.Targets[0].State != control.Draining {
		t.Errorf("published %+v", t2)
	}
	if a, b := <-from, <-from; a != "41" || b != "42" {
		t.Errorf("watched from %s, then from %s", a, b)
	}
	cancel()
	<-ended
	first.Close()
	second.Close()
}

// runDiscovery runs d against an agent and returns the lists that d publishes.
func runDiscovery(t *testing.T, d *routetable.Discovery, agent http.HandlerFunc) <-chan core.Table {
	s := httptest.NewServer(agent)
	published := make(chan core.Table, 16)
	d.Address, d.Publish, d.Log = strings.TrimPrefix(s.URL, "http://"), func(t core.Table) { published <- t }, slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; s.Close() })
	return published
}

// Lists may be indented over many lines, separated by empty lines, sent two at once, or split at any byte over several
// reads. Each list is published once, from a single watch.
func TestIndentedLists(t *testing.T) {
	indent := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "  "); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	whole, change := indent(listLine(42, true, "s-1", "SERVING")), indent(listLine(43, false, "s-1", "DRAINING"))
	text := whole + "\n\n\n" + change + "\n" + listLine(44, false, "s-1", "SERVING") + listLine(45, false, "s-1", "DELETED")
	for _, piece := range []int{len(text), 1, 7, len(whole) - 1} {
		t.Run(fmt.Sprintf("%d bytes at once", piece), func(t *testing.T) {
			watches := make(chan string, 16)
			published := runDiscovery(t, &routetable.Discovery{From: 41}, func(w http.ResponseWriter, r *http.Request) {
				watches <- r.URL.Query().Get("from")
				if len(watches) == 1 {
					for rest := text; rest != ""; {
						n := min(piece, len(rest))
						io.WriteString(w, rest[:n])
						w.(http.Flusher).Flush()
						rest = rest[n:]
					}
				}
				<-r.Context().Done()
			})
			for i, want := range []control.MemberState{control.Ready, control.Draining, control.Ready, control.Removed} {
				if got := <-published; got.Version != int64(42+i) || got.Targets[0].State != want || got.Targets[0].Server != "s-1" {
					t.Fatalf("published %+v, want version %d in state %v", got, 42+i, want)
				}
			}
			if len(watches) != 1 {
				t.Errorf("%d watches for one list", len(watches))
			}
		})
	}
}

// An invalid list ends the watch and is not published, and the next watch resumes from the version held. This matters
// most for a list without an array of instances: as an empty snapshot it would remove every target.
func TestSpoiltListsAreNotTold(t *testing.T) {
	for _, invalid := range []string{`{"generation":50,"reset":true}`, `{"reset":true,"instances":[]}`, `[]`, `7`, `{"generation":50,"reset":true,"instances":{}}`,
		`{"generation":"50","reset":true,"instances":[]}`, `{"generation":50,"reset":true,"instances":[}`, "\xff"} {
		t.Run(invalid, func(t *testing.T) {
			from := make(chan string, 16)
			published := runDiscovery(t, &routetable.Discovery{From: 41}, func(w http.ResponseWriter, r *http.Request) {
				first := len(from) == 0
				if from <- r.URL.Query().Get("from"); first {
					io.WriteString(w, listLine(42, true, "s-1", "SERVING")+invalid+"\n"+listLine(51, true, "s-2", "SERVING"))
				} else {
					io.WriteString(w, listLine(43, false, "s-1", "DRAINING"))
				}
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			})
			if a, b := <-published, <-published; a.Version != 42 || b.Version != 43 {
				t.Errorf("published versions %d and %d", a.Version, b.Version)
			}
			if a, b := <-from, <-from; a != "41" || b != "42" {
				t.Errorf("watched from %s, then from %s", a, b)
			}
		})
	}
}

// An agent that the gateway has moved to may be behind. Until it has caught up, its older list does not make a target
// ready again that a newer list has drained or removed, unless the target has restarted since then.
func TestOlderListUndoesNoDrain(t *testing.T) {
	agent := func(text string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(s.CloseClientConnections)
		return strings.TrimPrefix(s.URL, "http://")
	}
	entry := func(id, state string, started int) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"10.1.0.18:8000","lifecycle":%q,"startedAtMs":%d}`, id, state, started)
	}
	list := func(version int, reset bool, entries ...string) string {
		return fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`+"\n", version, reset, strings.Join(entries, ","))
	}
	moves := make(chan string, 1)
	published := runDiscovery(t, &routetable.Discovery{From: 40, AddressChanges: moves}, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, list(41, true, entry("a", "SERVING", 1), entry("b", "SERVING", 1), entry("c", "SERVING", 1), entry("d", "SERVING", 1))+
			list(43, false, entry("a", "DRAINING", 1), entry("b", "DELETED", 0), entry("c", "DELETED", 0)))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	<-published
	<-published
	moves <- agent(list(42, true, entry("a", "SERVING", 1), entry("b", "SERVING", 1), entry("c", "SERVING", 5), entry("d", "SERVING", 1)) +
		list(44, false, entry("a", "SERVING", 1)))
	states := func(table core.Table) (all string) {
		for _, m := range table.Targets {
			all += fmt.Sprint(m.Server, " ", map[control.MemberState]string{control.Ready: "ready", control.Draining: "draining", control.Removed: "removed"}[m.State], " ")
		}
		return all
	}
	if got := states(<-published); got != "a draining b draining c ready d ready " {
		t.Errorf("published states after an older list: %s", got)
	}
	if got := states(<-published); got != "a ready " {
		t.Errorf("published states after a newer change: %s", got)
	}
}
