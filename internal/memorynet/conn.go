package memorynet

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferBytes is how much one end can send that the other has not read, about the receive window of a TCP connection.
const bufferBytes = 64 << 10

// direction is what one end of a connection sends and the other receives.
type direction struct {
	mu  sync.Mutex
	buf bytes.Buffer
	// changed is signaled at each change of the direction and when a deadline passes.
	changed *sync.Cond
	// senderClosed and receiverClosed are set once that end is closed.
	senderClosed, receiverClosed bool
	// reset is set if the sender resets the connection when it closes it.
	reset                   bool
	sendLimit, receiveLimit deadline
}

func newDirection() *direction {
	d := new(direction)
	d.changed = sync.NewCond(&d.mu)
	return d
}

// deadline is a point in time from which operations fail. The zero value never passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

// setDeadline changes a deadline of the direction.
func (d *direction) setDeadline(limit *deadline, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit.timer != nil {
		limit.timer.Stop()
	}
	*limit = deadline{at: at}
	if wait := time.Until(at); !at.IsZero() && wait > 0 {
		limit.timer = time.AfterFunc(wait, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.changed.Broadcast()
		})
	}
	d.changed.Broadcast()
}

func (d *direction) receive(p []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		switch {
		case d.receiverClosed:
			return 0, net.ErrClosed
		case d.receiveLimit.passed():
			return 0, os.ErrDeadlineExceeded
		case len(p) == 0:
			return 0, nil
		case d.buf.Len() > 0:
			n, err := d.buf.Read(p)
			d.changed.Broadcast()
			return n, err
		case d.senderClosed && d.reset:
			return 0, syscall.ECONNRESET
		case d.senderClosed:
			return 0, io.EOF
		}
		d.changed.Wait()
	}
}

func (d *direction) send(p []byte) (sent int, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		switch {
		case d.senderClosed:
			return sent, net.ErrClosed
		case d.receiverClosed:
			return sent, syscall.EPIPE
		case d.sendLimit.passed():
			return sent, os.ErrDeadlineExceeded
		}
		if n := min(bufferBytes-d.buf.Len(), len(p)-sent); n > 0 {
			_, _ = d.buf.Write(p[sent : sent+n])
			sent += n
			d.changed.Broadcast()
		}
		if sent == len(p) {
			return sent, nil
		}
		d.changed.Wait()
	}
}

// close sets senderClosed or receiverClosed and stops a deadline of that end.
func (d *direction) close(closed *bool, limit *deadline) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*closed = true
	if limit.timer != nil {
		limit.timer.Stop()
	}
	d.changed.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	in, out       *direction
	local, remote address
}

// newConns returns both ends of a new connection.
func newConns(dialer, listener address) (dialed, accepted *conn) {
	there, back := newDirection(), newDirection()
	return &conn{in: back, out: there, local: dialer, remote: listener}, &conn{in: there, out: back, local: listener, remote: dialer}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.receive(p)
	return n, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.send(p)
	return n, c.wrap("write", err)
}

// Close implements net.Conn. The other end can still read what was sent before.
func (c *conn) Close() error {
	c.out.close(&c.out.senderClosed, &c.out.sendLimit)
	c.in.close(&c.in.receiverClosed, &c.in.receiveLimit)
	return nil
}

// SetLinger has the signature of net.TCPConn.SetLinger. With zero seconds, closing resets the connection: after what was sent before, the
// other end reads an error.
func (c *conn) SetLinger(seconds int) error {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	c.out.reset = seconds == 0
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.receiveLimit, t)
	c.out.setDeadline(&c.out.sendLimit, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.receiveLimit, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.sendLimit, t)
	return nil
}

// wrap returns an error as those of TCP connections are.
func (c *conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: networkName, Source: c.local, Addr: c.remote, Err: err}
}
