// Package peer connects the instances of the fleet with drpc, exchanges heartbeats and keeps the view of live instances.
//
// The view serves efficiency only: two instances may see different views, and no promise rests on their agreeing.
package peer

import (
	"context"
	"errors"
	"net"

	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// DialFunc opens a connection. Tests replace it to cut links.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrNoMember means that no live instance with the incarnation is known.
var ErrNoMember = errors.New("peer: no such live instance")

// Member is what one instance knows of another.
type Member struct {
	Instance *api.Instance
	// Live is false for an instance whose heartbeats stopped or that the platform lists as gone.
	Live bool
	// BundleNumber is the bundle it last said to have in force.
	BundleNumber uint64
	// PlatformReachable is what it last said of its own link to the platform.
	PlatformReachable bool
	// LastHeartbeatUnixMs is when it last answered, in Unix milliseconds; zero if never.
	LastHeartbeatUnixMs int64
}

// View is the live view of the fleet. Implementations are safe for concurrent use and answer from a snapshot.
type View interface {
	// Self returns this instance.
	Self() *api.Instance
	// Members returns all known instances, this one included, in order of incarnations.
	Members() []Member
	// Live returns the live, not leaving instances of a domain, this one included, in order of incarnations.
	Live(domain instance.Domain) []*api.Instance
	// Owner returns the live instance of this domain that comes first by rendezvous hash for a topic.
	Owner(topic string) *api.Instance
	// Ranked returns the live instances of this domain in rendezvous order for a topic.
	Ranked(topic string) []*api.Instance
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Conns opens drpc connections to instances. Implementations pool them and are safe for concurrent use.
type Conns interface {
	// Conn returns a connection to an incarnation, or ErrNoMember. Calls on it may run side by side.
	Conn(ctx context.Context, incarnation instance.Incarnation) (drpc.Conn, error)
}
