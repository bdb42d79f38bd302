package router

import (
	"context"
	"net"

	"pumiceshelf/api"
	"pumiceshelf/linkload"
)

// bytesPerMegabit converts the rate of a link from megabits to bytes.
const bytesPerMegabit = 1e6 / 8

// newLink returns the monitor of the instance's network link, or nil if the settings do not have its rate.
func newLink(s *api.RouterSettings) *linkload.Monitor {
	if s.LinkMbps == 0 {
		return nil
	}
	return linkload.New(s.LinkMbps * bytesPerMegabit)
}

// linkBusy reports whether the link is too busy for the callers that this instance has, so that new connections should reach other
// instances. It is in effect where load reports are shared, and while there is another instance.
func (r *Router) linkBusy() bool {
	if r.link == nil || !r.sharesLoads() || r.members.Count() < 2 {
		return false
	}
	busy, changed := r.link.Busy(r.config.Clock.Now())
	if changed {
		r.config.Log.WithField("busy", busy).Info("router: link is too busy for more callers, or no longer")
	}
	return busy
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// measureDial returns a dial function whose connections are measured.
func measureDial(m *linkload.Monitor, dial dialFunc) dialFunc {
	if m == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return measuredConn{conn, m}, nil
	}
}

// measuredListener accepts connections that are measured.
type measuredListener struct {
	net.Listener
	meter *linkload.Monitor
}

// measureListener returns a listener whose connections are measured.
func measureListener(m *linkload.Monitor, l net.Listener) net.Listener {
	if m == nil {
		return l
	}
	return measuredListener{l, m}
}

func (l measuredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return measuredConn{conn, l.meter}, nil
}

// measuredConn records the bytes of a connection in the monitor of the link.
type measuredConn struct {
	net.Conn
	meter *linkload.Monitor
}

func (c measuredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.Received(n)
	return n, err
}

func (c measuredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Sent(n)
	return n, err
}
