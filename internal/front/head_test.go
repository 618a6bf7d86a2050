package front

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against heads of very many fields, whose memory depends on the fields: they must be refused before net/http
// parses them, and also where they were read together with the request before. A head with as many as allowed passes.
func TestHeadsWithTooManyFields(t *testing.T) {
	line := "GET /x HTTP/1.1\r\n"
	head := func(fields int) string {
		return line + "Host: g\r\n" + strings.Repeat("a: b\r\n", fields-1) + "\r\n"
	}
	for _, c := range []struct {
		name, text string
		want       []int
	}{
		{"as many as allowed", head(maxHeadFields), []int{200}},
		{"one more", head(maxHeadFields + 2), []int{431}},
		{"without an end", line + strings.Repeat("a:b\n", 3900), []int{431}},
		{"behind a request", head(2) + head(maxHeadFields+2), []int{200, 431}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			s := NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), MaxHeader, nil, slog.New(slog.DiscardHandler))
			go s.Serve(l, 4)
			client, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			client.SetDeadline(time.Now().Add(10 * time.Second))
			fmt.Fprint(client, c.text)
			in := bufio.NewReader(client)
			for _, want := range c.want {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
				if resp.StatusCode != want {
					t.Errorf("answered %d, want %d", resp.StatusCode, want)
				}
			}
		})
	}
}
