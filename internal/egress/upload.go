package egress

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"junctionring/control"
	"junctionring/internal/socket"
)

var errBodyTooLong = errors.New("the body is longer than the most that is streamed")

// Upload is the part of a message's body that is still to come in when the message is first sent on. It is read
// once: what was read of it is not kept, so that no body is ever held whole.
type Upload struct {
	Length int64                     // of the whole body, with what came first; -1: not known
	Next   func([]byte) (int, error) // the next piece; still called, at most once, when the attempt is over
	spent  atomic.Bool
	done   atomic.Bool
}

// Spent tells whether some of it was taken: the message cannot be sent again.
func (u *Upload) Spent() bool { return u.spent.Load() }

// Done tells whether all of it has come in.
func (u *Upload) Done() bool { return u.done.Load() }

// writeLong writes a message whose body is still coming in. A client that stops, or sends less or more than it said,
// and a target that ends the connection, end the attempt before its last byte: the target has got nothing that it
// would run.
func (c *conn) writeLong(ctx context.Context, head []byte, r *Request) (control.Status, bool) {
	targetEnded, stopWatching := c.watchEnd()
	defer stopWatching()
	body := readPieces(r.Rest.Next)
	defer body.close()
	status, ok := c.writeMessage(head, r, body, targetEnded)
	if !ok && ctx.Err() == context.Canceled {
		return control.Cancelled, false
	}
	return status, ok
}

// writeMessage writes head and body, piece by piece as it comes in.
func (c *conn) writeMessage(head []byte, r *Request, body *pieceReader, targetEnded <-chan struct{}) (control.Status, bool) {
	if c.writeWithin(head) != nil || c.writePiece(r.Body, r.Rest.Length) != nil {
		return control.ConnectFailed, false
	}
	for sent := int64(len(r.Body)); !r.Rest.Done(); {
		next, ok := body.read(targetEnded)
		if !ok {
			r.Rest.spent.Store(true) // what is being read is lost
			return control.ConnectFailed, false
		}
		sent += int64(len(next.data))
		err := r.Rest.take(next, sent)
		if err != nil {
			return control.Cancelled, false
		}
		if len(next.data) > 0 && c.writePiece(next.data, r.Rest.Length) != nil {
			return control.ConnectFailed, false
		}
	}
	if r.Rest.Length < 0 && c.writeWithin([]byte("0\r\n\r\n")) != nil {
		return control.ConnectFailed, false
	}
	c.SetWriteDeadline(time.Time{})
	return 0, true
}

// take counts a piece in, with which sent bytes of the body have come.
func (u *Upload) take(next piece, sent int64) error {
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

// writePiece writes a piece of a body: as a chunk where the body's length is not known.
func (c *conn) writePiece(data []byte, length int64) error {
	if length >= 0 {
		return c.writeWithin(data)
	}
	const mostFraming = 24 // bytes: a length in hexadecimal digits and two line ends
	framed := strconv.AppendInt(make([]byte, 0, len(data)+mostFraming), int64(len(data)), 16)
	framed = append(framed, "\r\n"...)
	framed = append(framed, data...)
	return c.writeWithin(append(framed, "\r\n"...))
}

// writeWithin writes to a target that has pieceWait to take it.
func (c *conn) writeWithin(data []byte) error {
	c.SetWriteDeadline(time.Now().Add(pieceWait))
	_, err := c.Write(data)
	return err
}

// watchEnd tells when the target, or this side, ends the connection. It takes nothing off it. stop ends the watch, and
// is to be called before anything is read.
func (c *conn) watchEnd() (ended <-chan struct{}, stop func()) {
	connection, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, func() {}
	}
	over := make(chan struct{})
	go func() {
		defer close(over)
		socket.WaitEnd(connection)
	}()
	return over, func() {
		c.SetReadDeadline(time.Unix(1, 0)) // in the past
		<-over
		c.SetReadDeadline(time.Time{})
	}
}

// piece is what one read of a client's body brought.
type piece struct {
	data []byte // until the next is wanted
	err  error
}

// pieceReader reads a client's body in a goroutine of its own, so that a client that pauses need not be waited for. The
// goroutine ends with the read that is pending as the pieceReader is closed.
type pieceReader struct {
	wanted chan struct{}
	pieces chan piece
}

func readPieces(next func([]byte) (int, error)) *pieceReader {
	r := &pieceReader{wanted: make(chan struct{}, 1), pieces: make(chan piece, 1)}
	go func() {
		buffer := Pieces{}.Get()
		defer Pieces{}.Put(buffer)
		for range r.wanted {
			n, err := next(buffer)
			r.pieces <- piece{buffer[:n], err}
		}
	}()
	return r
}

// read returns the next piece, or false once the target has ended the connection.
func (r *pieceReader) read(targetEnded <-chan struct{}) (next piece, ok bool) {
	r.wanted <- struct{}{}
	select {
	case next = <-r.pieces:
	case <-targetEnded:
	}
	select {
	case <-targetEnded: // also where a piece came as well: nobody takes it
		return piece{}, false
	default:
		return next, true
	}
}

func (r *pieceReader) close() { close(r.wanted) }
