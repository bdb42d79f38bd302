// Package peer connects the instances of the fleet with drpc, exchanges heartbeats and maintains the view of live instances.
//
// The view is an optimization only: two instances may have different views, and no guarantee depends on their agreement.
package peer

import (
	"context"
	"errors"
	"net"

	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// DialFunc opens a connection. Tests replace it to simulate network partitions.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrNoMember means that no live instance with the requested incarnation is known.
var ErrNoMember = errors.New("peer: no live instance with this incarnation")

// Member is the state of one instance of the fleet as this instance sees it.
type Member struct {
	Instance *api.Instance
	// Live is false for an instance that missed heartbeats for the failure timeout or whose address a later incarnation uses.
	Live bool
	// BundleNumber is the number of the active bundle that it last reported.
	BundleNumber uint64
	// PlatformReachable is true if it last reported the platform as reachable.
	PlatformReachable bool
	// LastHeartbeatUnixMs is when a heartbeat was last exchanged with it, in Unix milliseconds; zero if never.
	LastHeartbeatUnixMs int64
}

// View is the current view of the fleet. Implementations are safe for concurrent use and return the state of one snapshot.
type View interface {
	// Self returns this instance.
	Self() *api.Instance
	// Members returns all known instances including this one, sorted by incarnation.
	Members() []Member
	// Live returns the instances of a domain that are live and not draining, including this one, sorted by incarnation.
	Live(domain instance.Domain) []*api.Instance
	// Owner returns the instance that ranks first in this domain by rendezvous hash of a topic, among those that are live and
	// not draining.
	Owner(topic string) *api.Instance
	// Ranked returns the instances of this domain that are live and not draining, by descending rendezvous hash of a topic.
	Ranked(topic string) []*api.Instance
	// Changed returns a channel that is closed when the view next changes.
	Changed() <-chan struct{}
}

// Conns returns drpc connections to instances. Implementations pool them and are safe for concurrent use.
type Conns interface {
	// Conn returns a connection to an incarnation, or ErrNoMember. It supports concurrent calls.
	Conn(ctx context.Context, incarnation instance.Incarnation) (drpc.Conn, error)
}
