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
	protocolVersion = 1
	maxMessageBytes = 4096 // of a message
	maxFDs          = 8
	sendTimeout     = 200 * time.Millisecond // a peer that does not read
	maxPathBytes    = 100                    // bytes of a Unix socket's address: the kernel takes 107
)

// kind is what a message says.
type messageKind string

const (
	kindAsk     messageKind = "ask"     // successor: I serve these addresses, and want to follow
	kindLend    messageKind = "lend"    // old: here are the listening sockets of these
	kindRefuse  messageKind = "refuse"  // old: you do not follow
	kindReady   messageKind = "ready"   // successor: I serve
	kindPass    messageKind = "pass"    // old: here is a connection
	kindTook    messageKind = "took"    // successor: I have it, and read nothing before this
	kindDecline messageKind = "decline" // successor: it is none that I can serve
)

// message is one record on the socket, which keeps records apart (SOCK_SEQPACKET): one that is cut has no form.
type message struct {
	Version   int         `json:"v"`
	Kind      messageKind `json:"kind"`
	Addresses []string    `json:"listen,omitempty"`
	Conn      int         `json:"conn,omitempty"`
	Reason    string      `json:"why,omitempty"`
	fds       []int
}

// link is the socket between two processes.
type link struct{ *net.UnixConn }

var errMalformed = errors.New("not a message of a handover")

// send writes one message, waiting little. use may lend it descriptors for the time of the call.
func (l link) send(m message, fds ...int) error {
	m.Version = protocolVersion
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	var oob []byte
	if len(fds) > 0 {
		oob = unix.UnixRights(fds...)
	}
	l.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, _, err = l.WriteMsgUnix(b, oob, nil)
	return err
}

// receive reads one message. Descriptors that come with one that is not taken are closed.
func (l link) receive() (m message, err error) {
	b, oob := make([]byte, maxMessageBytes), make([]byte, unix.CmsgSpace(4*maxFDs))
	n, on, flags, _, err := l.ReadMsgUnix(b, oob)
	if err != nil {
		return m, err
	}
	m.fds = parseRights(oob[:on])
	if flags&unix.MSG_TRUNC != 0 || json.Unmarshal(b[:n], &m) != nil || m.Version != protocolVersion {
		m.closeFDs()
		return message{}, errMalformed
	}
	if flags&unix.MSG_CTRUNC != 0 { // no descriptor was free for one of them
		m.closeFDs()
	}
	return m, nil
}

func parseRights(oob []byte) (all []int) {
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

func (m *message) closeFDs() {
	for _, fd := range m.fds {
		unix.Close(fd)
	}
	m.fds = nil
}

// peer checks who is at the other end: one of this user's processes.
func (l link) checkPeer() error {
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
func checkTCPSocket(fd int, listening bool, address string) error {
	wantListening := map[bool]int{false: 0, true: 1}[listening]
	if socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil || socketType != unix.SOCK_STREAM {
		return fmt.Errorf("descriptor %d is no stream socket", fd)
	}
	if l, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || l != wantListening {
		return fmt.Errorf("descriptor %d: listening %d, not %d", fd, l, wantListening)
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
func withFD(c syscall.Conn, f func(fd int) error) error {
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
func withShortPath(path string, f func(string) error) error {
	if len(path) <= maxPathBytes {
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
	err := withShortPath(path, func(name string) (err error) {
		l.UnixConn, err = net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: name, Net: "unixpacket"})
		return err
	})
	if err != nil {
		return link{}, err
	}
	if err := l.checkPeer(); err != nil {
		l.Close()
		return link{}, err
	}
	return l, nil
}

var errInUse = errors.New("another process is found there")

// claim listens at a path, unless a process that lives is found there. A socket left by one that was killed is
// replaced, in one step: whoever looks finds the one or the other.
func claim(path string) (*net.UnixListener, error) {
	l, err := dial(path)
	switch {
	case err == nil:
		l.Close()
		return nil, errInUse
	case errors.Is(err, os.ErrNotExist), errors.Is(err, unix.ECONNREFUSED):
	default:
		return nil, err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(temporary)
	var listener *net.UnixListener
	err = withShortPath(temporary, func(name string) (err error) {
		listener, err = net.ListenUnix("unixpacket", &net.UnixAddr{Name: name, Net: "unixpacket"})
		return err
	})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by then it may be another process's
	if err := os.Rename(temporary, path); err != nil {
		listener.Close()
		os.Remove(temporary)
		return nil, err
	}
	return listener, nil
}
