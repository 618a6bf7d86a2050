package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	window   = 4 * time.Second        // for which the servers of a hall drop a repeat of a key
	workTime = 300 * time.Millisecond // of a move
)

// memory is what the table servers of each hall know together of keys: the first request with a key is to run, and its
// repeats in the same hall are to be dropped for a window.
func memory(args []string) error {
	var mu sync.Mutex
	first := map[string]time.Time{}
	return http.ListenAndServe(args[0], http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		id := q.FormValue("hall") + " " + q.FormValue("key")
		if at, ok := first[id]; ok && time.Since(at) < window {
			io.WriteString(w, "drop")
			return
		}
		first[id] = time.Now()
		io.WriteString(w, "run")
	}))
}

// hallTable is a table server of a hall. It begins a move once its last byte has come, works on it, and answers.
func hallTable(args []string) error {
	listen, name, hall, memory := args[0], args[1], args[2], args[3]
	r, err := openRecord(args[4])
	if err != nil {
		return err
	}
	return http.ListenAndServe(listen, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		key := q.Header.Get("Idempotency-Key")
		resp, err := http.Get("http://" + memory + "/?hall=" + hall + "&key=" + url.QueryEscape(key))
		if err != nil {
			return
		}
		verdict, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		r.add("table server %s of %s: key %s %s", name, hall, key, map[string]string{"run": "runs", "drop": "is dropped as a repeat"}[string(verdict)])
		time.Sleep(workTime)
		fmt.Fprintf(w, "%s %s %s", name, q.RequestURI, body)
	}))
}

// moves sends so many moves, one every 10 ms, each with a key of its own on a connection of its own. No move is sent twice.
func moves(args []string) error {
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	r, err := openRecord(args[2])
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			key := fmt.Sprintf("m%d", i)
			c, err := net.DialTimeout("tcp", args[0], 2*time.Second)
			if err != nil {
				r.add("client: %s is not sent: no connection", key)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(c, "POST /move-submit/%d HTTP/1.1\r\nHost: g\r\nIdempotency-Key: %s\r\nX-Auth-Account: club-%d\r\nX-Auth-Plan: club\r\nContent-Length: 4\r\n\r\ne2e4", i, key, i%10)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				r.add("client: %s gets no answer", key)
				return
			}
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			r.add("client: %s is answered %d %q", key, resp.StatusCode, text)
		})
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	return nil
}

// judgeMoves exits with 1 if a key ran more than once, and with 2 if fewer keys ran than are due.
func judgeMoves(args []string) error {
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
		f := strings.Fields(line) // TIME table server NAME of HALL: key KEY runs
		if len(f) == 9 && f[1] == "table" && f[8] == "runs" {
			ran[f[7]] = append(ran[f[7]], f[3])
		}
	}
	if len(ran) < due {
		return fmt.Errorf("%d keys ran, and %d are due", len(ran), due)
	}
	r, err := openRecord(args[0])
	if err != nil {
		return err
	}
	twice := 0
	for key, servers := range ran {
		if len(servers) > 1 {
			twice++
			r.add("key %s ran %d times, at %s", key, len(servers), strings.Join(servers, " and "))
		}
	}
	if twice > 0 {
		r.add("BROKEN: %d of %d keys ran more than once", twice, len(ran))
		os.Exit(1)
	}
	r.add("held: each of %d keys ran once", len(ran))
	return nil
}
