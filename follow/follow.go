// Package follow keeps a copy of a collection of the object store: it lists it once and then watches it, lists again when
// the store has forgotten the history, and asks other instances while the store does not answer this one.
//
// Invariant: the revision of the copy never goes back, whatever the store or another instance answers.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"pumiceshelf/objectstore"
)

const (
	// watchWait is how long a watch without changes lasts. Each watch is a call that counts; a connection that has gone
	// silent is found by its keep-alive within about a second, and by this wait and the grace of the store's client at
	// the latest in 2.5 s, within the 3 s after a disruption in which instances are not yet held to their bounds.
	watchWait = 1800 * time.Millisecond
	// gatherTime is the least time between two watches that both bring changes, so that many endpoints that start together
	// cost few calls. It adds to the time in which a change is known, of which instances have 2 s.
	gatherTime = 200 * time.Millisecond
	// pauseFirst and pauseMost bound the jittered pause after a failed call.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
	// peerInterval is the least time between two questions to other instances.
	peerInterval = 300 * time.Millisecond
)

// Listener learns what the follower learns. Its methods are called from one goroutine.
type Listener interface {
	// Replace takes in the whole collection.
	Replace(l objectstore.Listing)
	// Change takes in changes since the last revision.
	Change(c objectstore.Changes)
	// Away and Back say that the store has stopped answering, and that it answers again.
	Away(err error)
	Back()
	// Tick is called about once a second.
	Tick()
}

// Config of a Follower.
type Config struct {
	Collection string
	Store      objectstore.Collections
	// Newest asks other instances for a copy newer than a revision.
	Newest   func(ctx context.Context, after objectstore.Revision) (objectstore.Listing, bool)
	Listener Listener
	Clock    clockwork.Clock
	Log      log.Interface
}

// Follower follows one collection.
type Follower struct {
	config Config
	copy   atomic.Pointer[objectstore.Listing]
	// listed is false until the collection has been listed, and again when the history of the watch is gone.
	listed  bool
	away    bool
	askedAt time.Time
	// changedAt is when the last watch with a change ended.
	changedAt time.Time
}

// New returns a follower that has no copy yet.
func New(c Config) *Follower { return &Follower{config: c} }

// Copy returns the collection as last known, or nil. The caller must not change it.
func (f *Follower) Copy() *objectstore.Listing { return f.copy.Load() }

// Run follows the collection until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := pauseFirst
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.config.Listener.Tick()
		if err == nil {
			pause = pauseFirst
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.noteAway(err)
		f.askPeers(ctx)
		select {
		case <-ctx.Done():
		case <-f.config.Clock.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, pauseMost)
	}
	return nil
}

// step makes one call to the store and takes in its answer.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		l, err := f.config.Store.ListAll(ctx, f.config.Collection)
		if err != nil {
			return err
		}
		f.noteBack()
		f.listed = true
		f.replace(l, "store")
		return nil
	}
	f.gather(ctx)
	c, err := f.config.Store.WatchAll(ctx, f.config.Collection, f.copy.Load().Revision, watchWait)
	if errors.Is(err, objectstore.ErrHistoryGone) {
		f.config.Log.WithField("collection", f.config.Collection).WithField("revision", uint64(f.copy.Load().Revision)).
			Warn("follow: history gone, listing again")
		f.noteBack()
		f.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	f.noteBack()
	if len(c.Events) > 0 {
		f.changedAt = f.config.Clock.Now()
	}
	f.change(c)
	return nil
}

// gather waits until a moment after the last change, so that changes in quick succession come with one watch.
func (f *Follower) gather(ctx context.Context) {
	pause := gatherTime - f.config.Clock.Since(f.changedAt)
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.config.Clock.After(pause):
	}
}

// replace takes in a whole collection unless it is older than the copy.
func (f *Follower) replace(l objectstore.Listing, source string) {
	have := f.copy.Load()
	fields := log.Fields{"collection": f.config.Collection, "revision": uint64(l.Revision), "objects": len(l.Objects), "source": source}
	if have != nil && l.Revision < have.Revision {
		f.config.Log.WithFields(fields).WithField("known", uint64(have.Revision)).Warn("follow: older listing ignored")
		return
	}
	f.config.Log.WithFields(fields).Info("follow: collection listed")
	f.copy.Store(&l)
	f.config.Listener.Replace(l)
}

// change takes in the events of a watch.
func (f *Follower) change(c objectstore.Changes) {
	have := f.copy.Load()
	if len(c.Events) == 0 {
		if c.Revision > have.Revision {
			f.copy.Store(&objectstore.Listing{Objects: have.Objects, Revision: c.Revision})
		}
		return
	}
	next := objectstore.Listing{Objects: slices.Clone(have.Objects), Revision: max(c.Revision, have.Revision)}
	for _, e := range c.Events {
		at := slices.IndexFunc(next.Objects, func(o objectstore.Object) bool { return o.Key == e.Object.Key })
		switch {
		case e.Deleted && at >= 0:
			next.Objects = slices.Delete(next.Objects, at, at+1)
		case e.Deleted:
		case at >= 0:
			next.Objects[at] = e.Object
		default:
			next.Objects = append(next.Objects, e.Object)
		}
	}
	f.copy.Store(&next)
	f.config.Listener.Change(c)
}

// askPeers takes in a newer copy of another instance. The watch then goes on from there.
func (f *Follower) askPeers(ctx context.Context) {
	now := f.config.Clock.Now()
	if f.config.Newest == nil || now.Sub(f.askedAt) < peerInterval {
		return
	}
	f.askedAt = now
	var after objectstore.Revision
	if have := f.copy.Load(); have != nil {
		after = have.Revision
	}
	if l, ok := f.config.Newest(ctx, after); ok && l.Revision > after {
		f.replace(l, "instance")
		f.listed = true
	}
}

func (f *Follower) noteAway(err error) {
	f.config.Listener.Away(err)
	if !f.away {
		f.away = true
		f.config.Log.WithField("collection", f.config.Collection).WithError(err).Warn("follow: store lost")
	}
}

func (f *Follower) noteBack() {
	if f.away {
		f.away = false
		f.config.Log.WithField("collection", f.config.Collection).Info("follow: store regained")
	}
	f.config.Listener.Back()
}
