package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"junctionring/internal/controlplane"
	"junctionring/internal/controlplane/versionpb"
	"junctionring/internal/standin/controlservice"
)

// Churn pushes versions to a world's near gateways from a stand-in control service, by way of a configstream
// process each.
type Churn struct {
	Service *controlservice.Service
	streams []*exec.Cmd
	pushed  int
	good    map[int64]bool
}

// StartChurn starts the control service and the streams, and waits until each gateway has taken version 1.
func (w *World) StartChurn(ctx context.Context) (*Churn, error) {
	s, err := controlservice.New("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Churn{Service: s, good: map[int64]bool{}}
	w.closers = append(w.closers, c.close)
	program := filepath.Join(filepath.Dir(w.Program), "configstream")
	for i, g := range w.gates["near"] {
		cmd := exec.CommandContext(ctx, program, "--service", s.Addr(), "--gateway", g.operations, "--node", "near-"+strconv.Itoa(i))
		log, err := os.Create(filepath.Join(w.Dir, fmt.Sprintf("stream-%d.log", i)))
		if err != nil {
			return nil, err
		}
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		log.Close() // the process has it
		c.streams = append(c.streams, cmd)
	}
	c.push(w, 20)
	return c, s.Await(15*time.Second, func(all []controlservice.Answer) bool { return len(all) >= len(c.streams) })
}

func (c *Churn) close() {
	for _, cmd := range c.streams {
		cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range c.streams {
		cmd.Wait()
	}
	c.Service.Vanish()
}

// document is a whole version: the lab's classes, so many plans, every table server by name, and a figure that
// changes from one to the next.
func (w *World) document(number, plans int) string {
	var b strings.Builder
	b.WriteString("trusted_proxies = [\"127.0.0.0/8\"]\n")
	writeClasses(&b, groupSite)
	for i := range plans {
		name := "club"
		if i > 0 {
			name += strconv.Itoa(i)
		}
		fmt.Fprintf(&b, "[[plan]]\nname = %q\nrate = %d.0\nburst = 100000.0\nworth = 1.0\nover_cost = 1.0\n", name, 100000+number%7*i)
	}
	for _, class := range Classes {
		fmt.Fprintf(&b, "[[route]]\npath = \"/%s/*\"\nmethods = [%q]\nclass = %q\n", class.Name, class.Method, class.Name)
	}
	for _, t := range append(w.NearTables, w.FarTables...) {
		fmt.Fprintf(&b, "[[target]]\nid = %q\n", t.Instance("").ID)
	}
	return b.String()
}

// push sends the next version: of three, one that is good, one that is broken, one that is cut short.
func (c *Churn) push(w *World, plans int) {
	c.pushed++
	n := int64(c.pushed)
	text := w.document(c.pushed, plans)
	switch c.pushed % 3 {
	case 1:
		c.good[n] = true
		c.Service.Push(n, text, false)
	case 2:
		c.Service.Push(n, strings.Replace(text, "rate = ", "rate = -", 1), false)
	case 0:
		any, err := anypb.New(&versionpb.Version{Number: n, Document: []byte(text)})
		if err != nil {
			panic(err) // a message of three plain fields
		}
		any.Value = any.Value[:len(any.Value)/2]
		c.Service.PushRaw(n, &discovery.DiscoveryResponse{VersionInfo: strconv.FormatInt(n, 10), TypeUrl: controlplane.TypeURL,
			Resources: []*anypb.Any{any}})
	}
}

// Run pushes so many versions over a time.
func (c *Churn) Run(ctx context.Context, w *World, count int, over time.Duration) {
	each := time.NewTicker(over / time.Duration(count))
	defer each.Stop()
	for range count {
		select {
		case <-ctx.Done():
			return
		case <-each.C:
			c.push(w, 20)
		}
	}
}

// judge adds what the control service was answered to a result.
func (c *Churn) judge(r *Result) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	wrong, answers := 0, c.Service.Answers()
	for _, a := range answers {
		if superseded := strings.Contains(a.Reason, "superseded"); (a.Reason == "") != c.good[a.Number] && !superseded {
			wrong++
		}
		if a.Reason == "" {
			h.RecordValue(a.Took.Microseconds())
		}
	}
	r.figure(len(answers) == c.pushed*len(c.streams), "versions answered", "every one, by each gateway", "%d of %d x %d", len(answers), c.pushed, len(c.streams))
	r.figure(wrong == 0, "broken ones taken, or good ones turned down", "0", "%d", wrong)
	r.figure(h.ValueAtQuantile(99) < 50_000, "push to acknowledgement, p99", "under 50 ms", "%.1f ms (p50 %.1f ms)",
		float64(h.ValueAtQuantile(99))/1000, float64(h.ValueAtQuantile(50))/1000)
	last := strconv.Itoa((c.pushed-1)/3*3 + 1)
	for node, v := range c.Service.Nodes() {
		r.figure(v == last, node+" runs at the end", "version "+last, "%s", v)
	}
}

func judgeChurn(w *World, r *Result) {
	from := r.Events[0].At
	before, during := Summarise(Between(r.Near, settle, from), "near"), Summarise(Between(r.Near, from, time.Hour), "near")
	r.figure(before.Share()-during.Share() <= 0.01, "in time: without versions, then with them", "1 point less at most",
		"%.4f, %.4f", before.Share(), during.Share())
	r.figure(true, "p99: without, with", "", "%d ms, %d ms", before.P99.Milliseconds(), during.P99.Milliseconds())
	w.churn.judge(r)
}
