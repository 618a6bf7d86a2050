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
	killBefore = 250 * time.Millisecond // before the lease ends nothing of the command may be left
	watchEvery = 20 * time.Millisecond
)

// Hold runs a command while a lease is held. The command's environment names the lease (JUNCTIONRING_LEASE), its
// token (JUNCTIONRING_TOKEN), and until when it was known to be held at the start (JUNCTIONRING_DEADLINE, seconds
// since 1970 by this machine's clock; renewals move it on). Before the lease ends the command gets SIGTERM, with
// grace before SIGKILL. If this process is killed, the kernel kills the command too; if it is stopped (SIGSTOP), the
// command goes on, and only what checks tokens is safe from it.
func Hold(ctx context.Context, c *Client, name string, command []string, wait, grace time.Duration) (exit int, err error) {
	getting := ctx
	if wait > 0 {
		var done context.CancelFunc
		getting, done = context.WithTimeout(ctx, wait)
		defer done()
	}
	l, err := c.Acquire(getting, name)
	if err != nil {
		return ExitNotHeld, fmt.Errorf("lease %s: not held within %v: %w", name, wait, err)
	}
	token, left, ok := l.Token()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.Env = append(os.Environ(), "JUNCTIONRING_LEASE="+name, "JUNCTIONRING_TOKEN="+strconv.FormatUint(token, 10),
		"JUNCTIONRING_DEADLINE="+strconv.FormatFloat(float64(time.Now().Add(left).UnixMilli())/1000, 'f', 3, 64))
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	// The kernel ties that last signal to the thread that starts the command, not to the process.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if !ok {
		return ExitLost, fmt.Errorf("lease %s: lost before the command began", name)
	}
	if err := cmd.Start(); err != nil {
		l.Release(ctx)
		return ExitNoStart, err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	signal := func(s syscall.Signal) { syscall.Kill(-cmd.Process.Pid, s) }
	look := time.NewTicker(watchEvery)
	defer look.Stop()
	var kill time.Time // when patience ends
	why := ""
	stop := func(reason string, patience time.Duration) {
		if why == "" {
			why = reason
			signal(syscall.SIGTERM)
			kill = time.Now().Add(patience)
		}
	}
	lost, told := l.Lost(), ctx.Done()
	for {
		select {
		case <-ended:
			signal(syscall.SIGKILL) // what it left behind in its group
			free, done := context.WithTimeout(context.Background(), 2*time.Second)
			defer done()
			l.Release(free)
			if why != "" && ctx.Err() == nil {
				return ExitLost, fmt.Errorf("lease %s: %s: the command was ended", name, why)
			}
			return exitStatus(cmd), nil
		case <-lost:
			lost = nil
			patience := grace
			if l.Cause() != lease.Withdrew {
				patience = 0
			}
			stop(string(l.Cause()), min(patience, l.Left()-killBefore))
		case <-told:
			told = nil
			stop("told to end", grace)
		case <-look.C:
			switch left := l.Left(); {
			case why == "" && left < grace:
				stop("no answer from the coordinators in time", left-killBefore)
			case why != "" && (time.Now().After(kill) || left < killBefore):
				signal(syscall.SIGKILL)
			}
		}
	}
}

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
