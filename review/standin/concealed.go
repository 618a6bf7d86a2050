package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// concealed sends one request as a bad client does: it has both Content-Length and Transfer-Encoding, and its chunk conceals
// another request. With "plain" it has only the chunks, and so conceals nothing. Whatever comes back is recorded.
func concealed(args []string) error {
	r, err := openRecord(args[2])
	if err != nil {
		return err
	}
	const identity = "X-Auth-Account: ayumi\r\nX-Auth-Plan: club\r\n"
	inner := "POST /move-submit/concealed HTTP/1.1\r\nHost: g\r\nIdempotency-Key: concealed\r\nContent-Length: 4\r\n" + identity + "\r\ne2e4"
	size := fmt.Sprintf("%x\r\n", len(inner))
	version, length := "1.0", fmt.Sprintf("Connection: keep-alive\r\nContent-Length: %d\r\n", len(size))
	if args[1] == "plain" {
		version, length = "1.1", ""
	}
	head := "POST /move-submit/7 HTTP/" + version + "\r\nHost: g\r\nIdempotency-Key: outer\r\n" + identity + length + "Transfer-Encoding: chunked\r\n\r\n"
	message := head + size + inner + "\r\n0\r\n\r\n"
	r.add("client sends %q", message)
	c, err := net.DialTimeout("tcp", args[0], 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(c, message); err != nil {
		return err
	}
	in := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			r.add("client: the connection is over")
			return nil
		}
		text, err := io.ReadAll(resp.Body)
		r.add("client is answered %s %q, %v", resp.Status, text, err)
		if err != nil {
			return nil
		}
	}
}

// judgeConcealed exits with 1 if a table server ran the concealed request, and with 2 if it ran nothing at all.
func judgeConcealed(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	r, err := openRecord(args[0])
	if err != nil {
		return err
	}
	switch {
	case strings.Contains(string(text), "runs POST /move-submit/concealed"):
		r.add("BROKEN: the request that was concealed in a body was passed on, and a table server ran it")
		os.Exit(1)
	case !strings.Contains(string(text), "runs POST /move-submit/7, key \"before\""):
		return fmt.Errorf("the gateway passes nothing on")
	}
	r.add("held: the concealed request was not passed on")
	return nil
}
