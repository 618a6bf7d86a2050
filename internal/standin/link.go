package standin

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkOptions say what a link does to the bytes on it. The same seed loses the same packets of a connection.
type LinkOptions struct {
	Delay  time.Duration // one way
	Jitter time.Duration // more, at the most
	Loss   float64       // of packets. A lost one stalls its connection, as TCP's does, until it is sent again
	Resend time.Duration // after which that happens; 0: 200 ms and a round trip
	Seed   uint64
}

const (
	packet    = 1460 // bytes
	linkQueue = 256  // packets on their way, by connection and direction
)

// Link forwards TCP connections between sites, with the delay, loss and faults of a long line. The kernel
// takes a connection at once, so the round trip of a handshake is added to the first bytes instead.
type Link struct {
	o LinkOptions

	mu     sync.Mutex
	ends   map[string]*linkEnd // by target
	conns  map[net.Conn]bool
	seeds  uint64
	cut    bool
	closed bool
	silent chan struct{} // not nil: closed when the silence ends
	healed time.Time
	met    int // connections and packets that a fault caught
	bytes  int // carried, both ways
}

// Bytes is how many bytes the link has carried, both ways together.
func (l *Link) Bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Met is how many connections and packets the link's faults have caught.
func (l *Link) Met() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.met
}

// linkEnd is where the link listens for one target.
type linkEnd struct {
	address, target string
	listener        net.Listener
}

// NewLink makes a link with no ends.
func NewLink(o LinkOptions) *Link {
	if o.Resend == 0 {
		o.Resend = 200*time.Millisecond + 2*o.Delay
	}
	return &Link{o: o, ends: map[string]*linkEnd{}, conns: map[net.Conn]bool{}}
}

// To is the near address of a far target.
func (l *Link) To(target string) (string, error) { return l.ToFrom("127.0.0.1:0", target) }

// ToFrom is To with a near address of one's own choice.
func (l *Link) ToFrom(listen, target string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.ends[target]; e != nil {
		return e.address, nil
	}
	nl, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	e := &linkEnd{address: nl.Addr().String(), target: target, listener: nl}
	l.ends[target] = e
	go l.accept(e, nl)
	return e.address, nil
}

func (l *Link) accept(e *linkEnd, nl net.Listener) {
	for {
		c, err := nl.Accept()
		if err != nil {
			return
		}
		go l.carry(c, e.target)
	}
}

// keep books a connection of the link, or closes it where the link is cut.
func (l *Link) keep(c net.Conn) (seed uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut || l.closed {
		l.met++
		c.Close()
		return 0, false
	}
	l.conns[c] = true
	l.seeds++
	return l.o.Seed + l.seeds, true
}

func (l *Link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.Close()
}

func (l *Link) carry(near net.Conn, target string) {
	seed, ok := l.keep(near)
	if !ok {
		return
	}
	defer l.drop(near)
	far, err := net.Dial("tcp", target)
	if err != nil { // the other end's refusal, as near as a taken connection can come to it
		near.(*net.TCPConn).SetLinger(0)
		return
	}
	if _, ok := l.keep(far); !ok {
		return
	}
	defer l.drop(far)
	done := make(chan struct{}, 2)
	go func() { l.oneWay(near, far, seed, time.Now().Add(2*l.o.Delay)); done <- struct{}{} }()
	go func() { l.oneWay(far, near, seed+1<<32, time.Now()); done <- struct{}{} }()
	<-done
	<-done
}

// linkPacket is a packet on its way, or the end of what its sender sends.
type linkPacket struct {
	data []byte
	due  time.Time // when it arrives
	end  error     // nil: more follows
}

// direction is one direction of a connection over a link.
type direction struct {
	link     *Link
	from, to net.Conn
	packets  chan linkPacket
	aborted  atomic.Bool // its sender will not send again what was lost
}

// oneWay carries one direction. No byte overtakes another, nor arrives before its time.
func (l *Link) oneWay(from, to net.Conn, seed uint64, open time.Time) {
	d := &direction{link: l, from: from, to: to, packets: make(chan linkPacket, linkQueue)}
	go d.read(rand.New(rand.NewPCG(seed, 0x94d049bb133111eb)), open)
	defer func() {
		for range d.packets { // a reader that is still at it must not wait for ever
		}
	}()
	for p := range d.packets {
		time.Sleep(time.Until(p.due))
		if held := l.admit(p); held && d.aborted.Load() {
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
		if more := d.deliver(p); !more {
			return
		}
	}
}

// read takes in what the sender sends, and draws when each packet of it arrives.
func (d *direction) read(rng *rand.Rand, open time.Time) {
	defer close(d.packets)
	o := &d.link.o
	due := open.Add(o.Delay)
	for {
		b := make([]byte, packet)
		n, err := d.from.Read(b)
		at := time.Now().Add(o.Delay)
		if o.Jitter > 0 {
			at = at.Add(time.Duration(rng.Int64N(int64(o.Jitter))))
		}
		if n > 0 && rng.Float64() < o.Loss {
			at = at.Add(o.Resend)
		}
		if at.After(due) {
			due = at
		}
		d.aborted.Store(err != nil && !errors.Is(err, io.EOF))
		d.packets <- linkPacket{b[:n], due, err}
		if err != nil {
			return
		}
	}
}

// admit waits until no silence holds a packet back, and tells whether one did.
func (l *Link) admit(p linkPacket) (held bool) {
	for {
		silence, healed := l.pass(len(p.data))
		if silence == nil {
			if back := healed.Add(l.o.Resend); p.due.Before(healed) && time.Until(back) > 0 {
				time.Sleep(time.Until(back)) // what was lost in the silence is sent again
			}
			return held
		}
		held = true
		<-silence
	}
}

// pass counts the bytes of a packet as carried, or the packet as caught where the link is silent. silence is closed
// when that ends, and nil where the link is not silent; healed is when it last ended.
func (l *Link) pass(bytes int) (silence <-chan struct{}, healed time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent != nil {
		l.met++
		return l.silent, l.healed
	}
	l.bytes += bytes
	return nil, l.healed
}

// deliver gives a packet to the receiver, and tells whether more may follow.
func (d *direction) deliver(p linkPacket) (more bool) {
	if len(p.data) > 0 {
		if _, err := d.to.Write(p.data); err != nil {
			d.from.Close()
			return false
		}
	}
	if p.end == nil {
		return true
	}
	if tcp, ok := d.to.(*net.TCPConn); ok && errors.Is(p.end, io.EOF) {
		tcp.CloseWrite()
	} else {
		d.to.Close()
	}
	return false
}

// Silence keeps every byte back until Heal: connections stay open and say nothing, new ones too.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent == nil {
		l.silent = make(chan struct{})
	}
}

// Cut resets all connections and refuses new ones until Heal.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
	for _, e := range l.ends {
		e.listener.Close()
	}
	l.reset()
}

func (l *Link) reset() {
	l.met += len(l.conns)
	for c := range l.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(l.conns)
}

// Reset resets all connections and takes new ones.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

// Heal ends a cut and a silence.
func (l *Link) Heal() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent != nil {
		l.healed = time.Now()
		close(l.silent)
		l.silent = nil
	}
	if !l.cut {
		return nil
	}
	l.cut = false
	for _, e := range l.ends {
		nl, err := net.Listen("tcp", e.address)
		if err != nil {
			return err
		}
		e.listener = nl
		go l.accept(e, nl)
	}
	return nil
}

// Close ends the link.
func (l *Link) Close() {
	l.Heal()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, e := range l.ends {
		e.listener.Close()
	}
	l.reset()
}
