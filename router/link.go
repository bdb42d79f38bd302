package router

import (
	"context"
	"net"

	"pumiceshelf/api"
	"pumiceshelf/gateway"
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

// linkFull reports whether packets wait on the link, where linkBusy is in effect.
func (r *Router) linkFull() bool {
	return r.sharesLoads() && r.members.Count() >= 2 && r.link.Full(r.config.Clock.Now())
}

// dialers open the connections of an instance to endpoints and other instances. Those to instances pass requests on, those to members
// exchange state.
type dialers struct{ endpoint, instance, member dialFunc }

// connectOverLink returns the dialers of the instance, whose connections are measured and get more time while the link is full.
func (r *Router) connectOverLink() dialers {
	if r.link != nil {
		r.busyLink = gateway.NewBusyLink(r.linkFull, r.config.Clock, r.config.Log, r.config.Metrics)
	}
	member := gateway.NewDialer(gateway.MaxUnackedTime)
	member.Timeout = memberDialTimeout
	return dialers{
		endpoint: r.dialOverLink(gateway.NewDialer(gateway.MaxEndpointUnackedTime)),
		instance: r.dialOverLink(gateway.NewDialer(gateway.MaxUnackedTime)),
		member:   r.dialOverLink(member),
	}
}

// dialOverLink returns the dial function of the configuration or of the given dialer.
func (r *Router) dialOverLink(d *net.Dialer) dialFunc {
	usual := d.Timeout
	if r.busyLink != nil {
		// The timeout of the busy link applies.
		d.Timeout = 0
	}
	dial := r.config.Dial
	if dial == nil {
		dial = d.DialContext
	}
	return r.busyLink.Dial(usual, measureDial(r.link, dial))
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
