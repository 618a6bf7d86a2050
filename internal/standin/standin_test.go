package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// echo is a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// Bytes come whole, in order and not before their time, whatever is lost.
func TestLinkDelaysAndKeepsOrder(t *testing.T) {
	l := NewLink(LinkOptions{Delay: 20 * time.Millisecond, Jitter: 5 * time.Millisecond, Loss: 0.2, Resend: 30 * time.Millisecond, Seed: 3})
	defer l.Close()
	near, err := l.To(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, near)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	begun := time.Now()
	go c.Write(sent)
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("not what was sent: %v", err)
	}
	if took := time.Since(begun); took < 80*time.Millisecond { // a handshake's round trip, there and back
		t.Errorf("back after %v", took)
	}
}

// A silent link keeps bytes until it is healed; what was reset meanwhile never arrives.
func TestLinkSilence(t *testing.T) {
	l := NewLink(LinkOptions{Resend: 10 * time.Millisecond})
	defer l.Close()
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	came := make(chan string, 2)
	go func() {
		for {
			c, err := far.Accept()
			if err != nil {
				return
			}
			go func() {
				text, _ := io.ReadAll(c)
				came <- string(text)
			}()
		}
	}()
	near, err := l.To(far.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	l.Silence()
	kept, lost := dial(t, near), dial(t, near)
	io.WriteString(kept, "kept")
	io.WriteString(lost, "lost")
	kept.Close()
	// Only what the link has read is in it: the reset must not overtake that.
	time.Sleep(50 * time.Millisecond)
	lost.(*net.TCPConn).SetLinger(0)
	lost.Close()
	time.Sleep(50 * time.Millisecond)
	if len(came) != 0 {
		t.Fatal("something came through a silent link")
	}
	if err := l.Heal(); err != nil {
		t.Fatal(err)
	}
	if a, b := <-came, <-came; a+b != "kept" {
		t.Errorf("%q and %q came", a, b)
	}
}

func TestLinkCutAndHealed(t *testing.T) {
	l := NewLink(LinkOptions{})
	defer l.Close()
	near, err := l.To(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, near)
	io.WriteString(c, "a")
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	l.Cut()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection lives on")
	}
	if d, err := net.Dial("tcp", near); err == nil {
		d.Close()
		t.Error("a new connection came up")
	}
	if err := l.Heal(); err != nil {
		t.Fatal(err)
	}
	c = dial(t, near)
	io.WriteString(c, "b")
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Error(err)
	}
}

func TestRegistryWatch(t *testing.T) {
	r, err := NewRegistry("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	r.Put(Instance{ID: "a", Lifecycle: "SERVING"}, Instance{ID: "b", Lifecycle: "SERVING"})
	resp, err := http.Get("http://" + r.Addr() + "/registry/instances?watch=1&from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	in := bufio.NewScanner(resp.Body)
	next := func() (l registryList) {
		for in.Scan() {
			if len(in.Bytes()) > 0 {
				if err := json.Unmarshal(in.Bytes(), &l); err != nil {
					t.Fatal(err)
				}
				return l
			}
		}
		t.Fatalf("the watch ended: %v", in.Err())
		return l
	}
	if l := next(); !l.Reset || len(l.Instances) != 2 || l.Generation != 1 {
		t.Errorf("first %+v", l)
	}
	r.Drain("b")
	if l := next(); l.Reset || len(l.Instances) != 1 || l.Instances[0].Lifecycle != "DRAINING" {
		t.Errorf("then %+v", l)
	}
}

// The record tells a repeat within the window from a second run, and a cold server that is sent too much.
func TestTableRecords(t *testing.T) {
	keys, record := NewKeys(), &Record{}
	o := TableOptions{ID: "t", Keys: keys, Record: record, Window: time.Minute}
	table, err := NewTable("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	defer table.Close()
	post := func(table *Table, key string) int {
		r, err := http.NewRequest("POST", "http://"+table.Addr()+"/move-submit/1", strings.NewReader("e2e4"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", key)
		r.Header.Set("X-Request-ID", key)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	post(table, "k")
	post(table, "k")
	if all := record.All(); len(all) != 2 || !all[0].Ran || all[1].Ran || !all[1].Repeat || len(record.TwiceRun()) > 0 {
		t.Errorf("%+v", all)
	}
	o.Keys = NewKeys() // another group: it does not know the key
	other, err := NewTable("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	post(other, "k")
	if twice := record.TwiceRun(); len(twice) != 1 {
		t.Errorf("ran twice: %v", twice)
	}
	table.Drain()
	if got := post(table, "late"); got != http.StatusServiceUnavailable {
		t.Errorf("a draining server answered %d", got)
	}
	o.ID, o.ColdFrom, o.Ramp = "cold", 0.15, time.Hour
	o.Work = map[string]Work{"move-submit": {Least: time.Second, Most: time.Second + 1}}
	cold, err := NewTable("127.0.0.1:0", o)
	if err != nil {
		t.Fatal(err)
	}
	defer cold.Close()
	cold.started = cold.started.Add(-2 * time.Second)
	cold.mu.Lock()
	fell := false
	for range 4 { // each a second's work, of 0.15 of a core
		fell = cold.falls(1)
	}
	cold.mu.Unlock()
	if fallen := record.Fallen(); !fell || len(fallen) != 1 || fallen[0] != "cold" {
		t.Errorf("fallen: %v", fallen)
	}
}

// Guards against a data race between requests that arrive and whoever reads the record.
func TestRecordIsReadWhileRequestsArrive(t *testing.T) {
	record := &Record{}
	table, err := NewTable("127.0.0.1:0", TableOptions{ID: "s", Record: record, Keys: NewKeys(), Work: map[string]Work{"view": {}}})
	if err != nil {
		t.Fatal(err)
	}
	defer table.Close()
	const requests = 200
	var asking sync.WaitGroup
	asking.Go(func() {
		for range requests {
			resp, err := http.Get("http://" + table.Addr() + "/view")
			if err != nil {
				t.Error(err)
				return
			}
			resp.Body.Close()
		}
	})
	for len(record.All()) < requests && !t.Failed() {
		runtime.Gosched()
	}
	asking.Wait()
}
