package follow

import (
	"context"
	"slices"
	"sync"
	"time"

	"pumiceshelf/delta"
	"pumiceshelf/objectstore"
)

const (
	// maxHistoryBytes bounds the values of the changes that an instance keeps for others. An instance that lacks more gets the
	// whole collection.
	maxHistoryBytes = 512 << 10
	// maxHistoryEvents bounds their number.
	maxHistoryEvents = 1000
	// minDifferenceBytes is the size from which a value is passed on as the difference to the one before.
	minDifferenceBytes = 1 << 10
)

// Change is a change of an object, with what it takes to pass it on in few bytes.
type Change struct {
	objectstore.Event
	// Base is the version of the object before the change, and Difference returns the difference between the two values, or
	// nil. Difference is nil for a small value, and if there was none before.
	Base       objectstore.Version
	Difference func() []byte
}

// newChange returns the change from an object, if it existed, to that of the event.
func newChange(before *objectstore.Object, e objectstore.Event) Change {
	c := Change{Event: e}
	if before == nil || e.Deleted || len(e.Object.Value) < minDifferenceBytes || len(before.Value) == 0 {
		return c
	}
	c.Base = before.Version
	c.Difference = sync.OnceValue(func() []byte {
		d, err := delta.Encode(before.Value, e.Object.Value)
		if err != nil {
			return nil
		}
		return d
	})
	return c
}

// News is what an instance knows of a collection beyond a revision.
type News struct {
	// Current is set if the instance watches the collection in the store, and the store responded to its last call.
	Current bool
	// ConfirmedAge is the time since the store last responded to the instance.
	ConfirmedAge time.Duration
	// Revision is that up to which Changes contains all changes.
	Revision objectstore.Revision
	Changes  []Change
	// Listing is set, in place of Changes, if the instance no longer has the changes since the revision.
	Listing *objectstore.Listing
}

// history holds what a follower tells other instances: its last changes, and whether it is current. It is safe for concurrent
// use.
type history struct {
	mu sync.Mutex
	// complete is the revision after which the batches contain all changes, revision the one up to which they do.
	complete, revision objectstore.Revision
	batches            []batch
	events, bytes      int
	current            bool
	// stopped is set once the instance stops and passes on no more changes.
	stopped     bool
	confirmedAt time.Time
	// changed is closed when there are new changes, or the instance is no longer current.
	changed chan struct{}
}

// batch holds changes up to a revision.
type batch struct {
	to      objectstore.Revision
	changes []Change
}

func newHistory() *history { return &history{changed: make(chan struct{})} }

// replace forgets all changes because the collection was listed.
func (h *history) replace(revision objectstore.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.complete, h.revision, h.batches, h.events, h.bytes = revision, revision, nil, 0, 0
	h.notify()
}

// append adds changes up to a revision. The oldest ones are dropped if there are too many.
func (h *history) append(changes []Change, to objectstore.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision = max(h.revision, to)
	if len(changes) == 0 {
		return
	}
	h.batches = append(h.batches, batch{to: h.revision, changes: changes})
	h.count(changes, 1)
	for len(h.batches) > 0 && (h.events > maxHistoryEvents || h.bytes > maxHistoryBytes) {
		h.count(h.batches[0].changes, -1)
		h.complete = h.batches[0].to
		h.batches = slices.Delete(h.batches, 0, 1)
	}
	h.notify()
}

func (h *history) count(changes []Change, sign int) {
	for _, c := range changes {
		h.events += sign
		h.bytes += sign * len(c.Object.Value)
	}
}

// confirm records that the store responded to this instance.
func (h *history) confirm(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current, h.confirmedAt = !h.stopped, now
}

// lose records that this instance does not watch the store.
func (h *history) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current {
		h.current = false
		h.notify()
	}
}

// stop makes the instance never current again.
func (h *history) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped, h.current = true, false
	h.notify()
}

// notify wakes up all that wait. The caller holds the mutex.
func (h *history) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// after returns what is known beyond a revision, without a listing, and a channel that is closed when there is more. missing
// is set if the changes since the revision are no longer known.
func (h *history) after(revision objectstore.Revision, now time.Time) (n News, missing bool, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n = News{Current: h.current, ConfirmedAge: now.Sub(h.confirmedAt), Revision: h.revision}
	if revision < h.complete {
		return n, true, h.changed
	}
	for _, b := range h.batches {
		if b.to > revision {
			n.Changes = append(n.Changes, b.changes...)
		}
	}
	return n, false, h.changed
}

// Await returns what this instance knows of the collection beyond a revision. It waits for changes until the context ends, as
// long as this instance is current.
func (f *Follower) Await(ctx context.Context, revision objectstore.Revision) News {
	for {
		n, missing, changed := f.history.after(revision, f.config.Clock.Now())
		if missing {
			n.Listing = f.snapshot.Load()
		}
		if !n.Current || len(n.Changes) > 0 || n.Listing != nil || ctx.Err() != nil {
			return n
		}
		// At the end of the context everything is read once more, because the age of the confirmation is another one then.
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// StopRelaying makes other instances look for another one to get changes from. It may be called at any time.
func (f *Follower) StopRelaying() { f.history.stop() }
