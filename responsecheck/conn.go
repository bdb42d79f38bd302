package responsecheck

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// errServerClosed is the error of a write that was in progress when the server closed the connection, or began afterwards.
var errServerClosed = errors.New("the server closed the connection")

// Conn is a connection to a server. Its reads return io.EOF only if the server closed the connection in order. A kernel reports a reset to
// one call only: if that is a write, the next read of the socket returns io.EOF as well.
type Conn struct {
	net.Conn
	// serverClosed is set once a read has returned io.EOF.
	serverClosed atomic.Bool
	// mu is held during each write and guards writeErr, the first error of a write.
	mu       sync.Mutex
	writeErr error
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.serverClosed.Load() {
		// The deadline is that of checkEnd. An error that is a timeout would blame the network.
		err = errServerClosed
	}
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the connection ended in order, and ErrIncomplete if a write on it has failed. It ends a write that is in
// progress, which may have got the reset already.
func (c *Conn) checkEnd() error {
	c.serverClosed.Store(true)
	// This fails only on a connection that is closed already, whose writes have ended.
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("%w: %v", ErrIncomplete, c.writeErr)
	}
	return io.EOF
}
