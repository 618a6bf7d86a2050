package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const longAnswerSize = 1 << 20 // bytes

// longAnswerTable is a table server that answers a GET with a long body, whose beginning it sends at once and whose rest
// once finish is closed. To a POST it says nothing.
func longAnswerTable(t *testing.T, first int, begun chan<- struct{}, finish <-chan struct{}) string {
	return serveTable(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			begun <- struct{}{}
			<-r.Context().Done()
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(longAnswerSize))
		io.WriteString(w, strings.Repeat("a", first))
		w.(http.Flusher).Flush()
		begun <- struct{}{}
		<-finish
		io.WriteString(w, strings.Repeat("b", longAnswerSize-first))
	})
}

// serveTable starts a table server.
func serveTable(t *testing.T, handler http.HandlerFunc) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: handler}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// answerIn is how a request ended for its client, and when.
type answerIn struct {
	status, length int
	err            error
	at             time.Time
}

// askOnce sends a request and reads its whole answer.
func askOnce(address, method, path, id string) (a answerIn) {
	c, err := net.Dial("tcp", address)
	if err == nil {
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		key := ""
		if method == http.MethodPost {
			key = "Idempotency-Key: " + id + "\r\nContent-Length: 0\r\n"
		}
		fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: g\r\nX-Request-ID: %s\r\n%sX-Plan: club\r\nX-Timeout: 700m\r\n"+
			"Cookie: account=0000000000000001\r\nX-Quota: units=1,spread=1,first=0\r\n\r\n", method, path, id, key)
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			var n int64
			n, err = io.Copy(io.Discard, resp.Body)
			a.status, a.length = resp.StatusCode, int(n)
		}
	}
	a.err, a.at = err, time.Now()
	return a
}

// Guards against a planned restart that cuts answers which table servers still give, or that sheds other requests late.
func TestShutdownFinishesLongAnswers(t *testing.T) {
	const (
		killAfter   = 1500 * time.Millisecond // by the settings below
		answerEnds  = 2500 * time.Millisecond // after SIGTERM
		withView    = `"HardLimit":0.8,"Worth":6,"Repeat":"idempotency_key","Group":"all","Window":4},{"Name":"table-view","Aim":0.5,"HardLimit":0.8,"Worth":2,"Repeat":"read_like"}]`
		replacement = `"HardLimit":4,"Worth":6,"Repeat":"idempotency_key","Group":"all","Window":4}]`
	)
	for _, c := range []struct {
		name      string
		first     int // bytes that have come by then
		successor bool
	}{
		{"half has come", longAnswerSize / 2, false},
		{"only the head has come", 0, false},
		{"with a successor", longAnswerSize / 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			begun, finish := make(chan struct{}, 2), make(chan struct{})
			table := longAnswerTable(t, c.first, begun, finish)
			known := `{"generation":2,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"` + table +
				`","zone":"hall-a","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}`
			discovery, _ := watched(t)
			counter, _ := dialled(t)
			text := strings.Replace(platform(discovery, counter, known), replacement, withView, 1)
			text = strings.Replace(text, `"listen":"127.0.0.1:0"`, `"listen":"`+free(t)+`"`, 1)
			config, dir := write(t, "config.json", text), t.TempDir()
			old, address := startIn(t, dir, "--config", config)
			long, short := make(chan answerIn, 1), make(chan answerIn, 1)
			go func() { long <- askOnce(address, http.MethodGet, "/table-view/1", "v1") }()
			go func() { short <- askOnce(address, http.MethodPost, "/move-submit/1", "m1") }()
			<-begun
			<-begun
			var next *exec.Cmd
			if c.successor {
				next, _ = startIn(t, dir, "--config", config)
			}
			told := time.Now()
			old.Process.Signal(syscall.SIGTERM)
			time.AfterFunc(answerEnds, func() { close(finish) })
			if a := <-short; a.err != nil || a.status != http.StatusServiceUnavailable || a.at.Sub(told) > killAfter {
				t.Errorf("the request without an answer: %+v, %v after SIGTERM", a, a.at.Sub(told))
			}
			if a := <-long; a.err != nil || a.status != http.StatusOK || a.length != longAnswerSize {
				t.Errorf("the long answer: %+v", a)
			}
			exits(t, old)
			if next != nil {
				next.Process.Signal(syscall.SIGTERM)
				exits(t, next)
			}
		})
	}
}
