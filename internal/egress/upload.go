package egress

import (
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"junctionring/control"
	"junctionring/internal/socket"
)

var errBodyTooLong = errors.New("request body exceeds the size limit for streaming")

// Upload is the part of a message's body that is still to come in when the message is first sent. It is read once:
// what was read is not kept, so that no body is ever held whole.
type Upload struct {
	Length int64                     // of the whole body in bytes, including what came first; -1: unknown
	Next   func([]byte) (int, error) // reads the next piece; may be called once more when the attempt is over

	// AnswerDue returns when the client's wait for its answer ends, if it may have sent all of the body already. It
	// advances for as long as the client certainly has not. nil: the wait begins once the target has the last byte.
	AnswerDue func() time.Time

	spent atomic.Bool
	done  atomic.Bool
}

// answerDue returns when the client's wait ends, at the latest wait from now.
func (u *Upload) answerDue(wait time.Duration) time.Time {
	latest := time.Now().Add(wait)
	if u.AnswerDue == nil {
		return latest
	}
	if due := u.AnswerDue(); due.Before(latest) {
		return due
	}
	return latest
}

// BodyConsumed reports whether some of it was read: the message cannot be sent again.
func (u *Upload) BodyConsumed() bool { return u.spent.Load() }

// Done reports whether all of it has come in.
func (u *Upload) Done() bool { return u.done.Load() }

// writeStreamed writes a message whose body is still coming in. If the client stops, or sends less or more than it
// announced, or the target closes the connection or has not accepted the body when the client's wait ends, the attempt
// ends before its last byte: the target has received nothing that it would run.
func (c *conn) writeStreamed(ctx context.Context, head []byte, r *Request) (control.Status, bool) {
	targetClosed, stopWatching := c.watchClose()
	defer stopWatching()
	body := readPieces(r.Rest.Next)
	defer body.close()
	status, ok := c.writeMessage(head, r, body, targetClosed)
	if !ok && ctx.Err() == context.Canceled {
		return control.Cancelled, false
	}
	return status, ok
}

// writeMessage writes the head, and the body piece by piece as it comes in.
func (c *conn) writeMessage(head []byte, r *Request, body *pieceReader,
	targetClosed <-chan struct{}) (control.Status, bool) {
	if c.writeWithTimeout(r.Rest, head) != nil || c.writePiece(r.Rest, r.Body) != nil {
		return control.ConnectFailed, false
	}
	for sent := int64(len(r.Body)); !r.Rest.Done(); {
		next, ok := body.read(targetClosed)
		if !ok {
			r.Rest.spent.Store(true) // the piece being read is lost
			return control.ConnectFailed, false
		}
		sent += int64(len(next.data))
		err := r.Rest.countPiece(next, sent)
		if err != nil {
			return control.Cancelled, false
		}
		if len(next.data) > 0 && c.writePiece(r.Rest, next.data) != nil {
			return control.ConnectFailed, false
		}
	}
	if r.Rest.Length < 0 && c.writeWithTimeout(r.Rest, []byte("0\r\n\r\n")) != nil {
		return control.ConnectFailed, false
	}
	c.SetWriteDeadline(time.Time{})
	return 0, true
}

// countPiece records a piece, with which sent bytes of the body have come in.
func (u *Upload) countPiece(next piece, sent int64) error {
	if len(next.data) > 0 || next.err != nil {
		u.spent.Store(true)
	}
	switch {
	case sent > MaxLong:
		return errBodyTooLong
	case next.err == io.EOF && (u.Length < 0 || sent == u.Length):
		u.done.Store(true)
		return nil
	}
	return next.err
}

// writePiece writes a piece of a body, as a chunk if the body's length is unknown.
func (c *conn) writePiece(u *Upload, data []byte) error {
	if u.Length >= 0 {
		return c.writeWithTimeout(u, data)
	}
	const maxFraming = 24 // bytes: a length in hexadecimal digits and two line ends
	framed := strconv.AppendInt(make([]byte, 0, len(data)+maxFraming), int64(len(data)), 16)
	framed = append(framed, "\r\n"...)
	framed = append(framed, data...)
	return c.writeWithTimeout(u, append(framed, "\r\n"...))
}

// writeWithTimeout writes data, which the target has streamIOTimeout to accept, but only until the client's wait ends.
func (c *conn) writeWithTimeout(u *Upload, data []byte) error {
	latest := time.Now().Add(streamIOTimeout)
	for {
		due := u.answerDue(time.Until(latest))
		c.SetWriteDeadline(due)
		n, err := c.Write(data)
		data = data[n:]
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !due.Before(latest) {
			return err
		}
		if !due.Before(u.answerDue(time.Until(latest))) { // otherwise the client was found to have more to send
			return err
		}
	}
}

// watchClose returns a channel that is closed when the target, or this side, closes the connection. It reads
// nothing from the connection. stop ends the watch, and must be called before anything is read.
func (c *conn) watchClose() (closed <-chan struct{}, stop func()) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		socket.WaitEnd(raw)
	}()
	return done, func() {
		c.SetReadDeadline(time.Unix(1, 0)) // in the past
		<-done
		c.SetReadDeadline(time.Time{})
	}
}

// piece is the result of one read of a client's body.
type piece struct {
	data []byte // valid until the next piece is requested
	err  error
}

// pieceReader reads a client's body in its own goroutine, so that nothing else waits for a client that pauses. The
// goroutine ends with the read that is pending when the pieceReader is closed.
type pieceReader struct {
	requests chan struct{}
	pieces   chan piece
}

func readPieces(next func([]byte) (int, error)) *pieceReader {
	r := &pieceReader{requests: make(chan struct{}, 1), pieces: make(chan piece, 1)}
	go func() {
		buffer := BufferPool{}.Get()
		defer BufferPool{}.Put(buffer)
		for range r.requests {
			n, err := next(buffer)
			r.pieces <- piece{buffer[:n], err}
		}
	}()
	return r
}

// read returns the next piece, or false once the target has closed the connection.
func (r *pieceReader) read(targetClosed <-chan struct{}) (next piece, ok bool) {
	r.requests <- struct{}{}
	select {
	case next = <-r.pieces:
	case <-targetClosed:
	}
	select {
	case <-targetClosed: // even if a piece came as well: it cannot be sent
		return piece{}, false
	default:
		return next, true
	}
}

func (r *pieceReader) close() { close(r.requests) }
