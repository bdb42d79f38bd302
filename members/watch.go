package members

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/delta"
	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
)

const (
	// maxWatchWait bounds the time that another instance may wait for changes.
	maxWatchWait = 10 * time.Second
	// minCompressedBytes is the size from which the values of a listing are compressed.
	minCompressedBytes = 1 << 10
)

// errUnknownBase is returned for a difference to a value that this instance does not have.
var errUnknownBase = errors.New("members: difference to an unknown value")

// Candidates implements follow.Relays.
func (m *Members) Candidates() []string { return m.roster.Load().relays }

// IsRelay implements follow.Relays.
func (m *Members) IsRelay() bool { return m.roster.Load().isRelay }

// WatchRelay implements follow.Relays for the instance that is to get the changes.
func (m *Members) WatchRelay(ctx context.Context, address, collection string, after objectstore.Revision, wait time.Duration) (follow.News, error) {
	reply, err := m.callWatch(ctx, address, collection, after, wait)
	if err != nil {
		return follow.News{}, err
	}
	news, err := m.decodeNews(collection, reply)
	if errors.Is(err, errUnknownBase) {
		// Without a revision, the reply contains the whole collection.
		if reply, err = m.callWatch(ctx, address, collection, 0, 0); err != nil {
			return follow.News{}, err
		}
		news, err = m.decodeNews(collection, reply)
	}
	return news, err
}

func (m *Members) callWatch(ctx context.Context, address, collection string, after objectstore.Revision, wait time.Duration) (*api.WatchReply, error) {
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).Watch(ctx, &api.WatchRequest{Collection: collection, After: uint64(after), Wait: durationpb.New(wait)})
}

// Watch implements the Fleet service.
func (m *Members) Watch(ctx context.Context, request *api.WatchRequest) (*api.WatchReply, error) {
	follower := m.config.Follower(request.Collection)
	if follower == nil {
		return nil, fmt.Errorf("members: collection %q is not followed", request.Collection)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if wait := min(request.Wait.AsDuration(), maxWatchWait); wait > 0 {
		limit := m.config.Clock.AfterFunc(wait, cancel)
		defer limit.Stop()
	} else {
		// A timer of 0 s runs at once where it is started. In a synctest bubble under the race detector, several of them at the same
		// time crash the Go runtime (go1.26.8), which has one race context for all timers of a bubble.
		cancel()
	}
	return encodeNews(follower.Await(ctx, objectstore.Revision(request.After)))
}

func encodeNews(n follow.News) (*api.WatchReply, error) {
	reply := &api.WatchReply{Current: n.Current, ConfirmedAge: durationpb.New(n.ConfirmedAge), Revision: uint64(n.Revision)}
	for _, c := range n.Changes {
		reply.Events = append(reply.Events, &api.StoredEvent{Object: encodeChange(c), Deleted: c.Deleted})
	}
	if n.Listing == nil {
		return reply, nil
	}
	reply.Listing = &api.CompressedCollection{Revision: uint64(n.Listing.Revision)}
	for _, o := range n.Listing.Objects {
		object, err := encodeObject(o)
		if err != nil {
			return nil, err
		}
		reply.Listing.Objects = append(reply.Listing.Objects, object)
	}
	return reply, nil
}

// encodeChange encodes the object of a change as the difference to the one before, if that is shorter.
func encodeChange(c follow.Change) *api.CompressedObject {
	out := &api.CompressedObject{Key: c.Object.Key, Version: uint64(c.Object.Version), Encoding: &api.CompressedObject_Value{Value: c.Object.Value}}
	if c.Difference == nil {
		return out
	}
	if d := c.Difference(); len(d) > 0 && len(d) < len(c.Object.Value) {
		out.Encoding, out.BaseVersion = &api.CompressedObject_Difference{Difference: d}, uint64(c.Base)
	}
	return out
}

func encodeObject(o objectstore.Object) (*api.CompressedObject, error) {
	out := &api.CompressedObject{Key: o.Key, Version: uint64(o.Version), Encoding: &api.CompressedObject_Value{Value: o.Value}}
	if len(o.Value) < minCompressedBytes {
		return out, nil
	}
	data, err := delta.Encode(nil, o.Value)
	if err != nil {
		return nil, fmt.Errorf("members: encode %s: %w", o.Key, err)
	}
	out.Encoding = &api.CompressedObject_Compressed{Compressed: data}
	return out, nil
}

// decodeNews decodes the reply of another instance. Differences are to values of this instance's snapshot, or to those of earlier
// events of the reply.
func (m *Members) decodeNews(collection string, reply *api.WatchReply) (follow.News, error) {
	n := follow.News{
		Current: reply.Current, ConfirmedAge: max(reply.ConfirmedAge.AsDuration(), 0), Revision: objectstore.Revision(reply.Revision),
	}
	if reply.Listing != nil {
		listing, err := decodeCompressed(reply.Listing)
		n.Listing = &listing
		return n, err
	}
	if len(reply.Events) == 0 {
		return n, nil
	}
	known := m.knownObjects(collection)
	for _, e := range reply.Events {
		o, err := decodeObject(e.Object, known[e.Object.GetKey()])
		if err != nil {
			return follow.News{}, err
		}
		known[o.Key] = o
		n.Changes = append(n.Changes, follow.Change{Event: objectstore.Event{Object: o, Deleted: e.Deleted}})
	}
	return n, nil
}

// knownObjects returns the objects of this instance's snapshot of a collection by key.
func (m *Members) knownObjects(collection string) map[string]objectstore.Object {
	known := make(map[string]objectstore.Object)
	if follower := m.config.Follower(collection); follower != nil && follower.Snapshot() != nil {
		for _, o := range follower.Snapshot().Objects {
			known[o.Key] = o
		}
	}
	return known
}

func decodeCompressed(c *api.CompressedCollection) (objectstore.Listing, error) {
	out := objectstore.Listing{Revision: objectstore.Revision(c.Revision)}
	for _, object := range c.Objects {
		o, err := decodeObject(object, objectstore.Object{})
		if err != nil {
			return objectstore.Listing{}, err
		}
		out.Objects = append(out.Objects, o)
	}
	return out, nil
}

// decodeObject decodes an object. base is the object that its value may be a difference to.
func decodeObject(c *api.CompressedObject, base objectstore.Object) (objectstore.Object, error) {
	o := objectstore.Object{Key: c.GetKey(), Version: objectstore.Version(c.GetVersion())}
	var err error
	switch e := c.GetEncoding().(type) {
	case *api.CompressedObject_Value:
		o.Value = e.Value
	case *api.CompressedObject_Compressed:
		o.Value, err = delta.Decode(nil, e.Compressed)
	case *api.CompressedObject_Difference:
		if uint64(base.Version) != c.BaseVersion {
			return o, fmt.Errorf("%w: %s at version %d is given by that at %d, known is %d", errUnknownBase, o.Key, o.Version, c.BaseVersion, base.Version)
		}
		o.Value, err = delta.Decode(base.Value, e.Difference)
	}
	if err != nil {
		return o, fmt.Errorf("members: decode %s at version %d: %w", o.Key, o.Version, err)
	}
	return o, nil
}
