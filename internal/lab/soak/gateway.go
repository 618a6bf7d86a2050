package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is one gateway's place: its address and agent stay, its processes come and go.
type gateway struct {
	number  int
	plan    Plan
	record  *Record
	program []string // that is started, with the command line in front of its own
	dir     string
	listen  string
	counter string
	agent   *agent

	restarting sync.Mutex // held through a restart
	mu         sync.Mutex
	cmd        *exec.Cmd
	life       *Life
	ended      chan struct{} // closed when cmd has ended
	starts     int
}

const readyLook = 10 * time.Millisecond

// start starts a process, and returns once it is ready or has ended.
func (g *gateway) start(ctx context.Context) error {
	config := filepath.Join(g.dir, fmt.Sprintf("gateway-%d.json", g.number))
	text, err := encode(document{
		Name: "n" + strconv.Itoa(g.number), Listen: g.listen, Discovery: g.agent.address(),
		Seed: fmt.Sprintf("%016x", g.plan.Seed), Limits: map[string]float64{"cores": 1, "memory_mb": mostMemoryMB, "sockets": 1024},
		Counter: g.counter, Known: g.agent.known(), Settings: settingsFor(g.plan, g.number),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	log, err := os.Create(g.logPath(g.starts))
	if err != nil {
		return err
	}
	defer log.Close()
	tmp, err := os.MkdirTemp(g.dir, "tmp")
	if err != nil {
		return err
	}
	cmd := exec.Command(g.program[0], append(g.program[1:], "serve")...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "EDGE_CONFIG=" + config, "EDGE_LOG_LEVEL=debug"}
	cmd.Stdout, cmd.Stderr = log, log
	life := &Life{Gateway: g.number, Started: time.Now()}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("gateway %d: %w", g.number, err)
	}
	g.record.addLife(life)
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.life, g.ended = cmd, life, ended
	g.starts++
	g.mu.Unlock()
	go func() {
		err := cmd.Wait()
		life.Ended = time.Now()
		if err != nil && !life.Killed {
			life.ExitedWith = err.Error()
		}
		close(ended)
	}()
	g.awaitReady(ctx, life, ended)
	return nil
}

func (g *gateway) logPath(start int) string {
	return filepath.Join(g.dir, fmt.Sprintf("gateway-%d-%d.log", g.number, start))
}

// awaitReady waits until the process says that it is ready, or ends, or has taken far too long.
func (g *gateway) awaitReady(ctx context.Context, life *Life, ended <-chan struct{}) {
	look := time.NewTicker(readyLook)
	defer look.Stop()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(life.Started) < readyWithin+time.Second {
		if resp, err := client.Get("http://" + g.listen + "/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				life.Ready = time.Now()
				return
			}
		}
		select {
		case <-look.C:
		case <-ended:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hangUp sends SIGHUP some times.
func (g *gateway) hangUp(times int) {
	g.agent.moves()
	for range times {
		g.signal(syscall.SIGHUP)
	}
}

// signal sends signals to the present process, one after another.
func (g *gateway) signal(signals ...syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range signals {
		g.cmd.Process.Signal(s)
	}
}

// stop tells the present process to end by signals, of which the last is SIGTERM, and kills it when the page allows that.
func (g *gateway) stop(signals ...syscall.Signal) {
	const killedAfter = 700 * time.Millisecond
	g.mu.Lock()
	life, ended, process := g.life, g.ended, g.cmd.Process
	g.mu.Unlock()
	life.Terminated = time.Now()
	g.signal(signals...)
	kill := time.NewTimer(min(g.plan.Longest(), longestCounted) + killedAfter)
	defer kill.Stop()
	select {
	case <-ended:
	case <-kill.C:
		life.Killed = true
		process.Kill()
		<-ended
	}
}

const longestCounted = 3 * time.Second

// restart replaces the process, one restart at a time.
func (g *gateway) restart(ctx context.Context, signals ...syscall.Signal) error {
	g.restarting.Lock()
	defer g.restarting.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	g.stop(signals...)
	return g.start(ctx)
}

// stall holds the process up for a while, again and again.
func (g *gateway) stall(ctx context.Context, pauses []time.Duration) {
	g.restarting.Lock() // a process that is stopped can't be told to end in time
	defer g.restarting.Unlock()
	for _, d := range pauses {
		g.signal(syscall.SIGSTOP)
		wait(ctx, d)
		g.signal(syscall.SIGCONT)
		wait(ctx, d)
	}
}

var unansweredLine = regexp.MustCompile(`unanswered" by=gateway .* id=(\S+) whole=true`)

// inspect reads what a process at rest holds, and what the processes logged.
func (g *gateway) inspect() {
	pid := g.cmd.Process.Pid
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	g.life.Descriptors = len(files)
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if _, rest, ok := strings.Cut(string(status), "VmRSS:"); ok {
		kb, _ := strconv.Atoi(strings.Fields(rest)[0])
		g.life.MemoryMB = kb >> 10
	}
}

// readLogs takes the ids of unanswered requests from the logs.
func (g *gateway) readLogs() {
	for start := range g.starts {
		text, _ := os.ReadFile(g.logPath(start))
		in := bufio.NewScanner(bytes.NewReader(text))
		for in.Scan() {
			if m := unansweredLine.FindStringSubmatch(in.Text()); m != nil {
				g.life.Unanswered = append(g.life.Unanswered, m[1])
			}
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
