package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["orphaned-task"] = orphanedTask }

// orphanedTask: a task is run under a lease, a second process waits for the same lease, and the first is killed.
func orphanedTask(p *play) (bool, error) {
	const life = 4 * time.Second
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	config, acts, script := filepath.Join(p.dir, "one.toml"), filepath.Join(p.dir, "acts"), filepath.Join(p.dir, "export.sh")
	own, err := os.Executable()
	if err != nil {
		return false, err
	}
	for path, text := range map[string]string{
		config: fmt.Sprintf("listen = %q\ndata = %q\nlongest_life = %q\n", listen, filepath.Join(p.dir, "data"), life),
		// A script as operators write them: it calls a program, and says how that ended.
		script: fmt.Sprintf("#!/bin/sh\n%s act %s\necho \"the export ended: $?\"\n", own, acts),
	} {
		if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
			return false, err
		}
	}
	p.onEnd(func() { p.endActors(acts) })
	if _, err := p.start("coordinator", "exec bin/junctionring coordinator --config "+config, "TMPDIR="+p.dir); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	hold := fmt.Sprintf("exec bin/junctionring lease hold nightly-export --life %v --grace 1s -- %s", life, script)
	first, err := p.start("holder-1", hold, "JUNCTIONRING_COORDINATORS="+listen, "TMPDIR="+p.dir)
	if err != nil {
		return false, err
	}
	if err := p.awaitActs(acts, 1); err != nil {
		return false, err
	}
	second, err := p.start("holder-2", hold, "JUNCTIONRING_COORDINATORS="+listen, "TMPDIR="+p.dir)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if p.trouble {
		first.signal(syscall.SIGKILL)
	} else { // the first gives the lease back in good order
		first.signal(syscall.SIGTERM)
	}
	if err := p.awaitActs(acts, 2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	second.signal(syscall.SIGTERM)
	second.waitEnd(5 * time.Second)
	all, err := readActs(acts)
	if err != nil {
		return false, err
	}
	highest, late := uint64(0), 0
	for _, a := range all {
		highest = max(highest, a.token)
		if a.token < highest {
			late++
		}
		p.note("act of process %d under token %d at %.3f", a.pid, a.token, a.at.Sub(p.began).Seconds())
	}
	p.note("acts %d, acts under an older token after a newer holder had begun %d", len(all), late)
	return late > 0, nil
}

// oneAct is a line of the record that acts leave.
type oneAct struct {
	token uint64
	pid   int
	at    time.Time
}

func readActs(path string) (all []oneAct, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var a oneAct
		var at int64
		if _, err := fmt.Sscan(in.Text(), &a.token, &a.pid, &at); err != nil {
			continue
		}
		a.at = time.UnixMicro(at)
		all = append(all, a)
	}
	return all, nil
}

// awaitActs waits until so many holders have acted.
func (p *play) awaitActs(path string, holders int) error {
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(50 * time.Millisecond) {
		all, _ := readActs(path)
		tokens := map[uint64]bool{}
		for _, a := range all {
			tokens[a.token] = true
		}
		if len(tokens) >= holders {
			return nil
		}
	}
	return errors.New("the lease was not held in time")
}

// endActors ends the processes that have acted and are still there.
func (p *play) endActors(path string) {
	all, _ := readActs(path)
	seen := map[int]bool{}
	for _, a := range all {
		line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", a.pid))
		if !seen[a.pid] && err == nil && strings.Contains(string(line), path) {
			p.note("process %d, which acts, is ended by the case", a.pid)
			syscall.Kill(a.pid, syscall.SIGKILL)
		}
		seen[a.pid] = true
	}
}

// act is the program that the task calls: it acts every 200 ms, for 30 s at most, and leaves a record.
func act(path string) int {
	token, err := strconv.ParseUint(os.Getenv("JUNCTIONRING_TOKEN"), 10, 64)
	if err != nil {
		return cannotRun
	}
	for range 150 {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return cannotRun
		}
		fmt.Fprintf(f, "%d %d %d\n", token, os.Getpid(), time.Now().UnixMicro())
		f.Close()
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}
