package peer

import (
	"context"
	"time"
)

const (
	// pollInterval is how often the domain's first instance for listTopic reads the platform's list.
	pollInterval = 2 * time.Second
	// slowPollFactor times pollInterval is how often the others read it.
	slowPollFactor = 30
	// pollTimeout bounds one read of the list.
	pollTimeout = 2 * time.Second
	// listTopic names who reads the list often.
	listTopic = "peer/list"
)

// poll reads the platform's list. One instance per domain reads it often and heartbeats spread what it finds.
func (f *Fleet) poll(ctx context.Context) error {
	f.readList(ctx)
	ticker := f.cfg.Clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
		owner := f.Owner(listTopic).GetIncarnation() == f.cfg.Self.GetIncarnation()
		if owner || n%slowPollFactor == 0 || f.lonely() {
			f.readList(ctx)
		}
	}
}

// lonely says that no other instance is known.
func (f *Fleet) lonely() bool { return len(f.snap.Load().members) == 1 }

func (f *Fleet) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	f.count.listReads.Inc(1)
	l, err := f.cfg.Lister.Instances(ctx)
	if err != nil {
		f.count.listFailed.Inc(1)
		f.cfg.Log.Debugf("peer: instance list: %v", err)
		return
	}
	f.mu.Lock()
	f.table.list(l)
	f.publish()
	f.mu.Unlock()
	f.cfg.OnList(l)
	f.wake()
}
