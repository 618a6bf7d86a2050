package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	dir     string // removed at the end
	began   time.Time
	trouble bool // false: the same without the disruption

	mu      sync.Mutex
	out     io.Writer
	closers []func()
	ended   bool
}

// at is the time since the play began, in seconds.
func (p *play) at() float64 { return time.Since(p.began).Seconds() }

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%8.3f ", p.at())
	fmt.Fprintf(p.out, format+"\n", args...)
}

// onEnd has f called when the play ends, the last first.
func (p *play) onEnd(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closers = append(p.closers, f)
}

func (p *play) end() {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.ended = true
	closers := p.closers
	p.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
}

// freeAddress is a loopback address that nobody listens on. Its port is below those that the system gives to connections.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		name, value, ok := strings.Cut(line, "=")
		if !ok || strings.TrimSpace(name) != key {
			continue
		}
		if parts := strings.SplitN(value, `"`, 3); len(parts) == 3 {
			return parts[1], nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml names no %s", key)
}

// process is a program that the play started.
type process struct {
	cmd   *exec.Cmd
	name  string
	ended chan struct{}
	play  *play
}

// start runs a command of the shell. Its output goes to a file in the play's folder.
func (p *play) start(name, command string, env ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH")}, env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &process{cmd: cmd, name: name, ended: make(chan struct{}), play: p}
	go func() {
		err := cmd.Wait()
		p.note("process %s ended: %v", name, err)
		if e, ok := err.(*exec.ExitError); ok && e.Exited() {
			text, _ := os.ReadFile(log.Name())
			p.note("its log ends: %s", text[max(0, len(text)-2000):])
		}
		close(r.ended)
	}()
	p.onEnd(func() { r.kill() })
	p.note("process %s started", name)
	return r, nil
}

func (r *process) signal(s syscall.Signal) {
	r.play.note("platform: %v to %s", s, r.name)
	r.cmd.Process.Signal(s)
}

// kill ends the process and all that it started in its group.
func (r *process) kill() {
	syscall.Kill(-r.cmd.Process.Pid, syscall.SIGKILL)
	<-r.ended
}

// waitEnd waits for the end of the process; false: it still runs.
func (r *process) waitEnd(d time.Duration) bool {
	select {
	case <-r.ended:
		return true
	case <-time.After(d):
		return false
	}
}

// gateway is what the platform tells one gateway.
type gateway struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     map[string]any  `json:"limits"`
	Counter    string          `json:"counter"`
	Management string          `json:"management,omitempty"`
	Known      json.RawMessage `json:"known"`
	Settings   map[string]any  `json:"settings"`

	path, tmp string
}

// newGateway returns the configuration of gateway n of a deployment.
func (p *play) newGateway(n int, settings map[string]any, discovery, counter string, known []byte) (*gateway, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	own := map[string]any{}
	for k, v := range settings {
		own[k] = v
	}
	own["Ordinal"] = n
	g := &gateway{
		Name: fmt.Sprintf("n%d", n), Listen: listen, Discovery: discovery, Seed: fmt.Sprintf("8c1f30d27a5be9%02x", n),
		Limits:  map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		Counter: counter, Known: known, Settings: own,
	}
	g.tmp = filepath.Join(p.dir, g.Name)
	g.path = filepath.Join(p.dir, g.Name+".json")
	if err := os.Mkdir(g.tmp, 0o700); err != nil {
		return nil, err
	}
	return g, g.write()
}

// write puts the configuration in place at once.
func (g *gateway) write() error {
	text, err := json.Marshal(g)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(g.path+".new", g.path)
}

// startGateway starts a process of the gateway by the deploy file's command.
func (p *play) startGateway(g *gateway, name string, env ...string) (*process, error) {
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	return p.start(name, run, append([]string{"EDGE_CONFIG=" + g.path, "TMPDIR=" + g.tmp, "EDGE_LOG_LEVEL=info"}, env...)...)
}

// awaitReady waits until an address answers 200 on a path.
func awaitReady(address, path string, every time.Duration) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(every) {
		resp, err := client.Get("http://" + address + path)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New(address + " is not ready")
}

// sleep waits, and returns early if ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
