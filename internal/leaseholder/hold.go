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

// Exit statuses of Hold beside the command's own.
const (
	ExitLost    = 120 // the lease was lost, and the command was ended for it
	ExitNotHeld = 121 // the lease was not to be had in time
	ExitNoStart = 122 // the command could not be started
)

const (
	killBefore  = 250 * time.Millisecond // before the lease ends nothing of the command may be left
	watchEvery  = 20 * time.Millisecond
	releaseWait = 2 * time.Second
)

// Hold runs a command while a lease is held. The command's environment names the lease (JUNCTIONRING_LEASE), its
// token (JUNCTIONRING_TOKEN), and until when it was known to be held at the start (JUNCTIONRING_DEADLINE, seconds
// since 1970 by this machine's clock; renewals move it on). Before the lease ends the command gets SIGTERM, with
// grace before SIGKILL. If this process is killed, the kernel kills the command too; if it is stopped (SIGSTOP), the
// command goes on, and only what checks tokens is safe from it.
func Hold(ctx context.Context, c *Client, name string, command []string, wait, grace time.Duration) (exit int, err error) {
	l, err := acquireWithin(ctx, c, name, wait)
	if err != nil {
		return ExitNotHeld, fmt.Errorf("lease %s: not held within %v: %w", name, wait, err)
	}
	token, left, ok := l.Token()
	if !ok {
		return ExitLost, fmt.Errorf("lease %s: lost before the command began", name)
	}
	cmd := commandUnder(name, token, left, command)
	// The kernel ties the signal of Pdeathsig to the thread that starts the command, not to the process.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if err := cmd.Start(); err != nil {
		l.Release(ctx)
		return ExitNoStart, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	h := &heldCommand{lease: l, group: cmd.Process.Pid, grace: grace}
	h.supervise(ctx, ended)
	h.signal(syscall.SIGKILL) // what it left behind in its group
	free, done := context.WithTimeout(context.Background(), releaseWait)
	defer done()
	l.Release(free)
	if h.why != "" && ctx.Err() == nil {
		return ExitLost, fmt.Errorf("lease %s: %s: the command was ended", name, h.why)
	}
	return exitStatus(cmd), nil
}

// acquireWithin waits for a lease for some time, or as long as it takes where that is 0.
func acquireWithin(ctx context.Context, c *Client, name string, wait time.Duration) (*Lease, error) {
	if wait > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, wait)
		defer done()
	}
	return c.Acquire(ctx, name)
}

// commandUnder is a command in a process group of its own, with the lease in its environment.
func commandUnder(name string, token uint64, left time.Duration, command []string) *exec.Cmd {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	deadline := float64(time.Now().Add(left).UnixMilli()) / 1000
	cmd.Env = append(os.Environ(), "JUNCTIONRING_LEASE="+name, "JUNCTIONRING_TOKEN="+strconv.FormatUint(token, 10),
		"JUNCTIONRING_DEADLINE="+strconv.FormatFloat(deadline, 'f', 3, 64))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd
}

// heldCommand is a command that runs while a lease is held.
type heldCommand struct {
	lease *Lease
	group int           // the command's process group
	grace time.Duration // from SIGTERM to SIGKILL
	why   string        // it was told to end; empty: it was not
	kill  time.Time     // when SIGKILL follows, once it was told
}

// supervise returns when the command has ended. It tells the command to end where the lease is lost or runs out, or
// ctx ends.
func (h *heldCommand) supervise(ctx context.Context, ended <-chan error) {
	look := time.NewTicker(watchEvery)
	defer look.Stop()
	lost, told := h.lease.Lost(), ctx.Done()
	for {
		select {
		case <-ended:
			return
		case <-lost:
			lost = nil
			patience := h.grace
			if h.lease.Cause() != lease.CauseRevoked {
				patience = 0
			}
			h.stop(string(h.lease.Cause()), min(patience, h.lease.Left()-killBefore))
		case <-told:
			told = nil
			h.stop("told to end", h.grace)
		case <-look.C:
			h.look()
		}
	}
}

// look tells the command to end in time before the lease does, and kills one that was told and did not.
func (h *heldCommand) look() {
	switch left := h.lease.Left(); {
	case h.why == "" && left < h.grace:
		h.stop("no answer from the coordinators in time", left-killBefore)
	case h.why != "" && (time.Now().After(h.kill) || left < killBefore):
		h.signal(syscall.SIGKILL)
	}
}

// stop tells the command to end, once.
func (h *heldCommand) stop(why string, patience time.Duration) {
	if h.why != "" {
		return
	}
	h.why = why
	h.signal(syscall.SIGTERM)
	h.kill = time.Now().Add(patience)
}

func (h *heldCommand) signal(s syscall.Signal) { syscall.Kill(-h.group, s) }

// exitStatus is a command's exit status as shells tell it.
func exitStatus(cmd *exec.Cmd) int {
	if w, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && w.Signaled() {
		return 128 + int(w.Signal())
	}
	if code := cmd.ProcessState.ExitCode(); code >= 0 {
		return code
	}
	return 1
}
