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

// oldProcess is a serving process, reduced to its part in a handover.
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

// await waits for a condition that another goroutine brings about.
func await(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); {
		if time.Now().After(end) {
			t.Fatal("the condition was not met within 20 s")
		}
		runtime.Gosched()
	}
}

func awaitClosed(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(20 * time.Second):
		t.Fatalf("timed out after 20 s waiting for: %s", what)
	}
}

// pair returns a client's connection and its server end in the predecessor.
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

// The successor receives the listening socket itself, and a connection with the data that its client sends during the
// handover; the predecessor may then close its own descriptor.
func TestHandedOver(t *testing.T) {
	o := newOldProcess(t)
	s, err := Connect(o.dir, discardLog, o.address, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	l := s.Listener(o.address)
	if l == nil || s.Listener("127.0.0.1:1") != nil {
		t.Fatal("the listening sockets received are not those of the predecessor")
	}
	defer l.Close()
	adopted := make(chan *net.TCPConn, 1)
	ran := make(chan error, 1)
	client, server := o.pair(t)
	begun, _, _ := o.NotifyShutdown()
	select {
	case <-begun:
		t.Fatal("the handover begins before the successor serves")
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
	o.l.Close() // the successor shares the accept queue
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

// A successor fails at each point of the handover: the predecessor keeps the connection that was not acknowledged, and
// continues without a successor.
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
				t.Fatalf("received %+v, %v, want one listening socket", m, err)
			}
			l.send(message{Kind: kindReady})
			client, server := o.pair(t)
			begun, _, lost := o.NotifyShutdown()
			awaitClosed(t, begun, "the handover begins")
			sent := make(chan bool, 1)
			go script(t, l, sent)
			if o.Transfer(server) {
				t.Error("a connection that was not acknowledged was reported as transferred")
			}
			sent <- true
			io.WriteString(client, "x")
			if n, err := server.Read(make([]byte, 1)); n != 1 {
				t.Errorf("the predecessor can no longer read from the connection: %v", err)
			}
			if name != "declines" {
				awaitClosed(t, lost, "the successor is reported as lost")
				if err := l.send(message{Kind: kindTook, Conn: 1}); err == nil { // otherwise both processes would read
					t.Error("a successor that was disconnected can still acknowledge")
				}
			}
		})
	}
}

// While there is a successor, a second process is refused with a reason, and the first is not disturbed; once the first
// has gone, another may become the successor.
func TestTwoSuccessors(t *testing.T) {
	o := newOldProcess(t)
	first, err := Connect(o.dir, discardLog, o.address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Connect(o.dir, discardLog, o.address); err == nil || !strings.Contains(err.Error(), "another process succeeds") {
		t.Errorf("the second process got error %v", err)
	}
	first.Close()
	await(t, func() bool {
		s, err := Connect(o.dir, discardLog, o.address)
		if err == nil {
			s.Close()
		}
		return err == nil
	})
	_, noSuccessor, _ := o.NotifyShutdown()
	awaitClosed(t, noSuccessor, "the report that there is no successor")
	if _, err := Connect(o.dir, discardLog, o.address); err == nil {
		t.Error("a process that is shutting down accepted a successor")
	}
}

// The successor rejects descriptors from the predecessor that are not listening sockets of the requested address.
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
				t.Error("the descriptors were accepted")
			}
		})
	}
}

// Where no predecessor can be reached, Connect fails at once, and the new process can listen at the path itself: when
// there is no socket, when a killed process left one behind, and when the path is long. It cannot listen in a directory
// that cannot hold a socket, nor in place of a file that is not a socket.
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
				t.Fatal("Connect reached a process")
			}
			listener, err := claim(Path(dir, "a:1"))
			if (err == nil) != c.found {
				t.Fatalf("claim returned %v, want success: %v", err, c.found)
			}
			if err != nil {
				return
			}
			defer listener.Close()
			if _, err := claim(Path(dir, "a:1")); !errors.Is(err, errInUse) {
				t.Errorf("second claim of the path: got %v, want errInUse", err)
			}
			if l, err := dial(Path(dir, "a:1")); err != nil {
				t.Errorf("the listening process cannot be reached: %v", err)
			} else {
				l.Close()
			}
		})
	}
}

// Whatever data arrives, receive returns a message or an error, and descriptors that came with a malformed message do not
// stay open.
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
			t.Errorf("%q: receive returned an error and kept %d descriptors", b, len(m.fds))
		}
		m.closeFDs()
	})
}
