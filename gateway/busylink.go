package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/linkload"
	"pumiceshelf/telemetry"
)

// busyLinkLogInterval is the least time between two log lines about what is treated differently while the link is busy.
const busyLinkLogInterval = time.Second

var (
	descLinkExtended = telemetry.Describe("gateway.link.dials.extended", "connections", "Connections that got a longer timeout because the own network link was busy.")
	descLinkTimeouts = telemetry.Describe("gateway.link.dials.timed_out", "connections", "Connections that timed out while the own network link was busy, which was not taken for a fault of the other side.")
	descLinkFaults   = telemetry.Describe("gateway.link.dials.faults", "connections", "Connections that timed out while the own network link was busy, which was taken for a fault of the other side because connections elsewhere were established or requests elsewhere got a response.")
	descLinkKept     = telemetry.Describe("gateway.link.kept", "requests", "Requests that were not passed on to another instance because connecting to endpoints timed out on the own network link.")
)

// errDialTimeout is the cancellation cause of a connection that took too long.
var errDialTimeout = errors.New("gateway: connecting took too long")

// dialTimeoutError reports that no connection was established within the timeout.
type dialTimeoutError struct {
	address string
	waited  time.Duration
	// byLink is set if the own network link was busy, and the timeout is no sign of a fault of the other side.
	byLink bool
}

func (e *dialTimeoutError) Error() string {
	return fmt.Sprintf("no connection to %s within %s, own network link busy: %t", e.address, e.waited, e.byLink)
}

// Timeout is that of net.Error.
func (e *dialTimeoutError) Timeout() bool { return true }

// isLinkTimeout reports whether connecting timed out because the own network link was busy.
func isLinkTimeout(err error) bool {
	var timeout *dialTimeoutError
	return errors.As(err, &timeout) && timeout.byLink
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// BusyLink gives connections more time while the network link of the instance is busy, and finds out whether a timeout is the fault of
// the other side. Packets wait on a full link for longer than the usual timeout, so that all endpoints would seem out of reach. A nil
// BusyLink is that of a link that is never busy. It is safe for concurrent use.
type BusyLink struct {
	busy  func() bool
	clock clockwork.Clock
	log   log.Interface
	dials linkload.Dials

	extended, timeouts, faults, kept busyLinkCounter

	mu       sync.Mutex
	loggedAt time.Time
}

// busyLinkCounter counts events for a metric and for the next log line.
type busyLinkCounter struct {
	metric   metrics.Counter
	unlogged atomic.Int64
}

// NewBusyLink returns a BusyLink for a function that reports whether the link is busy.
func NewBusyLink(busy func() bool, clock clockwork.Clock, logger log.Interface, r metrics.Registry) *BusyLink {
	return &BusyLink{
		busy: busy, clock: clock, log: logger,
		extended: busyLinkCounter{metric: descLinkExtended.Counter(r)},
		timeouts: busyLinkCounter{metric: descLinkTimeouts.Counter(r)},
		faults:   busyLinkCounter{metric: descLinkFaults.Counter(r)},
		kept:     busyLinkCounter{metric: descLinkKept.Counter(r)},
	}
}

// Busy reports whether the link is busy.
func (l *BusyLink) Busy() bool { return l != nil && l.busy() }

// dialTime returns the timeout for a connection that no request waits for. While the link is busy, that of Dial applies before.
func (l *BusyLink) dialTime() time.Duration {
	if l.Busy() {
		return linkload.MaxDialTime + dialTimeout
	}
	return dialTimeout
}

// Dial returns a dial function whose connections time out after the given time, or later if the link is busy then or was when they began.
func (l *BusyLink) Dial(usual time.Duration, dial dialFunc) dialFunc {
	if l == nil {
		return dial
	}
	return func(parent context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancelCause(parent)
		defer cancel(nil)
		began := l.clock.Now()
		var busy atomic.Bool
		busy.Store(l.busy())
		timer := time.AfterFunc(usual, func() {
			if busy.Load() || l.busy() {
				busy.Store(true)
				l.awaitExtension(ctx, usual)
			}
			cancel(errDialTimeout)
		})
		defer timer.Stop()
		conn, err := dial(ctx, network, address)
		if err == nil {
			l.dials.Connected(address, began, l.clock.Now())
			return conn, nil
		}
		if parent.Err() != nil || !timedOut(ctx, err) {
			return nil, err
		}
		now := l.clock.Now()
		byLink := busy.Load() && !l.dials.TimedOut(address, began, now)
		switch {
		case byLink:
			l.count(&l.timeouts)
		case busy.Load():
			l.count(&l.faults)
		}
		return nil, &dialTimeoutError{address: address, waited: now.Sub(began), byLink: byLink}
	}
}

// responded records that an endpoint responded to a request sent at the given time.
func (l *BusyLink) responded(address string, sent time.Time) {
	if l != nil {
		l.dials.Responded(address, sent, l.clock.Now())
	}
}

// awaitExtension waits until the longer timeout is over, or the connection is established or failed.
func (l *BusyLink) awaitExtension(ctx context.Context, usual time.Duration) {
	limit := linkload.MaxDialTime
	if deadline, ok := ctx.Value(requestDeadlineKey{}).(time.Time); ok {
		// The remaining time when the connection began.
		limit = linkload.DialTime(usual, deadline.Sub(l.clock.Now())+usual)
	}
	if limit <= usual {
		return
	}
	l.count(&l.extended)
	timer := time.NewTimer(limit - usual)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// timedOut reports whether connecting failed with a timeout.
func timedOut(ctx context.Context, err error) bool {
	var netErr net.Error
	return errors.Is(context.Cause(ctx), errDialTimeout) || errors.As(err, &netErr) && netErr.Timeout()
}

// count counts an event, and logs all events since the last line if that is not too recent.
func (l *BusyLink) count(c *busyLinkCounter) {
	c.metric.Inc(1)
	c.unlogged.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.clock.Now(); now.Sub(l.loggedAt) >= busyLinkLogInterval {
		l.loggedAt = now
		l.log.WithFields(log.Fields{
			"extended": l.extended.unlogged.Swap(0), "timed_out": l.timeouts.unlogged.Swap(0), "faults": l.faults.unlogged.Swap(0),
			"kept": l.kept.unlogged.Swap(0),
		}).Info("gateway: own link is busy, connections get more time")
	}
}

// requestDeadlineKey is the context key of the deadline of a request. http.Transport passes the values of a request's context on to its
// dial function, but not the deadline.
type requestDeadlineKey struct{}

// withRequestDeadline returns a context that tells the deadline of the request to BusyLink.Dial.
func withRequestDeadline(ctx context.Context, deadline time.Time) context.Context {
	return context.WithValue(ctx, requestDeadlineKey{}, deadline)
}

// delayedByLink reports whether the endpoint of an attempt has not had the request for the given time because the own link is busy, so
// that its silence means nothing.
func (j *job) delayedByLink(a *attempt, limit time.Duration) bool {
	if !j.gateway.config.Link.Busy() {
		return false
	}
	at := a.writtenAt.Load()
	return at == 0 || a.clock.Now().Sub(time.Unix(0, at)) < limit
}

// keptByLink reports whether the request must not be passed on to another instance because connecting to an endpoint timed out on the own
// link: the request would take the same bytes of that link again. One that another instance passed on is refused so that it can try
// others.
func (j *job) keptByLink() bool {
	if !j.linkTimedOut || j.delegatedBy != "" {
		return false
	}
	link := j.gateway.config.Link
	link.count(&link.kept)
	return true
}

// movesCaller reports whether the caller is asked to close its connection after the response, so that it reaches another instance. The
// server closes it if the caller does not.
func (j *job) movesCaller() bool {
	moves := j.gateway.config.MovesCallers
	return moves != nil && moves()
}
