// Command standin holds the small stand-ins and clients that the cases in review start. Each ends by itself.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// lifetime is how long any stand-in runs at most.
const lifetime = 110 * time.Second

func main() {
	commands := map[string]func(args []string) error{
		"ports": ports, "note": note, "ready": ready,
		"archive": archive, "rows": rows, "judge-rows": judgeRows,
		"table": table, "move": move, "version": version,
		"memory": memory, "boards": boards, "repeats": repeats, "judge-repeats": judgeRepeats,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin: no such command")
		os.Exit(2)
	}
	time.AfterFunc(lifetime, func() { os.Exit(2) })
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}

// ports prints N addresses on loopback that were free just now.
func ports(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		open = append(open, l)
		fmt.Println(l.Addr())
	}
	for _, l := range open {
		l.Close()
	}
	return nil
}

// recorder appends lines with their time to a case's record.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func openRecord(path string) (*recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &recorder{file: f}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// note appends one line to a record.
func note(args []string) error {
	r, err := openRecord(args[0])
	if err != nil {
		return err
	}
	r.add("%s", args[1])
	return nil
}

// ready waits until a gateway's readiness path answers 200.
func ready(args []string) error {
	within, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + args[0] + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("not ready within %v", within)
}
