package forwardauth_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against request smuggling: a proxy that shares a connection between clients delimits a body by Content-Length,
// and net/http by the chunked encoding that the request has too. The proxy would pass the answer to the hidden request to
// its next client.
func TestRequestHiddenBehindChunksIsNotAnswered(t *testing.T) {
	table, store, check := newTableServer(t), newStore(t), newChecker(t, allow)
	url := startGateway(t, check.URL, store.Addr(), table)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	const body = "0\r\n\r\nGET /table-view/hidden HTTP/1.1\r\nHost: g\r\n\r\n"
	const head = "POST /move-submit/7 HTTP/1.1\r\nHost: g\r\nIdempotency-Key: k\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := fmt.Fprintf(c, head+body, len(body)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	first, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	if second, err := http.ReadResponse(in, nil); err == nil {
		t.Errorf("the hidden request was answered: %s", second.Status)
	}
	if n := table.total(); n > 1 {
		t.Errorf("%d requests reached a table", n)
	}
}
