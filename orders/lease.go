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
	// leasePrefix comes before the domain in the key of a lease.
	leasePrefix = "orders/"
	// slotsKey is the key of the fleet's change slots.
	slotsKey = "orders-slots"
)

// errNotHolder means that the lease belongs to another incarnation.
var errNotHolder = errors.New("orders: lease is held by another")

// read fills a message from an object. An absent object leaves it empty, at version zero.
func read(ctx context.Context, store objectstore.Store, key string, m proto.Message) (objectstore.Version, error) {
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

// write replaces an object at a version.
func write(ctx context.Context, store objectstore.Store, key string, m proto.Message, expected objectstore.Version) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	if _, err := store.Put(ctx, key, value, expected); err != nil {
		return fmt.Errorf("write %s: %w", key, err)
	}
	return nil
}

// ensureLease returns the fencing number of this incarnation's lease on the domain, taking the lease if another holds
// it. The number is at least the highest that an engine has seen. A write whose answer was lost is found by the next call.
func (r *Reconciler) ensureLease(ctx context.Context, seen uint64) (uint64, error) {
	var l api.OrdersLease
	version, err := read(ctx, r.config.Store, r.leaseKey(), &l)
	if err != nil {
		return 0, err
	}
	if l.Holder == r.config.Self.Incarnation && l.Fence >= seen {
		return l.Fence, nil
	}
	next := &api.OrdersLease{Holder: r.config.Self.Incarnation, Fence: max(l.Fence, seen) + 1}
	if err := write(ctx, r.config.Store, r.leaseKey(), next, version); err != nil {
		return 0, err
	}
	r.meters.taken.Inc(1)
	if l.Holder != "" && l.Holder != r.config.Self.Incarnation && r.config.Repairs != nil {
		r.config.Repairs.Add("orders", fmt.Sprintf("orders of %s taken over from %s", r.config.Self.Domain, l.Holder))
	}
	r.config.Log.Infof("orders: lease of %s taken with fence %d", r.config.Self.Domain, next.Fence)
	return next.Fence, nil
}

// confirmLease returns errNotHolder unless this incarnation still holds the lease with the fencing number.
func (r *Reconciler) confirmLease(ctx context.Context, fence uint64) error {
	var l api.OrdersLease
	if _, err := read(ctx, r.config.Store, r.leaseKey(), &l); err != nil {
		return err
	}
	if l.Holder != r.config.Self.Incarnation || l.Fence != fence {
		return errNotHolder
	}
	return nil
}

func (r *Reconciler) leaseKey() string { return leasePrefix + r.config.Self.Domain }
