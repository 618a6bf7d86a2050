package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// table is a table server: it runs each request that comes to it, and says which server it is.
func table(args []string) error {
	r, err := openRecord(args[2])
	if err != nil {
		return err
	}
	return http.ListenAndServe(args[0], http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r.add("table server %s runs %s %s, key %q", args[1], q.Method, q.RequestURI, q.Header.Get("Idempotency-Key"))
		fmt.Fprintf(w, "%s %s %s", args[1], q.RequestURI, body)
	}))
}

// move sends one move under a key as a client does, and records its answer.
func move(args []string) error {
	r, err := openRecord(args[2])
	if err != nil {
		return err
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+args[0]+"/move-submit/7", strings.NewReader("e2e4"))
	if err != nil {
		return err
	}
	q.Header.Set("Idempotency-Key", args[1])
	q.Header.Set("X-Auth-Account", "ayumi")
	q.Header.Set("X-Auth-Plan", "club")
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	r.add("client: %s is answered %d %q", args[1], resp.StatusCode, text)
	return nil
}

// version prints the number of the configuration version in force at a gateway.
func version(args []string) error {
	client := http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + args[0] + "/config")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var now struct{ Version int64 }
	if err := json.NewDecoder(resp.Body).Decode(&now); err != nil {
		return err
	}
	fmt.Println(now.Version)
	return nil
}
