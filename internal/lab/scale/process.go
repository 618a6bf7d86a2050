package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"junctionring/internal/lab/proc"
)

const (
	startWait  = 60 * time.Second // for a process to be ready
	answerWait = 60 * time.Second // for a report
)

// process is one process of a run.
type process struct {
	proc.Process
	kind    Kind
	role    role
	stdin   io.WriteCloser
	answers chan string
	logPath string
}

// launch starts the program itself again, in a role, and returns the address that it serves.
func launch(ctx context.Context, program []string, dir, name string, r role) (*process, string, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, "", err
	}
	p := &process{Process: proc.Process{Name: name}, kind: r.Kind, role: r, answers: make(chan string, 1), logPath: filepath.Join(dir, name+".log")}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = append(os.Environ(), roleEnv+"="+string(text), "GOMAXPROCS=2")
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, "", err
	}
	defer out.Close()
	cmd.Stderr = out
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, "", err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err := p.Start(cmd); err != nil {
		return nil, "", err
	}
	go p.listen(stdout)
	address := ""
	err = p.answer(ctx, startWait, &address)
	return p, address, err
}

// close ends the process at once.
func (p *process) close() {
	if p.stdin != nil {
		p.stdin.Close()
	}
	if p.Cmd != nil && p.Running() {
		p.Kill()
	}
}

// listen passes the process's answers on, line by line.
func (p *process) listen(out io.Reader) {
	defer close(p.answers)
	in := bufio.NewReader(out)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		p.answers <- line
	}
}

// answer waits for the process's next answer.
func (p *process) answer(ctx context.Context, within time.Duration, into any) error {
	late := time.NewTimer(within)
	defer late.Stop()
	select {
	case line, ok := <-p.answers:
		if !ok {
			tail, _ := os.ReadFile(p.logPath)
			return fmt.Errorf("%s has ended: %s", p.Name, tail[max(0, len(tail)-400):])
		}
		return json.Unmarshal([]byte(line), into)
	case <-late.C:
		return fmt.Errorf("%s has not answered for %v", p.Name, within)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tell has the process carry out a command.
func (p *process) tell(ctx context.Context, command string) (r Report, err error) {
	if p.stdin == nil { // a real gateway takes no commands
		return r, nil
	}
	if _, err := io.WriteString(p.stdin, command+"\n"); err != nil {
		return r, fmt.Errorf("%s: %w", p.Name, err)
	}
	return r, p.answer(ctx, answerWait, &r)
}

// usage is what a process has used since its start, and the memory that it holds.
type usage struct {
	CPU      time.Duration
	Bytes    int64 // read and written, of sockets and files
	Resident int64 // bytes
}

func (u usage) less(was usage) usage {
	return usage{u.CPU - was.CPU, u.Bytes - was.Bytes, u.Resident}
}

func (u usage) plus(other usage) usage {
	return usage{u.CPU + other.CPU, u.Bytes + other.Bytes, u.Resident + other.Resident}
}

// usage reads what the kernel has counted.
func (p *process) usage() (u usage) {
	pid := p.Cmd.Process.Pid
	u.CPU = cpuTime(pid)
	_, u.Bytes = proc.Spent(pid)
	u.Resident = resident(pid)
	return u
}

// cpuTime is a process's processor time, from its own clock: /proc counts in steps of 10 ms.
func cpuTime(pid int) time.Duration {
	const ofProcess = 2 // the kernel's number of the scheduler's clock
	var t unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|ofProcess), &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

func resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(text))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
