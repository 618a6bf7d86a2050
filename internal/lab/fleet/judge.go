package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"junctionring/internal/lab"
)

// Judge looks at the gateways as their front and the kernel see them, ten times a second: who answers that it is ready,
// and how many processes it has. It asks no part of what it judges.
type Judge struct {
	folder string // of the play: whose processes name it are the play's
	begun  time.Time
	end    context.CancelFunc
	done   sync.WaitGroup
	known  map[int]*found

	mu    sync.Mutex
	units map[string]*watched
	Looks int
	Most  int                        // gateways out at once that no fault had struck
	Least int                        // gateways in at once, whatever struck the others
	Unfit []string                   // planned leaves that began with too many out already
	ready sync.Map                   // gateway -> bool
	ran   map[string]map[string]bool // by version: the gateways that ran it
}

// watched is one gateway in the judge's eyes.
type watched struct {
	listen  string
	procs   []process
	out     bool
	since   time.Time // it is out, or in
	strikes int       // faults under way on it
	struck  bool      // a fault has struck it, and it was not seen whole since
	spans   []span    // in which faults account for what clients saw
}

type span struct{ from, to time.Time }

// process is a gateway's process as the kernel has it.
type process struct {
	pid, group int
	version    string
}

type found struct {
	process
	gateway string // empty: it is none
	first   time.Time
}

const (
	judgeEvery = 100 * time.Millisecond
	settles    = time.Second     // whole for so long, a gateway is no more under a fault's effect
	unseen     = 6 * time.Second // an outage may be unknown to the fleet for so long
)

func newJudge(folder string) *Judge {
	return &Judge{folder: folder, begun: time.Now(), units: map[string]*watched{}, known: map[int]*found{}, ran: map[string]map[string]bool{}, Least: 1 << 30}
}

// start begins to look.
func (j *Judge) start(gateways []*gateway) error {
	ctx, end := context.WithCancel(context.Background())
	j.end = end
	for _, g := range gateways {
		j.units[g.id] = &watched{listen: g.listen, since: time.Now()}
	}
	for _, g := range gateways {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
		look := func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.listen+"/health/ready", nil)
			if err != nil {
				return
			}
			a, err := client.Do(r)
			ok := err == nil && a.StatusCode == http.StatusOK
			if err == nil {
				a.Body.Close()
			}
			j.ready.Store(g.id, ok)
		}
		look()
		j.done.Go(func() {
			t := time.NewTicker(judgeEvery)
			defer t.Stop()
			defer client.CloseIdleConnections()
			for {
				select {
				case <-ctx.Done():
					return
				case <-t.C:
					look()
				}
			}
		})
	}
	j.done.Go(func() {
		t := time.NewTicker(judgeEvery)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				j.look()
			}
		}
	})
	return nil
}

func (j *Judge) stop() {
	if j.end != nil {
		j.end()
		j.done.Wait()
	}
}

// processes are the play's gateways' processes, by gateway. known, where it is not nil, keeps what was found before.
func processes(folder string, known map[int]*found) map[string][]process {
	all := map[string][]process{}
	entries, _ := filepath.Glob("/proc/[0-9]*")
	now := time.Now()
	alive := map[int]bool{}
	for _, path := range entries {
		pid, _ := strconv.Atoi(filepath.Base(path))
		alive[pid] = true
		f := known[pid]
		if f == nil {
			f = &found{first: now}
			if known != nil {
				known[pid] = f
			}
		}
		if f.gateway == "" && now.Sub(f.first) < time.Second { // one that was forked just now is not yet what it will be
			text, err := os.ReadFile(path + "/environ")
			if err != nil || !strings.Contains(string(text), "GW_CONFIG="+folder) {
				continue
			}
			for _, v := range strings.Split(string(text), "\x00") {
				switch name, value, _ := strings.Cut(v, "="); name {
				case "LAB_GATEWAY":
					f.gateway = value
				case "JUNCTIONRING_VERSION":
					f.version = value
				}
			}
			f.pid = pid
		}
		if f.gateway == "" {
			continue
		}
		text, err := os.ReadFile(path + "/stat")
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		words := strings.Fields(rest)
		if len(words) < 3 || words[0] == "Z" || words[0] == "X" {
			continue
		}
		f.group, _ = strconv.Atoi(words[2])
		if !slices.ContainsFunc(all[f.gateway], func(p process) bool { return p.group == f.group }) { // a program that starts another one is one
			all[f.gateway] = append(all[f.gateway], f.process)
		}
	}
	for pid := range known {
		if !alive[pid] {
			delete(known, pid)
		}
	}
	return all
}

func (j *Judge) look() {
	procs := processes(j.folder, j.known)
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Looks++
	planned, out := 0, 0
	var leave []string
	for id, u := range j.units {
		u.procs = procs[id]
		for _, p := range u.procs {
			if j.ran[p.version] == nil {
				j.ran[p.version] = map[string]bool{}
			}
			j.ran[p.version][id] = true
		}
		ready, _ := j.ready.Load(id)
		is := len(u.procs) != 1 || ready != true
		if is != u.out {
			u.out, u.since = is, now
			if is && !u.struck {
				leave = append(leave, id)
			}
		}
		if u.struck && u.strikes == 0 && !u.out && now.Sub(u.since) > settles {
			u.struck = false
			u.spans[len(u.spans)-1].to = now
		}
		if u.out {
			if !u.struck {
				planned++
			}
			if !u.struck || now.Sub(u.since) > unseen {
				out++
			}
		}
	}
	j.Most = max(j.Most, planned)
	j.Least = min(j.Least, len(j.units)-out)
	for _, id := range leave {
		j.Unfit = append(j.Unfit, fmt.Sprintf("%.1f s: %s left as number %d", now.Sub(j.begun).Seconds(), id, out))
	}
}

// strike notes that a fault is thrown at a gateway; the returned func, that it has ended.
func (j *Judge) strike(id string) (ended func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	u := j.units[id]
	u.strikes++
	if !u.struck {
		u.struck = true
		u.spans = append(u.spans, span{from: time.Now()})
	}
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		u.strikes--
	}
}

// pids are a gateway's processes as last seen.
func (j *Judge) pids(id string) []process {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.units[id].procs)
}

// saw counts the gateways that ran a version.
func (j *Judge) saw(version string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.ran[version])
}

// excuse counts what clients lost at the gateways that ran a version as struck.
func (j *Judge) excuse(version string, from time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id := range j.ran[version] {
		j.units[id].spans = append(j.units[id].spans, span{from, time.Now()})
	}
}

// Verdict is what a play comes to.
type Verdict struct {
	Looks    int
	Most     int // out at once through planned work
	Least    int // in at once
	Unfit    []string
	Versions map[string]int // processes by what they run, by the kernel's word
	Double   int            // gateways with more than one process, or none
	Asked    int
	Lost     []string // requests without an answer, at gateways that no fault had struck
	Struck   int      // without one, at those
	Refused  int
	InTime   float64 // share
	Twice    []string
}

// Judge judges a play by what was seen, and what clients saw of it from some moment on.
func (r *Rig) Verdict(samples []lab.Sample, from time.Time) Verdict {
	j := r.Judge
	j.mu.Lock()
	defer j.mu.Unlock()
	v := Verdict{Looks: j.Looks, Most: j.Most, Least: j.Least, Versions: map[string]int{}, Asked: len(samples), Twice: r.Record.TwiceRun()}
	by := map[string]*watched{}
	for _, u := range j.units {
		by[u.listen] = u
		if len(u.procs) != 1 {
			v.Double++
		}
		for _, p := range u.procs {
			v.Versions[p.version]++
		}
	}
	for _, text := range j.Unfit {
		if n, _ := strconv.Atoi(text[strings.LastIndexByte(text, ' ')+1:]); n > r.o.Most {
			v.Unfit = append(v.Unfit, text)
		}
	}
	inTime := 0
	for _, s := range samples {
		switch {
		case s.InTime():
			inTime++
		case s.Status == 0:
			at, gone := from.Add(s.At), from.Add(s.At+s.Took)
			if u := by[s.Gateway]; u != nil && slices.ContainsFunc(u.spans, func(p span) bool { return gone.After(p.from) && (p.to.IsZero() || at.Before(p.to)) }) {
				v.Struck++
			} else {
				v.Lost = append(v.Lost, fmt.Sprintf("%.2f s after %v at %s (%s)", s.At.Seconds(), s.Took.Round(time.Millisecond), s.Gateway, s.Key))
			}
		case s.Status != http.StatusOK:
			v.Refused++
		}
	}
	if len(samples) > 0 {
		v.InTime = float64(inTime) / float64(len(samples))
	}
	return v
}
