// Command standin-2 plays the cases of the second review. Each case starts the gateway with the deploy file's run
// command, and the stand-ins that it needs (table servers, discovery agents, the counter, clients, the platform) in
// this process, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// exit statuses of a case
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the plays by name. Each returns whether the rule was broken, or an error if it could not run.
var cases = map[string]func(*play) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	p := &play{dir: dir, began: time.Now(), out: f, trouble: os.Getenv("TROUBLE") != "0"}
	defer p.end()
	watchdog := time.AfterFunc(115*time.Second, func() { // nothing of a case may outlast its time
		p.end()
		os.RemoveAll(dir)
		os.Exit(cannotRun)
	})
	defer watchdog.Stop()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stop
		p.end()
		os.RemoveAll(dir)
		os.Exit(cannotRun)
	}()
	p.note("case %s, trouble %v", name, p.trouble)
	isBroken, err := cases[name](p)
	switch {
	case err != nil:
		p.note("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return cannotRun
	case isBroken:
		p.note("RULE BROKEN")
		fmt.Println(name + ": rule broken; see " + record)
		return broken
	}
	p.note("rule held")
	fmt.Println(name + ": rule held")
	return held
}
