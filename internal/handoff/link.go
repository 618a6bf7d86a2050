// Package handoff carries out what replacement decides: the process that serves and the one that replaces it find
// each other through a Unix socket in a shared folder, and listening sockets and connections go over it as
// descriptors. Nothing that comes over it is taken on trust: the socket's owner, the peer's, the form of each
// message and what a descriptor stands for are checked.
package handoff

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	version   = 1
	mostBytes = 4096 // of a message
	mostFDs   = 8
	sendWait  = 200 * time.Millisecond // a peer that does not read
	mostPath  = 100                    // bytes of a Unix socket's address: the kernel takes 107
)

// kind is what a message says.
type kind string

const (
	ask     kind = "ask"     // successor: I serve these addresses, and want to follow
	lend    kind = "lend"    // old: here are the listening sockets of these
	refuse  kind = "refuse"  // old: you do not follow
	ready   kind = "ready"   // successor: I serve
	pass    kind = "pass"    // old: here is a connection
	took    kind = "took"    // successor: I have it, and read nothing before this
	decline kind = "decline" // successor: it is none that I can serve
)

// message is one record on the socket, which keeps records apart (SOCK_SEQPACKET): one that is cut has no form.
type message struct {
	V      int      `json:"v"`
	Kind   kind     `json:"kind"`
	Listen []string `json:"listen,omitempty"`
	Conn   int      `json:"conn,omitempty"`
	Why    string   `json:"why,omitempty"`
	fds    []int
}

// link is the socket between two processes.
type link struct{ *net.UnixConn }

var errForm = errors.New("not a message of a handover")

// send writes one message, waiting little. use may lend it descriptors for the time of the call.
func (l link) send(m message, fds ...int) error {
	m.V = version
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	l.SetWriteDeadline(time.Now().Add(sendWait))
	_, _, err = l.WriteMsgUnix(b, oob, nil)
	return err
}

// receive reads one message. Descriptors that come with one that is not taken are closed.
func (l link) receive() (m message, err error) {
	b, oob := make([]byte, mostBytes), make([]byte, unix.CmsgSpace(4*mostFDs))
	n, on, flags, _, err := l.ReadMsgUnix(b, oob)
	if err != nil {
		return m, err
	}
	m.fds = rights(oob[:on])
	if flags&unix.MSG_TRUNC != 0 || json.Unmarshal(b[:n], &m) != nil || m.V != version {
		m.close()
		return message{}, errForm
	}
	if flags&unix.MSG_CTRUNC != 0 { // no descriptor was free for one of them
		m.close()
	}
	return m, nil
}

func rights(oob []byte) (all []int) {
	list, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for _, c := range list {
		if fds, err := unix.ParseUnixRights(&c); err == nil {
			all = append(all, fds...)
		}
	}
	return all
}

func (m *message) close() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
	m.fds = nil
}

// peer checks who is at the other end: one of this user's processes.
func (l link) peer() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	if e := raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); e != nil {
		return e
	}
	if err == nil && int(cred.Uid) != os.Getuid() {
		err = fmt.Errorf("process %d is user %d's", cred.Pid, cred.Uid)
	}
	return err
}

// stream checks that a descriptor is a TCP socket, listening or connected, and bound to the port of an address.
func stream(fd int, listening bool, address string) error {
	what := map[bool]int{false: 0, true: 1}[listening]
	if kind, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil || kind != unix.SOCK_STREAM {
		return fmt.Errorf("descriptor %d is no stream socket", fd)
	}
	if l, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || l != what {
		return fmt.Errorf("descriptor %d: listening %d, not %d", fd, l, what)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		return err
	}
	port := 0
	switch name := name.(type) {
	case *unix.SockaddrInet4:
		port = name.Port
	case *unix.SockaddrInet6:
		port = name.Port
	}
	if _, want, err := net.SplitHostPort(address); err != nil || want != fmt.Sprint(port) {
		return fmt.Errorf("descriptor %d is bound to port %d, not to %s", fd, port, address)
	}
	return nil
}

// control runs f on a socket's descriptor.
func control(c syscall.Conn, f func(fd int) error) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	if e := raw.Control(func(fd uintptr) { err = f(int(fd)) }); e != nil {
		return e
	}
	return err
}

// Path is where the process that serves an address is found.
func Path(dir, address string) string {
	return filepath.Join(dir, "junctionring-"+strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r == '.' {
			return r
		}
		return '-'
	}, strings.ToLower(address))+".sock")
}

// reach runs f with a short name for a path: a Unix socket's address has little room.
func reach(path string, f func(string) error) error {
	if len(path) <= mostPath {
		return f(path)
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return f(fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)))
}

// dial connects to the process at a path, if a socket of this user's is there and somebody listens on it.
func dial(path string) (link, error) {
	var st unix.Stat_t
	if err := unix.Lstat(path, &st); err != nil {
		return link{}, &os.PathError{Op: "lstat", Path: path, Err: err}
	}
	if st.Mode&unix.S_IFMT != unix.S_IFSOCK || int(st.Uid) != os.Getuid() {
		return link{}, fmt.Errorf("%s: mode %o of user %d is no socket of ours", path, st.Mode, st.Uid)
	}
	var l link
	err := reach(path, func(name string) (err error) {
		l.UnixConn, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: name, Net: "unixpacket"})
		return err
	})
	if err != nil {
		return link{}, err
	}
	if err := l.peer(); err != nil {
		l.Close()
		return link{}, err
	}
	return l, nil
}

var errHeld = errors.New("another process is found there")

// claim listens at a path, unless a process that lives is found there. A socket left by one that was killed is
// replaced, in one step: whoever looks finds the one or the other.
func claim(path string) (*net.UnixListener, error) {
	l, err := dial(path)
	switch {
	case err == nil:
		l.Close()
		return nil, errHeld
	case errors.Is(err, os.ErrNotExist), errors.Is(err, unix.ECONNREFUSED):
	default:
		return nil, err
	}
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh)
	var in *net.UnixListener
	err = reach(fresh, func(name string) (err error) {
		in, err = net.ListenUnix("unixpacket", &net.UnixAddr{Name: name, Net: "unixpacket"})
		return err
	})
	if err != nil {
		return nil, err
	}
	in.SetUnlinkOnClose(false) // by then it may be another process's
	if err := os.Rename(fresh, path); err != nil {
		in.Close()
		os.Remove(fresh)
		return nil, err
	}
	return in, nil
}
