package egress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"junctionring/internal/core"
)

// MaxLong is the maximum size in bytes of a streamed body.
const MaxLong = 32 << 20

const (
	bufferSize          = 8 << 10                // bytes
	streamIOTimeout     = 10 * time.Second       // for a target that neither accepts nor sends anything
	chunkedSizeFactor   = 8                      // a chunked body may take this many times its size on the wire
	streamAfter         = 250 * time.Millisecond // delay before the beginning of a slow body is passed on
	minChunkFrameBuffer = 64                     // bytes; fewer buffered ones may be only a chunk's framing
)

// BufferPool provides the buffers for bodies in both directions. It implements httputil.BufferPool.
type BufferPool struct{}

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// Get implements httputil.BufferPool.
func (BufferPool) Get() []byte { return buffers.Get().(*[bufferSize]byte)[:] }

// Put implements httputil.BufferPool.
func (BufferPool) Put(b []byte) { buffers.Put((*[bufferSize]byte)(b)) }

// Stream is the body of a long answer, passed on as it comes. Reading it to its end, or Close, closes the
// attempt's connection to the target or releases it.
type Stream struct {
	c         *conn
	body      io.Reader
	remaining int64 // bytes that may still come
	reuse     func() bool
	finish    func(reuse bool) // set by the target; called once

	mu     sync.Mutex
	closed bool
}

var errTooLong = errors.New("answer body exceeds the size limit")

// Read implements io.Reader. A body that the target cuts short ends in an error, so that the client can tell.
func (s *Stream) Read(b []byte) (int, error) {
	s.c.SetReadDeadline(time.Now().Add(streamIOTimeout))
	n, err := s.body.Read(b)
	if s.remaining -= int64(n); s.remaining < 0 {
		n, err = 0, errTooLong
	}
	switch {
	case err == io.EOF:
		s.c.SetReadDeadline(time.Time{})
		s.end(s.reuse())
	case err != nil:
		s.end(false)
	}
	return n, err
}

// Close implements io.Closer.
func (s *Stream) Close() error {
	s.end(false)
	return nil
}

func (s *Stream) end(reuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.finish(reuse)
	}
}

// bodyPrefix is the beginning of a body of unknown length, up to MaxBody. It is read in the background until it is
// known whether the body is taken whole or streamed; then it is the reader of the whole body.
type bodyPrefix struct {
	body    io.Reader
	started chan struct{} // closed when the first bytes are in
	done    chan struct{} // closed when the whole prefix is in

	mu       sync.Mutex
	changed  *sync.Cond
	buf      []byte
	complete bool // the prefix is in: buf has got all of it, up to err
	err      error
}

func readPrefix(body io.Reader) *bodyPrefix {
	p := &bodyPrefix{body: body, started: make(chan struct{}), done: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	go p.run()
	return p
}

func (p *bodyPrefix) run() {
	defer close(p.done)
	buffer := BufferPool{}.Get()
	defer BufferPool{}.Put(buffer)
	for n, total := 0, 0; ; {
		var err error
		n, err = p.body.Read(buffer[:min(bufferSize, MaxBody+1-total)])
		total += n
		if n > 0 && total == n {
			close(p.started)
		}
		p.mu.Lock()
		p.buf = append(p.buf, buffer[:n]...)
		p.complete, p.err = err != nil || total > MaxBody, err
		complete := p.complete
		p.changed.Broadcast()
		p.mu.Unlock()
		if complete {
			return
		}
	}
}

// wait returns the body if it ends within MaxBody. If complete is false, the body is to be read as a stream: with
// streamEarly also soon after its first bytes, unless hold asks to keep these back.
func (p *bodyPrefix) wait(streamEarly bool, hold func(first []byte) bool) (body []byte, complete bool, err error) {
	select {
	case <-p.done:
	case <-p.started:
		if streamEarly && !p.endsBeforeStreaming(hold) {
			return nil, false, nil
		}
		<-p.done
	}
	switch {
	case p.err == io.EOF:
		return p.buf, true, nil
	case p.err != nil:
		return nil, true, p.err
	}
	return nil, false, nil
}

// endsBeforeStreaming reports whether the prefix is in before it is to be passed on. Every streamAfter it checks
// with hold whether the bytes so far must still be kept back.
func (p *bodyPrefix) endsBeforeStreaming(hold func(first []byte) bool) bool {
	ticker := time.NewTicker(streamAfter)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return true
		case <-ticker.C:
			if !hold(p.received()) {
				return false
			}
		}
	}
}

// received returns what has come in so far.
func (p *bodyPrefix) received() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf
}

// Read implements io.Reader.
func (p *bodyPrefix) Read(b []byte) (int, error) {
	p.mu.Lock()
	for len(p.buf) == 0 && !p.complete {
		p.changed.Wait()
	}
	if len(p.buf) > 0 {
		n := copy(b, p.buf)
		if p.buf = p.buf[n:]; len(p.buf) == 0 {
			p.buf = nil // releases the memory, as a stream may last long
		}
		p.mu.Unlock()
		return n, nil
	}
	err := p.err
	p.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return p.body.Read(b)
}

// availableReader reads a chunked body without waiting for more than has come. net/http's chunk reader waits until
// the buffer is full or the chunk ends, which would hold back a slow body.
type availableReader struct {
	in   *bufio.Reader // that body reads from
	body io.Reader
}

// Read implements io.Reader. At least an eighth of what is buffered is body, however small the chunks are.
func (p availableReader) Read(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		if p.in.Buffered() == 0 {
			if n > 0 {
				return n, nil
			}
			p.in.Peek(1)
		}
		var k int
		k, err = p.body.Read(b[n:min(len(b), n+max(1, p.in.Buffered()/8))])
		if n += k; p.in.Buffered() < minChunkFrameBuffer {
			break
		}
	}
	return n, err
}

// Streaming implements core.Streamer.
func (r *Reply) Streaming() bool { return r.Long != nil }

// Close implements core.Streamer.
func (r *Reply) Close() error {
	if r.Long != nil {
		return r.Long.Close()
	}
	return nil
}

// clientBody is a streamed body on its way to the client: its end is counted, and a client that disconnects closes
// it.
type clientBody struct {
	*Stream
	stop  func() bool
	onEnd func(whole bool)
	once  sync.Once
}

func newClientBody(ctx context.Context, s *Stream, c *core.Core, class int) *clientBody {
	p := &clientBody{Stream: s, onEnd: func(whole bool) { c.CountStreamed(class, whole) }}
	p.stop = context.AfterFunc(ctx, func() { s.Close() })
	return p
}

func (p *clientBody) Read(b []byte) (int, error) {
	n, err := p.Stream.Read(b)
	if err != nil {
		p.once.Do(func() { p.onEnd(err == io.EOF) })
	}
	return n, err
}

func (p *clientBody) Close() error {
	p.stop()
	p.once.Do(func() { p.onEnd(false) })
	return p.Stream.Close()
}

// newStream returns a stream of an answer that is too long to be taken whole, of at most limit bytes.
func (c *conn) newStream(resp *http.Response, body io.Reader, limit int64) *Stream {
	return &Stream{c: c, body: body, remaining: limit, reuse: func() bool { return !resp.Close && c.in.Buffered() == 0 }}
}
