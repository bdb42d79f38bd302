package endpoint

import (
	"context"
	"net/http"
)

// pendingExchange is an exchange whose response is awaited in the background.
type pendingExchange struct {
	*exchange
	// done is closed once the response has started or the exchange has failed.
	done chan struct{}
}

func (c *HTTPClient) start(ctx context.Context, r request) *pendingExchange {
	p := &pendingExchange{exchange: c.newExchange(ctx, r), done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.roundTrip(r)
	}()
	return p
}

// abandon cancels the exchange and waits until done is closed.
func (p *pendingExchange) abandon(cause error) {
	p.cancel(cause)
	<-p.done
}

// send sends the call and waits until its response starts. While the response of a model call is overdue, it requests it on new
// connections as well. If the engine sends it there first, send returns that exchange as resumed, and x is canceled. The caller must
// close both.
func (a *callRunner) send(ctx context.Context, r request) (x, resumed *exchange) {
	if !r.resumable {
		return a.client.send(ctx, r), nil
	}
	p := a.client.start(ctx, r)
	select {
	case <-p.done:
		return p.exchange, nil
	case <-p.overdue:
	}
	if !p.mayHaveSent() {
		p.abandon(errNoProgress)
		return p.exchange, nil
	}
	return p.exchange, a.resumeOverdue(ctx, p)
}

// maxUnknown is how often an engine may not know an overdue call until its connection counts as one that lost it. The first time is
// no proof, because an engine that was silent may serve the attempt to resume before the call. Each further time delays the end of a
// call that is lost by a resumeBackoff or more.
const maxUnknown = 2

// resumeOverdue requests the response of an overdue call until it starts there or at the call itself. If the engine does not know the
// call or the attempts are exhausted, the call is canceled.
func (a *callRunner) resumeOverdue(ctx context.Context, p *pendingExchange) *exchange {
	for unknown := 0; a.overdueAttempts < maxIdleResumes && !a.lost; {
		if a.overdueAttempts > 0 {
			select {
			case <-p.done:
				return nil
			case <-a.client.cfg.Clock.After(resumeBackoff << (a.overdueAttempts - 1)):
			}
		}
		a.overdueAttempts++
		r := a.client.start(ctx, a.resumeRequest(0))
		select {
		case <-p.done:
			r.abandon(context.Canceled)
			r.close()
			return nil
		case <-r.done:
		}
		if r.err == nil && r.res.StatusCode == http.StatusOK {
			p.abandon(context.Canceled)
			incReason(a.client.counters.interrupted, ReasonNoProgress)
			return r.exchange
		}
		if r.err == nil && r.res.StatusCode == http.StatusNotFound {
			// The call's connection may have lost it, so that other requests must not use those of the same age.
			p.discardConnections()
			unknown++
			a.lost = unknown == maxUnknown
		}
		r.close()
	}
	select {
	case <-p.done:
		a.lost = false
	default:
		p.abandon(errNoProgress)
	}
	return nil
}

// readResumed reads a response that was requested because the call's own was overdue.
func (a *callRunner) readResumed(ctx context.Context, x *exchange) Result {
	read := func(s *stream) Result {
		reason, done := s.readResumed(x)
		if done {
			return s.completeResult()
		}
		return s.resume(ctx, reason)
	}
	if a.call.Stream {
		return read(newStream(a, a.sink))
	}
	return a.assembleFromStream(read)
}
