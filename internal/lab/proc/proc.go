// Package proc starts the processes of a play, and kills and stops them. It signals only what it was given the number
// of.
package proc

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is one process of a play; its parts but Name are there once it was started.
type Process struct {
	Name    string
	Cmd     *exec.Cmd
	Ended   chan struct{}
	Stopped bool // by SIGSTOP
}

// Start starts a command as this process.
func (p *Process) Start(cmd *exec.Cmd) error {
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.Cmd, p.Ended, p.Stopped = cmd, ended, false
	go func() {
		cmd.Wait()
		close(ended)
	}()
	return nil
}

// Running tells whether it was started and has not ended.
func (p *Process) Running() bool {
	if p.Cmd == nil {
		return false
	}
	select {
	case <-p.Ended:
		return false
	default:
		return true
	}
}

// Kill is kill -9.
func (p *Process) Kill() {
	p.Cmd.Process.Kill()
	<-p.Ended
}

// Freeze stops it for a time (SIGSTOP, SIGCONT), and tells whether it stood still until the end.
func (p *Process) Freeze(ctx context.Context, d time.Duration) (stood bool, err error) {
	p.Stopped = true
	defer func() { p.Stopped = false }()
	return Freeze(ctx, p.Cmd.Process.Pid, d)
}

// State is the kernel's word on it: R, S, T, ...; empty: it is gone.
func (p *Process) State() string { return State(p.Cmd.Process.Pid) }

// Freeze stops a process for a time, and tells whether it stood still until the end.
func Freeze(ctx context.Context, pid int, d time.Duration) (stood bool, err error) {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return false, err
	}
	Wait(ctx, d)
	stood = State(pid) == "T"
	return stood, syscall.Kill(pid, syscall.SIGCONT)
}

// State is the kernel's word on a process.
func State(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ""
	}
	if _, rest, ok := strings.Cut(string(text), ") "); ok && len(rest) > 0 {
		return rest[:1]
	}
	return ""
}

// Wait waits until ctx ends, but so long at most.
func Wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Spent is what a process has spent so far: processor time, and bytes that it read and wrote, of files and sockets.
func Spent(pid int) (cpu time.Duration, bytes int64) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if _, rest, ok := strings.Cut(string(text), ") "); ok {
			if w := strings.Fields(rest); len(w) > 12 {
				user, _ := strconv.ParseInt(w[11], 10, 64)
				system, _ := strconv.ParseInt(w[12], 10, 64)
				cpu = time.Duration(user+system) * (time.Second / ticks)
			}
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid)); err == nil {
		for _, line := range strings.Split(string(text), "\n") {
			if name, n, ok := strings.Cut(line, ": "); ok && (name == "rchar" || name == "wchar") {
				v, _ := strconv.ParseInt(n, 10, 64)
				bytes += v
			}
		}
	}
	return cpu, bytes
}

const ticks = 100 // a second, in /proc/PID/stat
