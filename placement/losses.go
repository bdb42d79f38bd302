package placement

import (
	"time"

	"pumiceshelf/registry"
)

// lossSignal signals that an endpoint was found to have ended.
type lossSignal struct {
	// channel receives a value for each signal that is not pending already.
	channel chan struct{}
	// sequence is the sequence number of the last loss that was signaled.
	sequence uint64
}

func newLossSignal() lossSignal { return lossSignal{channel: make(chan struct{}, 1)} }

// send signals a loss and returns its sequence number.
func (l *lossSignal) send() uint64 {
	l.sequence++
	select {
	case l.channel <- struct{}{}:
	default:
	}
	return l.sequence
}

// SameLossInterval is the time between two losses of one endpoint up to which they are the same one. The later one may be a report of
// the same loss that took as long from another instance: when each was adopted, exchanges between 86 instances dated losses up to
// 0.43 s later within two seconds, so that they lasted longer than they should. A loss is recorded that long after the end of the
// process at the earliest, so that the earlier one is still later than that end.
const SameLossInterval = 50 * time.Millisecond

// minLossSignalInterval is the time between two losses of one endpoint from which the later one is signaled as well. Within it,
// other instances know enough from the first one.
const minLossSignalInterval = 500 * time.Millisecond

// lossRetention is how long the loss of an endpoint is kept that is no longer listed. Instances pass losses on for 7.5 s, and one that
// lags behind may list the endpoint for longer.
const lossRetention = 10 * time.Second

// LostConnection reports whether this instance lost a connection to the endpoint, or could not connect to it, after the given
// time, or the endpoint was found to have ended.
func (c *Chooser) LostConnection(e registry.Endpoint, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	return s != nil && s.endpoint.SameProcess(e) && (s.lostConnectionAt.After(after) || s.endedAt.After(after))
}

// LastLoss returns when this instance last lost a connection to the endpoint, could not connect to it, or learned that it had ended. It is
// zero if it never did.
func (c *Chooser) LastLoss(e registry.Endpoint) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	switch {
	case s == nil || !s.endpoint.SameProcess(e):
		return time.Time{}
	case s.endedAt.After(s.lostConnectionAt):
		return s.endedAt
	}
	return s.lostConnectionAt
}

// MayHaveRestarted reports whether the endpoint may have started again after the given time: it was found to have ended, or it lost
// a connection and was not found to live on.
func (c *Chooser) MayHaveRestarted(e registry.Endpoint, after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	return s != nil && s.endpoint.SameProcess(e) &&
		(s.endedAt.After(after) || s.lostConnectionAt.After(after) && s.lostConnectionAt.After(s.refutedAt))
}

// RefuteLosses records that the endpoint has not ended when connections to it were lost, up to the given time. It returns true if
// another one was lost later.
func (c *Chooser) RefuteLosses(e registry.Endpoint, until time.Time) (lostAgain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[e.ID]
	if s == nil || !s.endpoint.SameProcess(e) {
		return false
	}
	if until.After(s.refutedAt) {
		s.refutedAt = until
	}
	return s.lostConnectionAt.After(s.refutedAt)
}

// Loss is the loss of connections to an endpoint that was then found to have ended.
type Loss struct {
	Endpoint registry.Endpoint
	At       time.Time
	// Sequence orders the losses by when this instance recorded them. Losses shortly after one another have the same one.
	Sequence uint64
}

// Losses returns the last loss of each endpoint, if it is after the given time.
func (c *Chooser) Losses(after time.Time) (out []Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.states {
		if s.endedAt.After(after) {
			out = append(out, Loss{Endpoint: s.endpoint, At: s.endedAt, Sequence: s.lossSequence})
		}
	}
	return out
}

// RecordLoss records that an endpoint was found to have ended, by this instance or another one. It must be listed.
func (c *Chooser) RecordLoss(l Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.states[l.Endpoint.ID]
	if s == nil || s.endpoint.Version < l.Endpoint.Version {
		// The state may be that of an earlier process: this one may have got no request of this instance yet.
		s = c.stateOf(l.Endpoint)
	}
	if !s.endpoint.SameProcess(l.Endpoint) || l.At.Sub(s.endedAt) <= SameLossInterval {
		return
	}
	if l.At.Sub(s.endedAt) > minLossSignalInterval {
		s.lossSequence = c.losses.send()
	}
	s.endedAt = l.At
}

// LossSignal returns a channel that receives a value when a loss was recorded.
func (c *Chooser) LossSignal() <-chan struct{} { return c.losses.channel }
