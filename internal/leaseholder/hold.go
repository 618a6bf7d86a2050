package leaseholder

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"junctionring/lease"
)

// Exit statuses of Hold, besides those of the command itself.
const (
	ExitLost    = 120 // the lease was lost, and the command was therefore terminated
	ExitNotHeld = 121 // the lease was not granted in time
	ExitNoStart = 122 // the command could not be started
)

const (
	killMargin            = 250 * time.Millisecond // before the lease ends: by then no process of the command may be left
	validityCheckInterval = 20 * time.Millisecond
	releaseTimeout        = 2 * time.Second
)

// Hold runs a command while a lease is held. The command's environment carries the lease's name (JUNCTIONRING_LEASE),
// its token (JUNCTIONRING_TOKEN), and until when it was valid as the command started (JUNCTIONRING_DEADLINE, seconds
// since 1970 by this machine's clock; renewals extend the validity beyond that). Before the lease ends the command
// receives SIGTERM, and SIGKILL after the grace period. If this process is killed, the kernel kills the command too;
// if it is stopped (SIGSTOP), the command continues, and only resources that check fencing tokens are protected from
// it.
func Hold(ctx context.Context, c *Client, name string, command []string, wait, grace time.Duration) (exit int, err error) {
	l, err := acquireWithin(ctx, c, name, wait)
	if err != nil {
		return ExitNotHeld, fmt.Errorf("lease %s: not held within %v: %w", name, wait, err)
	}
	token, remaining, ok := l.Token()
	if !ok {
		return ExitLost, fmt.Errorf("lease %s: lost before the command began", name)
	}
	cmd := leasedCommand(name, token, remaining, command)
	// The kernel ties the signal of Pdeathsig to the thread that starts the command, not to the process.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := cmd.Start(); err != nil {
		l.Release(ctx)
		return ExitNoStart, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	h := &heldCommand{lease: l, processGroup: cmd.Process.Pid, grace: grace}
	h.supervise(ctx, ended)
	h.signal(syscall.SIGKILL) // processes that the command left behind in its group
	releaseCtx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	l.Release(releaseCtx)
	if h.stopCause != "" && ctx.Err() == nil {
		return ExitLost, fmt.Errorf("lease %s: %s: the command was ended", name, h.stopCause)
	}
	return exitStatus(cmd), nil
}

// acquireWithin waits for a lease up to the given time, or without a limit if that is 0.
func acquireWithin(ctx context.Context, c *Client, name string, wait time.Duration) (*Lease, error) {
	if wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	return c.Acquire(ctx, name)
}

// leasedCommand returns a command that runs in its own process group, with the lease in its environment.
func leasedCommand(name string, token uint64, remaining time.Duration, command []string) *exec.Cmd {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	deadline := float64(time.Now().Add(remaining).UnixMilli()) / 1000
	cmd.Env = append(os.Environ(), "JUNCTIONRING_LEASE="+name, "JUNCTIONRING_TOKEN="+strconv.FormatUint(token, 10),
		"JUNCTIONRING_DEADLINE="+strconv.FormatFloat(deadline, 'f', 3, 64))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// heldCommand is a command that runs while a lease is held.
type heldCommand struct {
	lease        *Lease
	processGroup int           // the command's process group
	grace        time.Duration // from SIGTERM to SIGKILL
	stopCause    string        // why the command was told to terminate; empty: it was not
	killAt       time.Time     // when SIGKILL follows SIGTERM; set together with stopCause
}

// supervise returns when the command has ended. It terminates the command if the lease is lost or about to expire, or
// if ctx ends.
func (h *heldCommand) supervise(ctx context.Context, ended <-chan error) {
	ticker := time.NewTicker(validityCheckInterval)
	defer ticker.Stop()
	lost, interrupted := h.lease.Lost(), ctx.Done()
	for {
		select {
		case <-ended:
			return
		case <-lost:
			lost = nil
			grace := h.grace
			if h.lease.Cause() != lease.CauseRevoked {
				grace = 0
			}
			h.stop(string(h.lease.Cause()), min(grace, h.lease.Left()-killMargin))
		case <-interrupted:
			interrupted = nil
			h.stop("interrupted", h.grace)
		case <-ticker.C:
			h.checkValidity()
		}
	}
}

// checkValidity sends SIGTERM in time before the lease ends, and SIGKILL to a command that has not ended after it.
func (h *heldCommand) checkValidity() {
	switch remaining := h.lease.Left(); {
	case h.stopCause == "" && remaining < h.grace:
		h.stop("no answer from the coordinators in time", remaining-killMargin)
	case h.stopCause != "" && (time.Now().After(h.killAt) || remaining < killMargin):
		h.signal(syscall.SIGKILL)
	}
}

// stop sends the command SIGTERM, once, and sets when SIGKILL follows.
func (h *heldCommand) stop(cause string, grace time.Duration) {
	if h.stopCause != "" {
		return
	}
	h.stopCause = cause
	h.signal(syscall.SIGTERM)
	h.killAt = time.Now().Add(grace)
}

func (h *heldCommand) signal(s syscall.Signal) { syscall.Kill(-h.processGroup, s) }

// exitStatus returns a command's exit status as shells do: 128 plus the signal's number if a signal killed it.
func exitStatus(cmd *exec.Cmd) int {
	if w, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && w.Signaled() {
		return 128 + int(w.Signal())
	}
	if code := cmd.ProcessState.ExitCode(); code >= 0 {
		return code
	}
	return 1
}
