package orders

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

const (
	// leasePrefix is the key prefix of a domain's lease; the domain follows it.
	leasePrefix = "orders/"
	// slotsKey is the key of the object with the fleet's change slots.
	slotsKey = "orders-slots"
)

// errNotHolder means that another incarnation holds the lease, or that its fencing number has changed.
var errNotHolder = errors.New("orders: lease is not held with this fencing number")

// readMessage decodes an object into a message and returns the object's version. If the object does not exist, the message
// stays empty and the version is zero.
func readMessage(ctx context.Context, store objectstore.Store, key string, m proto.Message) (objectstore.Version, error) {
	o, err := store.Get(ctx, key)
	if errors.Is(err, objectstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read %s: %w", key, err)
	}
	if err := proto.Unmarshal(o.Value, m); err != nil {
		return 0, fmt.Errorf("decode %s: %w", key, err)
	}
	return o.Version, nil
}

// writeMessage replaces an object by an encoded message if the object has the expected version.
func writeMessage(ctx context.Context, store objectstore.Store, key string, m proto.Message, expected objectstore.Version) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if _, err := store.Put(ctx, key, value, expected); err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

// ensureLease returns the fencing number of this incarnation's lease on the domain. It acquires the lease if another
// incarnation holds it or if the number is below minFence, the highest number that an engine reported. If the outcome of
// the write is unknown, the next call reads the lease that was written.
func (r *Reconciler) ensureLease(ctx context.Context, minFence uint64) (uint64, error) {
	var l api.OrdersLease
	version, err := readMessage(ctx, r.config.Store, r.leaseKey(), &l)
	if err != nil {
		return 0, err
	}
	if l.Holder == r.config.Self.Incarnation && l.Fence >= minFence {
		return l.Fence, nil
	}
	next := &api.OrdersLease{Holder: r.config.Self.Incarnation, Fence: max(l.Fence, minFence) + 1}
	if err := writeMessage(ctx, r.config.Store, r.leaseKey(), next, version); err != nil {
		return 0, err
	}
	r.counters.leasesAcquired.Inc(1)
	if l.Holder != "" && l.Holder != r.config.Self.Incarnation && r.config.Repairs != nil {
		r.config.Repairs.Add("orders", fmt.Sprintf("orders of %s taken over from %s", r.config.Self.Domain, l.Holder))
	}
	r.config.Log.Infof("orders: acquired lease of domain %s with fencing number %d", r.config.Self.Domain, next.Fence)
	return next.Fence, nil
}

// confirmLease returns errNotHolder unless this incarnation still holds the lease with the given fencing number.
func (r *Reconciler) confirmLease(ctx context.Context, fence uint64) error {
	var l api.OrdersLease
	if _, err := readMessage(ctx, r.config.Store, r.leaseKey(), &l); err != nil {
		return err
	}
	if l.Holder != r.config.Self.Incarnation || l.Fence != fence {
		return errNotHolder
	}
	return nil
}

func (r *Reconciler) leaseKey() string { return leasePrefix + r.config.Self.Domain }
