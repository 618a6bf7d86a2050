package agent

import (
	"bufio"
	"bytes"
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
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"junctionring/internal/snapshot"
	"junctionring/rollout"
)

// running is the content of the state file. It identifies the gateway's process, so that a restarted agent can adopt it.
type running struct {
	Version    string
	PID        int
	Began      string // start time from the kernel, which tells the process from a later one with the same PID
	Management string
	Config     string // configuration that the process is to have
}

// process is a gateway's process: a child of this agent, or one that it adopted.
type process struct {
	running
	ended      chan struct{}
	configured bool // whether the process has that configuration
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

// startTime returns the start time of a process in clock ticks since boot, or "" if there is no such process or it is a
// zombie.
func startTime(pid int) string {
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

// stateEnv is the environment variable that holds the state file of the agent that started a process. It lets a later
// agent find a process that was not recorded in the state file.
const stateEnv = "JUNCTIONRING_AGENT_STATE"

// leftoverProcesses returns the running processes that agents with this state file started, without the given one.
func leftoverProcesses(state string, except *process) (all []*process) {
	found, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range found {
		text, err := os.ReadFile(path)                                                               // fails for other users' processes and for those that have just ended
		if err != nil || !slices.Contains(strings.Split(string(text), "\x00"), stateEnv+"="+state) { // at any position: a shell in between reorders the environment
			continue
		}
		r := running{}
		r.PID, _ = strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if except != nil && r.PID == except.PID {
			continue
		}
		for _, v := range strings.Split(string(text), "\x00") {
			switch name, value, _ := strings.Cut(v, "="); name {
			case "EDGE_MANAGEMENT":
				r.Management = value
			case "JUNCTIONRING_VERSION":
				r.Version = value
			}
		}
		r.Began = startTime(r.PID)
		if p := adopt(r); p != nil {
			all = append(all, p)
		}
	}
	return all
}

// adopt returns the process that an earlier agent started, or nil if it is no longer running.
func adopt(r running) *process {
	if r.PID <= 0 || r.Began == "" || startTime(r.PID) != r.Began {
		return nil
	}
	p := &process{running: r, ended: make(chan struct{})}
	go func() {
		for startTime(r.PID) == r.Began { // polled, as the process is not a child of this agent and cannot be waited for
			time.Sleep(100 * time.Millisecond)
		}
		close(p.ended)
	}()
	return p
}

// lock prevents two agents from using the same state file. Closing the returned file releases the lock.
func lock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: another agent keeps this gateway: %w", path, err)
	}
	return f, nil
}

// verifyProgram compares a version's program with its checksum and returns its path.
func verifyProgram(c *Config, version string) (path string, err error) {
	path, err = versionFile(c.Program.Versions, version, c.Program.Name)
	if err != nil {
		return "", err
	}
	f, err := os.Open(path)
	if err != nil {
		return "", fmt.Errorf("version %s: %w", version, err)
	}
	defer f.Close()
	return path, checksum(path, version, f)
}

// readConfiguration returns the text of a configuration after comparing it with its checksum.
func (c *Config) readConfiguration(name string) ([]byte, error) {
	path, err := versionFile(c.Configuration.Folder, name, "config.toml")
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return text, checksum(path, name, bytes.NewReader(text))
}

// versionFile returns the path of a file of a version.
func versionFile(folder, version, name string) (string, error) {
	if folder == "" {
		return "", errors.New("no folder is configured for it")
	}
	if version == "" || strings.ContainsAny(version, "/ ") || version == ".." {
		return "", fmt.Errorf("version %q is not a valid folder name", version)
	}
	return filepath.Join(folder, version, name), nil
}

// checksum compares a file with the checksum in the file SHA256 in the same folder.
func checksum(path, version string, r io.Reader) error {
	want, err := os.ReadFile(filepath.Join(filepath.Dir(path), "SHA256"))
	if err != nil {
		return fmt.Errorf("version %s: reading its checksum: %w", version, err)
	}
	h := sha256.New()
	if _, err := io.Copy(h, r); err != nil {
		return fmt.Errorf("version %s: %w", version, err)
	}
	expected, _, _ := strings.Cut(strings.TrimSpace(string(want)), " ")
	if got := hex.EncodeToString(h.Sum(nil)); got != expected {
		return fmt.Errorf("version %s: %s has a checksum that begins with %.12s, want %.12s", version, filepath.Base(path), got, expected)
	}
	return nil
}

// start starts a version's program after verifying it. The process continues to run when this agent ends.
func start(c *Config, version, management string) (*process, error) {
	path, err := verifyProgram(c, version)
	if err != nil {
		return nil, err
	}
	out, err := os.OpenFile(c.State+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(path, c.Program.Args...)
	cmd.Env = append(os.Environ(), "EDGE_MANAGEMENT="+management, "JUNCTIONRING_VERSION="+version, stateEnv+"="+c.State)
	for k, v := range c.Program.Env {
		cmd.Env = append(cmd.Env, k+"="+v)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to the agent's process group does not reach the gateway
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("version %s: %w", version, err)
	}
	p := &process{running: running{Version: version, PID: cmd.Process.Pid, Began: startTime(cmd.Process.Pid), Management: management}, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// alive reports whether the process is still running.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// terminate sends SIGTERM, and SIGKILL if the process has not ended after the grace period. It returns when the process
// has ended.
func (p *process) terminate(grace time.Duration) {
	syscall.Kill(p.PID, syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		syscall.Kill(p.PID, syscall.SIGKILL)
		<-p.ended
	}
}

// configClient has a long time-out, because a gateway checks, stages and saves a configuration before it responds.
var configClient = &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready reports whether the process accepts clients.
func (p *process) ready() bool {
	response, err := client.Get("http://" + p.Management + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// figures returns the counts of requests by class and outcome.
func (p *process) figures() (map[string]rollout.Count, error) {
	response, err := client.Get("http://" + p.Management + "/api/telemetry")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	return readFigures(io.LimitReader(response.Body, 1<<20))
}

// draining returns the requests in flight at each table server that is draining.
func (p *process) draining() (workInFlight map[string]int, err error) {
	response, err := client.Get("http://" + p.Management + "/api/draining")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, 1<<20)).Decode(&workInFlight)
	return workInFlight, err
}

// put sends the process the action evacuate or rejoin.
func (p *process) put(action string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+p.Management+"/api/"+action, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", action, response.Status)
	}
	return nil
}

// pushConfiguration applies a configuration to the process as its next version and pins it, so that one from a control
// service does not replace it. On an error the configuration in force stays.
func (p *process) pushConfiguration(text []byte) error {
	var now struct{ Version int64 }
	call := func(method, path string, body []byte) error {
		r, err := http.NewRequest(method, "http://"+p.Management+path, bytes.NewReader(body))
		if err != nil {
			return err
		}
		a, err := configClient.Do(r)
		if err != nil {
			return err
		}
		defer a.Body.Close()
		answer, err := io.ReadAll(io.LimitReader(a.Body, 1<<20))
		if err == nil && a.StatusCode != http.StatusOK {
			err = fmt.Errorf("%s: %s", a.Status, strings.TrimSpace(string(answer)))
		}
		if err == nil {
			err = json.Unmarshal(answer, &now)
		}
		return err
	}
	if err := call(http.MethodGet, "/config", nil); err != nil {
		return err
	}
	if err := call(http.MethodPost, "/config/unpin", nil); err != nil {
		return err
	}
	err := call(http.MethodPost, fmt.Sprintf("/config?version=%d&rollback=true", now.Version+1), text)
	return errors.Join(err, call(http.MethodPost, "/config/pin", nil))
}

// readFigures reads lines of the form svc.replies.CLASS.success:812|c and ignores lines with another prefix.
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
			return nil, fmt.Errorf("telemetry: invalid counter line %.60q", in.Text())
		}
		c := all[class]
		switch what {
		case "success":
			c.Asked += n
		case "late":
			c.Late += n
		case "overload", "error":
			c.Asked, c.Failed = c.Asked+n, c.Failed+n
		}
		all[class] = c
	}
	return all, in.Err()
}
