package agent

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"junctionring/internal/snapshot"
	"junctionring/rollout"
)

// running is what the state file keeps of the gateway's process, so that an agent that comes back goes on with it.
type running struct {
	Version    string
	PID        int
	Began      string // the kernel's start time: another process under this number is not it
	Management string
}

// process is a gateway's process, a child of this agent or one that it found at work.
type process struct {
	running
	ended chan struct{}
}

func loadRunning(path string) (r running, ok bool, err error) {
	v, err := snapshot.Load(path)
	if errors.Is(err, snapshot.ErrNone) {
		return r, false, nil
	}
	if err == nil {
		err = json.Unmarshal(v.Content, &r)
	}
	return r, err == nil, err
}

func (r running) save(path string) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return snapshot.Save(path, snapshot.Version{Number: 1, Content: text})
}

// began is the start time of a process, "" where there is none.
func began(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	_, rest, ok := strings.Cut(string(text), ") ")
	if f := strings.Fields(rest); ok && len(f) > 19 && f[0] != "Z" {
		return f[19]
	}
	return ""
}

// adopt goes on with a process that an agent before started; nil: it is not there any more.
func adopt(r running) *process {
	if r.PID <= 0 || r.Began == "" || began(r.PID) != r.Began {
		return nil
	}
	p := &process{r, make(chan struct{})}
	go func() {
		for began(r.PID) == r.Began { // it is nobody's child here: nothing tells of its end
			time.Sleep(100 * time.Millisecond)
		}
		close(p.ended)
	}()
	return p
}

// verify makes sure that a version's program is the one that was put there.
func verify(c *Config, version string) (path string, err error) {
	if version == "" || strings.ContainsAny(version, "/ ") || version == ".." {
		return "", fmt.Errorf("version %q is no folder's name", version)
	}
	dir := filepath.Join(c.Program.Versions, version)
	path = filepath.Join(dir, c.Program.Name)
	want, err := os.ReadFile(filepath.Join(dir, "SHA256"))
	if err != nil {
		return "", fmt.Errorf("version %s: its checksum: %w", version, err)
	}
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("version %s: %w", version, err)
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return "", fmt.Errorf("version %s: %w", version, err)
	}
	first, _, _ := strings.Cut(strings.TrimSpace(string(want)), " ")
	if got := hex.EncodeToString(h.Sum(nil)); got != first {
		return "", fmt.Errorf("version %s: %s has the checksum %.12s..., and %.12s... is due", version, c.Program.Name, got, first)
	}
	return path, nil
}

// start starts a version's program. It goes on when this agent ends.
func start(c *Config, version, management string) (*process, error) {
	path, err := verify(c, version)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(c.State+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(path, c.Program.Args...)
	cmd.Env = append(os.Environ(), "EDGE_MANAGEMENT="+management, "JUNCTIONRING_VERSION="+version)
	for k, v := range c.Program.Env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // what ends the agent doesn't end the gateway
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("version %s: %w", version, err)
	}
	p := &process{running{version, cmd.Process.Pid, began(cmd.Process.Pid), management}, make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// end is SIGTERM, and SIGKILL after a time.
func (p *process) end(patience time.Duration) {
	syscall.Kill(p.PID, syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(patience):
		syscall.Kill(p.PID, syscall.SIGKILL)
		<-p.ended
	}
}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the process whether it takes clients.
func (p *process) ready() bool {
	a, err := client.Get("http://" + p.Management + "/api/ready")
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode/100 == 2
}

// figures reads what became of requests, by class.
func (p *process) figures() (map[string]rollout.Count, error) {
	a, err := client.Get("http://" + p.Management + "/api/telemetry")
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, errors.New(a.Status)
	}
	return readFigures(io.LimitReader(a.Body, 1<<20))
}

// readFigures reads lines like svc.replies.CLASS.success:812|c; others are of no account here.
func readFigures(r io.Reader) (map[string]rollout.Count, error) {
	all := map[string]rollout.Count{}
	in := bufio.NewScanner(r)
	for in.Scan() {
		rest, ok := strings.CutPrefix(in.Text(), "svc.replies.")
		if !ok {
			continue
		}
		name, number, ok := strings.Cut(rest, ":")
		class, what := name, ""
		if i := strings.LastIndexByte(name, '.'); i > 0 {
			class, what = name[:i], name[i+1:]
		}
		n, err := strconv.ParseUint(strings.TrimSuffix(number, "|c"), 10, 64)
		if !ok || err != nil {
			return nil, fmt.Errorf("a figure can't be read: %.60q", in.Text())
		}
		c := all[class]
		switch what {
		case "success":
			c.Asked += n
		case "overload", "error":
			c.Asked, c.Failed = c.Asked+n, c.Failed+n
		}
		all[class] = c
	}
	return all, in.Err()
}
