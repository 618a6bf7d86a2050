package handoff

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

var discardLog = slog.New(slog.DiscardHandler)

// old is a process that serves, as far as a handover sees it.
type oldProcess struct {
	*Predecessor
	dir, address string
	l            net.Listener
}

func newOldProcess(t *testing.T) *oldProcess {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	o := &oldProcess{dir: t.TempDir(), address: l.Addr().String(), l: l}
	o.Predecessor = NewPredecessor(o.dir, o.address, map[string]net.Listener{o.address: l}, discardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { o.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	await(t, func() bool { _, err := os.Lstat(Path(o.dir, o.address)); return err == nil })
	return o
}

// await waits for what another goroutine is about to do.
func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); {
		if time.Now().After(end) {
			t.Fatal("it never came about")
		}
		runtime.Gosched()
	}
}

func awaitClosed(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(20 * time.Second):
		t.Fatalf("%s: never", what)
	}
}

// pair is a client's connection and its end at the old process.
func (o *oldProcess) pair(t *testing.T) (client net.Conn, server *net.TCPConn) {
	t.Helper()
	client, err := net.Dial("tcp", o.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	client.SetDeadline(time.Now().Add(20 * time.Second))
	c, err := o.l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return client, c.(*net.TCPConn)
}

// The successor gets the listening socket itself, and a connection with what its client sends meanwhile; the old
// process's descriptor may be closed.
func TestHandedOver(t *testing.T) {
	o := newOldProcess(t)
	s, err := Connect(o.dir, discardLog, o.address, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	l := s.Listener(o.address)
	if l == nil || s.Listener("127.0.0.1:1") != nil {
		t.Fatal("not the sockets that the old process has were lent")
	}
	defer l.Close()
	adopted := make(chan *net.TCPConn, 1)
	ran := make(chan error, 1)
	client, server := o.pair(t)
	begun, _, _ := o.NotifyShutdown()
	select {
	case <-begun:
		t.Fatal("it begins before the successor serves")
	default:
	}
	go func() { ran <- s.Run(context.Background(), func(c *net.TCPConn) bool { adopted <- c; return true }) }()
	awaitClosed(t, begun, "the handover begins")
	io.WriteString(client, "sent mean")
	if !o.Transfer(server) {
		t.Fatal("the successor did not take the connection")
	}
	server.Close()
	io.WriteString(client, "while\n")
	c := <-adopted
	defer c.Close()
	if line, err := bufio.NewReader(c).ReadString('\n'); line != "sent meanwhile\n" {
		t.Errorf("the successor read %q, %v", line, err)
	}
	o.l.Close() // the queue is the successor's as well
	late, err := net.Dial("tcp", o.address)
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	if c, err := l.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
}

// What a successor may do wrong at each point: the old process keeps what was not acknowledged, and goes on as one
// that nobody follows.
func TestSuccessorFails(t *testing.T) {
	for name, script := range map[string]func(t *testing.T, l link, sent <-chan bool){
		"never answers": func(t *testing.T, l link, sent <-chan bool) { <-sent },
		"ends before it answers": func(t *testing.T, l link, sent <-chan bool) {
			l.receive()
			l.Close()
		},
		"cuts a message in half": func(t *testing.T, l link, sent <-chan bool) {
			l.receive()
			l.Write([]byte(`{"v":1,"kind":"too`))
		},
		"says what is no message of its": func(t *testing.T, l link, sent <-chan bool) { l.send(message{Kind: kindLend}) },
		"declines": func(t *testing.T, l link, sent <-chan bool) {
			m, _ := l.receive()
			l.send(message{Kind: kindDecline, Conn: m.Conn})
		},
		"takes another connection": func(t *testing.T, l link, sent <-chan bool) {
			m, _ := l.receive()
			l.send(message{Kind: kindTook, Conn: m.Conn + 1})
			l.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOldProcess(t)
			l, err := dial(Path(o.dir, o.address))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			l.send(message{Kind: kindAsk, Addresses: []string{o.address}})
			if m, err := l.receive(); err != nil || m.Kind != kindLend || len(m.fds) != 1 {
				t.Fatalf("lent %+v, %v", m, err)
			}
			l.send(message{Kind: kindReady})
			client, server := o.pair(t)
			begun, _, lost := o.NotifyShutdown()
			awaitClosed(t, begun, "the handover begins")
			sent := make(chan bool, 1)
			go script(t, l, sent)
			if o.Transfer(server) {
				t.Error("a connection that was not acknowledged counts as taken")
			}
			sent <- true
			io.WriteString(client, "x")
			if n, err := server.Read(make([]byte, 1)); n != 1 {
				t.Errorf("the connection is not the old process's any more: %v", err)
			}
			if name != "declines" {
				awaitClosed(t, lost, "the successor counts as lost")
				if err := l.send(message{Kind: kindTook, Conn: 1}); err == nil { // else both would read
					t.Error("a successor that was given up can still acknowledge")
				}
			}
		})
	}
}

// A second process that would follow is told why it may not, and the first one is not disturbed; once that has
// gone, another may.
func TestTwoSuccessors(t *testing.T) {
	o := newOldProcess(t)
	first, err := Connect(o.dir, discardLog, o.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Connect(o.dir, discardLog, o.address); err == nil || !strings.Contains(err.Error(), "another process succeeds") {
		t.Errorf("the second was told %v", err)
	}
	first.Close()
	await(t, func() bool {
		s, err := Connect(o.dir, discardLog, o.address)
		if err == nil {
			s.Close()
		}
		return err == nil
	})
	_, alone, _ := o.NotifyShutdown()
	awaitClosed(t, alone, "nobody follows")
	if _, err := Connect(o.dir, discardLog, o.address); err == nil {
		t.Error("a process that ends took a successor")
	}
}

// What an old process may send that is not what belongs there is not used.
func TestReceivedListenersAreChecked(t *testing.T) {
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	fdOf := func(f func() (*os.File, error)) int {
		file, err := f()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { file.Close() })
		return int(file.Fd())
	}
	for name, fds := range map[string][]int{
		"no descriptor":            nil,
		"a file":                   {int(file.Fd())},
		"a datagram socket":        {fdOf(udp.(*net.UDPConn).File)},
		"another address's socket": {fdOf(other.(*net.TCPListener).File)},
	} {
		t.Run(name, func(t *testing.T) {
			dir, address := t.TempDir(), "127.0.0.1:9"
			listener, err := claim(Path(dir, address))
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			go func() {
				c, err := listener.AcceptUnix()
				if err != nil {
					return
				}
				l := link{c}
				l.receive()
				l.send(message{Kind: kindLend, Addresses: []string{address}}, fds...)
			}()
			if s, err := Connect(dir, discardLog, address); err == nil {
				s.Close()
				t.Error("it was taken")
			}
		})
	}
}

// Where no old process can be reached the new one is told so at once, and can be found itself afterwards: a socket
// that a killed process left, none at all, a long path; not in a folder that cannot hold one, and not in the place of
// what is no socket.
func TestSocketPaths(t *testing.T) {
	for name, c := range map[string]struct {
		make  func(t *testing.T, dir string) string
		found bool
	}{
		"nothing there": {func(t *testing.T, dir string) string { return dir }, true},
		"left by a killed process": {func(t *testing.T, dir string) string {
			l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: Path(dir, "a:1"), Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			l.SetUnlinkOnClose(false)
			l.Close()
			return dir
		}, true},
		"a long path": {func(t *testing.T, dir string) string {
			dir = filepath.Join(dir, strings.Repeat("long", 40))
			if err := os.Mkdir(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			return dir
		}, true},
		"no room": {func(t *testing.T, dir string) string { return filepath.Join(dir, "missing") }, false},
		"a file": {func(t *testing.T, dir string) string {
			if err := os.WriteFile(Path(dir, "a:1"), nil, 0o600); err != nil {
				t.Fatal(err)
			}
			return dir
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := c.make(t, t.TempDir())
			if s, err := Connect(dir, discardLog, "a:1"); err == nil {
				s.Close()
				t.Fatal("somebody was found")
			}
			listener, err := claim(Path(dir, "a:1"))
			if (err == nil) != c.found {
				t.Fatalf("claimed: %v", err)
			}
			if err != nil {
				return
			}
			defer listener.Close()
			if _, err := claim(Path(dir, "a:1")); !errors.Is(err, errInUse) {
				t.Errorf("a second process claims it: %v", err)
			}
			if l, err := dial(Path(dir, "a:1")); err != nil {
				t.Errorf("it is not found: %v", err)
			} else {
				l.Close()
			}
		})
	}
}

// Whatever bytes come, a message is read or refused, and no descriptor that came with them stays open.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"v":1,"kind":"pass","conn":3}`))
	f.Add([]byte(`{"v":2,"kind":"pass"}`))
	f.Add([]byte("\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC, 0)
		if err != nil || len(b) == 0 || len(b) > 1<<16 {
			t.Skip()
		}
		null, err := unix.Open(os.DevNull, unix.O_RDONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		unix.Sendmsg(pair[0], b, unix.UnixRights(null), nil, 0)
		unix.Close(pair[0])
		unix.Close(null)
		file := os.NewFile(uintptr(pair[1]), "pair")
		c, err := net.FileConn(file)
		file.Close()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		m, err := link{c.(*net.UnixConn)}.receive()
		if err != nil && len(m.fds) > 0 {
			t.Errorf("%q: not taken, with %d descriptors", b, len(m.fds))
		}
		m.closeFDs()
	})
}
