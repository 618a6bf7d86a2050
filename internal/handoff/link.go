// Package handoff carries out the decisions of package replacement: the successor finds the running process through a
// Unix socket in a shared directory, and listening sockets and connections are passed over it as file descriptors. It
// does not trust its peer: it checks the owner of the socket, the user of the peer, the form of each message and the
// kind of each descriptor.
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
	maxMessageBytes = 4096
	maxFDs          = 8                      // in a message
	sendTimeout     = 200 * time.Millisecond // for a peer that does not read
	maxPathBytes    = 100                    // of a Unix socket's address: the kernel allows 107
)

// messageKind is the type of a message.
type messageKind string

const (
	kindAsk     messageKind = "ask"     // successor: requests the handover of these addresses
	kindLend    messageKind = "lend"    // predecessor: carries the listening sockets of these addresses
	kindRefuse  messageKind = "refuse"  // predecessor: refuses the handover
	kindReady   messageKind = "ready"   // successor: serves
	kindPass    messageKind = "pass"    // predecessor: carries a connection
	kindTook    messageKind = "took"    // successor: acknowledges a connection, before it reads from it
	kindDecline messageKind = "decline" // successor: cannot serve the connection
)

// message is one record on the socket, which preserves record boundaries (SOCK_SEQPACKET): a truncated record is
// malformed.
type message struct {
	Version   int         `json:"v"`
	Kind      messageKind `json:"kind"`
	Addresses []string    `json:"listen,omitempty"`
	Conn      int         `json:"conn,omitempty"`
	Reason    string      `json:"why,omitempty"`
	fds       []int
}

// link is the socket between predecessor and successor.
type link struct{ *net.UnixConn }

var errMalformed = errors.New("malformed or unexpected handover message")

// send writes one message, and blocks for sendTimeout at most. The descriptors need to be open only during the call.
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

// receive reads one message. It closes the descriptors that come with a malformed message.
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
	if flags&unix.MSG_CTRUNC != 0 { // truncated: no descriptor was free for one of them
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

// checkPeer checks that the process at the other end runs as the same user.
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
		err = fmt.Errorf("peer process %d runs as user %d, which is not the user of this process", cred.Pid, cred.Uid)
	}
	return err
}

// checkTCPSocket checks that a descriptor is a stream socket, that it listens exactly if listening is true, and that it is
// bound to the port of an address.
func checkTCPSocket(fd int, listening bool, address string) error {
	wantListening := map[bool]int{false: 0, true: 1}[listening]
	if socketType, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_TYPE); err != nil ||
		socketType != unix.SOCK_STREAM {
		return fmt.Errorf("descriptor %d is not a stream socket", fd)
	}
	if l, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || l != wantListening {
		return fmt.Errorf("descriptor %d: SO_ACCEPTCONN is %d, want %d", fd, l, wantListening)
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
		return fmt.Errorf("descriptor %d is bound to port %d, want the port of %s", fd, port, address)
	}
	return nil
}

// withFD calls f with a socket's descriptor, which stays open during the call.
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

// Path is the path of the handover socket of the process that serves an address.
func Path(dir, address string) string {
	return filepath.Join(dir, "junctionring-"+strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r == '.' {
			return r
		}
		return '-'
	}, strings.ToLower(address))+".sock")
}

// withShortPath calls f with a name for path that fits into the address of a Unix socket.
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

// dial connects to the process that listens on the socket at a path. The socket must belong to this process's user.
func dial(path string) (link, error) {
	var st unix.Stat_t
	if err := unix.Lstat(path, &st); err != nil {
		return link{}, &os.PathError{Op: "lstat", Path: path, Err: err}
	}
	if st.Mode&unix.S_IFMT != unix.S_IFSOCK || int(st.Uid) != os.Getuid() {
		return link{}, fmt.Errorf("%s (mode %o, owner %d) is not a Unix socket of this process's user", path, st.Mode, st.Uid)
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

var errInUse = errors.New("another process listens on the handover socket")

// claim listens on a socket at a path, unless a running process already does. A socket that a killed process left behind
// is replaced atomically: at any moment the path names either the old or the new socket.
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
	listener.SetUnlinkOnClose(false) // by then the path may name another process's socket
	if err := os.Rename(temporary, path); err != nil {
		listener.Close()
		os.Remove(temporary)
		return nil, err
	}
	return listener, nil
}
