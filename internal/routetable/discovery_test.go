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

// A change is told as it comes; a watch that breaks, half a line in, is taken up from the last version.
func TestWatchIsTakenUpAgain(t *testing.T) {
	from, goOn := make(chan string, 4), make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from <- r.URL.Query().Get("from")
		switch r.URL.Query().Get("from") {
		case "41":
			fmt.Fprint(w, listLine(42, true, "s-1", "SERVING")+"\n")
			w.(http.Flusher).Flush()
			<-goOn
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
	told := make(chan core.Table, 4)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := &routetable.Discovery{Address: strings.TrimPrefix(agent.URL, "http://"), From: 41,
		Zones: []string{"hall-a", "hall-b"}, Publish: func(t core.Table) { told <- t }, Log: slog.New(slog.DiscardHandler)}
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
	text := strings.Replace(listLine(7, true, "s-1", "RESTING"), `"instances":[`,
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
	first, address := agent(listLine(42, true, "s-1", "SERVING"))
	second, next := agent(listLine(43, false, "s-1", "DRAINING"))
	told, moves := make(chan core.Table, 4), make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d := &routetable.Discovery{Address: address, From: 41, AddressChanges: moves,
		Publish: func(t core.Table) { told <- t }, Log: slog.New(slog.DiscardHandler)}
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

// watching runs a Discovery against an agent, and brings what it tells.
func runDiscovery(t *testing.T, d *routetable.Discovery, agent http.HandlerFunc) <-chan core.Table {
	s := httptest.NewServer(agent)
	told := make(chan core.Table, 16)
	d.Address, d.Publish, d.Log = strings.TrimPrefix(s.URL, "http://"), func(t core.Table) { told <- t }, slog.New(slog.DiscardHandler)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; s.Close() })
	return told
}

// A list and a change may come indented, over many lines, with empty lines between them, two at once, or cut anywhere
// over several reads: each is told once, from a single watch.
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
			told := runDiscovery(t, &routetable.Discovery{From: 41}, func(w http.ResponseWriter, r *http.Request) {
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
				if got := <-told; got.Version != int64(42+i) || got.Targets[0].State != want || got.Targets[0].Server != "s-1" {
					t.Fatalf("told %+v, want version %d in state %v", got, 42+i, want)
				}
			}
			if len(watches) != 1 {
				t.Errorf("%d watches for one list", len(watches))
			}
		})
	}
}

// A list that is spoilt ends the watch; the next one goes on from the version held, and nothing of the spoilt one is
// told. Above all a list of no instances at all is none: it would end every target.
func TestSpoiltListsAreNotTold(t *testing.T) {
	for _, spoilt := range []string{`{"generation":50,"reset":true}`, `{"reset":true,"instances":[]}`, `[]`, `7`, `{"generation":50,"reset":true,"instances":{}}`,
		`{"generation":"50","reset":true,"instances":[]}`, `{"generation":50,"reset":true,"instances":[}`, "\xff"} {
		t.Run(spoilt, func(t *testing.T) {
			from := make(chan string, 16)
			told := runDiscovery(t, &routetable.Discovery{From: 41}, func(w http.ResponseWriter, r *http.Request) {
				first := len(from) == 0
				if from <- r.URL.Query().Get("from"); first {
					io.WriteString(w, listLine(42, true, "s-1", "SERVING")+spoilt+"\n"+listLine(51, true, "s-2", "SERVING"))
				} else {
					io.WriteString(w, listLine(43, false, "s-1", "DRAINING"))
				}
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			})
			if a, b := <-told, <-told; a.Version != 42 || b.Version != 43 {
				t.Errorf("told versions %d and %d", a.Version, b.Version)
			}
			if a, b := <-from, <-from; a != "41" || b != "42" {
				t.Errorf("watched from %s, then from %s", a, b)
			}
		})
	}
}

// An agent that was moved to may be behind: its older list does not make a target ready again that a newer one has
// drained or removed, until it has caught up. A target that has started since then is new.
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
	told := runDiscovery(t, &routetable.Discovery{From: 40, AddressChanges: moves}, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, list(41, true, entry("a", "SERVING", 1), entry("b", "SERVING", 1), entry("c", "SERVING", 1), entry("d", "SERVING", 1))+
			list(43, false, entry("a", "DRAINING", 1), entry("b", "DELETED", 0), entry("c", "DELETED", 0)))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	<-told
	<-told
	moves <- agent(list(42, true, entry("a", "SERVING", 1), entry("b", "SERVING", 1), entry("c", "SERVING", 5), entry("d", "SERVING", 1)) +
		list(44, false, entry("a", "SERVING", 1)))
	states := func(table core.Table) (all string) {
		for _, m := range table.Targets {
			all += fmt.Sprint(m.Server, " ", map[control.MemberState]string{control.Ready: "ready", control.Draining: "draining", control.Removed: "removed"}[m.State], " ")
		}
		return all
	}
	if got := states(<-told); got != "a draining b draining c ready d ready " {
		t.Errorf("an older list told: %s", got)
	}
	if got := states(<-told); got != "a ready " {
		t.Errorf("a newer change told: %s", got)
	}
}
