package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const window = 4 * time.Second // for which all table servers drop a repeat of a key, from its first request on

// memory is what all table servers know together of keys: the first request with a key is to run, and its repeats are
// to be dropped for the window.
func memory(args []string) error {
	var mu sync.Mutex
	first := map[string]time.Time{}
	return http.ListenAndServe(args[0], http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key := q.FormValue("key")
		if at, ok := first[key]; ok && time.Since(at) < window {
			io.WriteString(w, "drop")
			return
		}
		first[key] = time.Now()
		io.WriteString(w, "run")
	}))
}

// boards is a table server: it begins a move once its last byte has come, drops it if all servers' memory says so, works for
// 100 ms and answers.
func boards(args []string) error {
	listen, name, memory := args[0], args[1], args[2]
	r, err := openRecord(args[3])
	if err != nil {
		return err
	}
	return http.ListenAndServe(listen, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if q.URL.Path == "/health/live" {
			return
		}
		key := q.Header.Get("Idempotency-Key")
		resp, err := http.Get("http://" + memory + "/?key=" + key)
		if err != nil {
			return
		}
		verdict, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if string(verdict) == "run" {
			r.add("table server %s: key %s runs, %s", name, key, q.RequestURI)
		} else {
			r.add("table server %s: key %s is dropped as a repeat", name, key)
		}
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(w, "%s %s %s", name, q.RequestURI, body)
	}))
}

// repeats sends moves on a board, each under a key of its own, and after a pause each of them once more under the same key, as a
// client does that has lost its answers.
func repeats(args []string) error {
	n, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	pause, err := time.ParseDuration(args[3])
	if err != nil {
		return err
	}
	r, err := openRecord(args[4])
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 5 * time.Second}
	send := func(key, what string) {
		q, err := http.NewRequest(http.MethodPost, "http://"+args[0]+args[1], strings.NewReader("e2e4"))
		if err != nil {
			panic(err)
		}
		q.Header.Set("Idempotency-Key", key)
		q.Header.Set("X-Auth-Account", "ayumi")
		q.Header.Set("X-Auth-Plan", "club")
		resp, err := client.Do(q)
		if err != nil {
			r.add("client: %s %s gets no answer", what, key)
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		r.add("client: %s %s is answered %d %q, Idempotent-Replayed %q", what, key, resp.StatusCode, text, resp.Header.Get("Idempotent-Replayed"))
	}
	for _, what := range []string{"move", "repeat of move"} {
		for i := range n {
			send(fmt.Sprintf("m%d", i), what)
		}
		if what == "move" {
			time.Sleep(pause)
		}
	}
	return nil
}

// judgeRepeats exits with 1 if a key ran more than once, and with 2 if fewer keys ran than are due.
func judgeRepeats(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	due, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	ran := map[string][]string{}
	for _, line := range splitLines(string(text)) {
		f := strings.Fields(line) // TIME table server NAME: key KEY runs, PATH
		if len(f) >= 7 && f[1] == "table" && f[6] == "runs," {
			ran[f[5]] = append(ran[f[5]], f[0])
		}
	}
	if len(ran) < due {
		return fmt.Errorf("%d keys ran, and %d are due", len(ran), due)
	}
	r, err := openRecord(args[0])
	if err != nil {
		return err
	}
	var twice []string
	for key, at := range ran {
		if len(at) > 1 {
			twice = append(twice, key)
		}
	}
	sort.Strings(twice)
	if len(twice) > 0 {
		r.add("BROKEN: %d of %d keys ran more than once: %s", len(twice), len(ran), strings.Join(twice, " "))
		os.Exit(1)
	}
	r.add("held: each of %d keys ran once", len(ran))
	return nil
}
