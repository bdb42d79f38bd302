package peer

import (
	"context"
	"time"
)

const (
	// pollInterval is how often the domain's owner of listTopic reads the platform's instance list.
	pollInterval = 2 * time.Second
	// slowPollFactor times pollInterval is how often the other instances read it.
	slowPollFactor = 30
	// pollTimeout bounds one read of the list.
	pollTimeout = 2 * time.Second
	// listTopic is the rendezvous topic whose owner reads the list every pollInterval.
	listTopic = "peer/list"
)

// pollInstanceList reads the platform's instance list until ctx ends. One instance per domain reads it at the short interval;
// heartbeats propagate new instances to the others.
func (f *Fleet) pollInstanceList(ctx context.Context) error {
	f.readInstanceList(ctx)
	ticker := f.cfg.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		owner := f.Owner(listTopic).GetIncarnation() == f.cfg.Self.GetIncarnation()
		if owner || n%slowPollFactor == 0 || f.isAlone() {
			f.readInstanceList(ctx)
		}
	}
}

// isAlone reports whether no other instance is known.
func (f *Fleet) isAlone() bool { return len(f.current.Load().members) == 1 }

func (f *Fleet) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	f.counters.listReads.Inc(1)
	l, err := f.cfg.Lister.Instances(ctx)
	if err != nil {
		f.counters.listFailed.Inc(1)
		f.cfg.Log.Debugf("peer: reading the instance list failed: %v", err)
		return
	}
	f.mu.Lock()
	f.table.applyInstanceList(l)
	f.publishIfChanged()
	f.mu.Unlock()
	f.cfg.OnInstanceList(l)
	f.signalGossip()
}
