package gateway

import (
	"net"
	"sync/atomic"

	"github.com/apex/log"

	"pumiceshelf/placement"
	"pumiceshelf/responsecheck"
)

// answers reports whether a response is that to the request with an ID. Endpoints and instances repeat the ID in each response. One
// without it, or with another, may have been on the connection before the request: a late copy, the response to a status check, or
// bytes that look like one.
func (m ResponseMeta) answers(id string) bool { return id != "" && m.RequestID == id }

// foreignResponse ends the connection of an attempt whose response is not shown to be that to its request, and returns the failure. The
// request may have run, whatever the response says.
func (j *job) foreignResponse(a *attempt) *failure {
	j.logger().WithFields(log.Fields{"endpoint": a.ticket.Endpoint.ID, "other_id": a.meta.RequestID, "status": a.resp.StatusCode}).
		Warn("gateway: dropped a response to another request")
	a.conn.close()
	return &failure{reason: reasonResponseMismatch, result: placement.Served, mayHaveRun: true, sent: true}
}

// attemptConn is the connection on which an attempt was sent. It is safe for concurrent use.
type attemptConn struct{ conn atomic.Pointer[net.Conn] }

func (c *attemptConn) set(conn net.Conn) {
	if checked, ok := conn.(*responsecheck.Conn); ok {
		conn = checked.NetConn()
	}
	c.conn.Store(&conn)
}

// get returns the connection, or nil if there is none yet.
func (c *attemptConn) get() net.Conn {
	if conn := c.conn.Load(); conn != nil {
		return *conn
	}
	return nil
}

// close closes the connection. The transport may already have it back, and would send the next request on it.
func (c *attemptConn) close() {
	if conn := c.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}
