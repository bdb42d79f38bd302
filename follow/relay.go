package follow

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"pumiceshelf/objectstore"
)

const (
	// relayWait is how long another instance waits for changes before it responds without any, and relayGrace how much longer
	// the response may take. probeTimeout bounds the calls to all other candidates, which begin at the same time; it covers a
	// connection over a link whose packets wait for a few hundred milliseconds. Together with the time that a call to the store
	// takes, they are within the shortest time in which an instance must apply a change.
	relayWait    = 800 * time.Millisecond
	relayGrace   = 300 * time.Millisecond
	probeTimeout = 700 * time.Millisecond
	// An instance that found no other one to get changes from looks again after minRelayRetryInterval, and after twice the time
	// each time, up to maxRelayRetryInterval, before jitter is applied. Its relays mostly reach the store again when it does.
	minRelayRetryInterval = 400 * time.Millisecond
	maxRelayRetryInterval = 3200 * time.Millisecond
	// relayedWatchTimeout is the timeout of watches of an instance that passes changes on. An instance without changes learns
	// from it that the store has stopped to respond.
	relayedWatchTimeout = time.Second
	// relayedMaxBackoff bounds the backoff of an instance whose relays respond, but do not reach the store either.
	relayedMaxBackoff = 1600 * time.Millisecond
)

// Relays are the instances that watch the store for others.
type Relays interface {
	// Candidates returns the addresses of the instances that may pass changes on to this one, the preferred one first. There
	// are none if this instance watches the store itself.
	Candidates() []string
	// IsRelay reports whether this instance watches the store for others.
	IsRelay() bool
	// WatchRelay waits for changes of a collection after a revision at the instance with the address.
	WatchRelay(ctx context.Context, address, collection string, after objectstore.Revision, wait time.Duration) (News, error)
}

// relayChoice chooses the instance from which changes come. It is not safe for concurrent use.
//
// An instance stays with a relay as long as it is current. When it is not, all other candidates are asked at the same time, without
// waiting for changes. If none is current, the instance watches the store itself and looks again after some time. A relay that
// freezes or is cut off therefore delays a change by a bounded time, however many instances depend on it.
type relayChoice struct {
	// current is the address of the relay in use, or "" if there is none.
	current string
	// lost is the address of the relay that was in use before, until another one is.
	lost string
	// responded is set if one of the candidates that were asked last responded.
	responded bool
	// retryAt is when to look for a relay again, and interval the time that passes until then, before jitter is applied.
	retryAt  time.Time
	interval time.Duration
}

// next returns the candidates to ask now: the relay in use, or all others. It returns none if this instance is to call the store.
func (r *relayChoice) next(now time.Time, candidates []string) []string {
	if r.current != "" {
		if slices.Contains(candidates, r.current) {
			return []string{r.current}
		}
		r.current = ""
	}
	if now.Before(r.retryAt) {
		return nil
	}
	r.interval = min(max(2*r.interval, minRelayRetryInterval), maxRelayRetryInterval)
	r.retryAt = now.Add(r.interval/2 + rand.N(r.interval))
	others := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return c == r.lost })
	r.lost, r.responded = "", false
	return others
}

// limitWait returns the time that a watch of the store may take, so that it ends when a relay is to be looked for.
func (r *relayChoice) limitWait(now time.Time, candidates []string, wait time.Duration) time.Duration {
	if len(candidates) == 0 {
		return wait
	}
	return min(wait, max(r.retryAt.Sub(now), minRelayRetryInterval))
}

// record records the result of asking a candidate.
func (r *relayChoice) record(address string, responded, current bool) {
	r.responded = r.responded || responded
	switch {
	case current:
		r.current, r.lost, r.interval = address, "", 0
	case r.current == address:
		r.current, r.lost, r.retryAt, r.responded = "", address, time.Time{}, responded
	}
}

// storeFailed records that this instance does not reach the store either, so that it looks for a relay before each call.
func (r *relayChoice) storeFailed() { r.retryAt, r.interval = time.Time{}, 0 }

// maxBackoff bounds the time between two calls to a store that does not respond.
func (r *relayChoice) maxBackoff() time.Duration {
	if r.responded {
		return relayedMaxBackoff
	}
	return maxBackoff
}

// relayResponse is the response of a candidate.
type relayResponse struct {
	address string
	news    News
	err     error
}

// followRelay asks for changes. It returns false if this instance is to call the store.
func (f *Follower) followRelay(ctx context.Context) bool {
	if f.config.Relays == nil {
		return false
	}
	before := f.relays.current
	asked := f.relays.next(f.config.Clock.Now(), f.config.Relays.Candidates())
	if len(asked) == 0 {
		return false
	}
	wait, timeout := time.Duration(0), probeTimeout
	if asked[0] == before {
		wait = f.limitToConfirm(relayWait)
		timeout = wait + relayGrace
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := f.config.Clock.AfterFunc(timeout, cancel)
	defer limit.Stop()
	for r := range f.askRelays(ctx, asked, wait) {
		if r.err == nil {
			r.err = f.applyNews(r.news)
		}
		current := r.err == nil && r.news.Current
		f.relays.record(r.address, r.err == nil, current)
		f.logRelay(before, r)
		if current {
			f.canWatch = true
			f.history.lose()
			f.recordConfirmed(max(r.news.ConfirmedAge, 0))
			return true
		}
	}
	return before != ""
}

// askRelays asks candidates at the same time. The sequence of their responses ends with the last one, or with the consumer.
func (f *Follower) askRelays(ctx context.Context, addresses []string, wait time.Duration) iter.Seq[relayResponse] {
	responses := make(chan relayResponse, len(addresses))
	after := f.revision()
	for _, address := range addresses {
		go func() {
			news, err := f.config.Relays.WatchRelay(ctx, address, f.config.Collection, after, wait)
			responses <- relayResponse{address: address, news: news, err: err}
		}()
	}
	return func(yield func(relayResponse) bool) {
		for range addresses {
			if !yield(<-responses) {
				return
			}
		}
	}
}

// applyNews applies what another instance knows beyond the snapshot.
func (f *Follower) applyNews(n News) error {
	if n.Listing != nil {
		if n.Listing.Revision > f.revision() || f.snapshot.Load() == nil {
			f.replace(*n.Listing, "instance")
		}
		return nil
	}
	if f.snapshot.Load() == nil {
		if n.Current {
			return fmt.Errorf("follow: no listing of %s from another instance", f.config.Collection)
		}
		return nil
	}
	if n.Revision < f.revision() {
		// Another instance that was asked at the same time knew more.
		return nil
	}
	changes := objectstore.Changes{Revision: n.Revision}
	for _, c := range n.Changes {
		changes.Events = append(changes.Events, c.Event)
	}
	f.applyChanges(changes)
	return nil
}

// logRelay logs that this instance begins to get its changes from another one, or no longer does.
func (f *Follower) logRelay(before string, r relayResponse) {
	if f.relays.current == before {
		return
	}
	entry := f.config.Log.WithFields(log.Fields{
		"collection": f.config.Collection, "address": r.address, "revision": uint64(f.revision()), "confirmed_ms": r.news.ConfirmedAge.Milliseconds(),
	})
	if f.relays.current != "" {
		entry.Info("follow: changes come from another instance")
		return
	}
	if r.err != nil {
		entry = entry.WithError(r.err)
	}
	entry.Info("follow: instance passes on no more changes")
}
