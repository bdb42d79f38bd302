// Package node assembles one instance of the fleet from its components and runs it.
package node

import (
	"context"
	"net"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/idempotency"
	"pumiceshelf/objectstore"
	"pumiceshelf/quota"
)

// DialFunc connects to an instance, an endpoint or the platform.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc opens a listener.
type ListenFunc func(network, address string) (net.Listener, error)

// Policies selects among the alternative policies compared in docs/design. Zero values select the defaults.
type Policies struct {
	Budget quota.Policy
	Claim  idempotency.Policy
	Route  string
}

// Config configures a Node. Settings must have passed settings.Check.
type Config struct {
	Settings *api.Settings
	Policies Policies
	// Seed for random choices.
	Seed uint64
	Log  log.Interface
	// Metrics, Clock, Dial, Listen, Store and Lister are optional. Tests and experiments set them to inject faults.
	Metrics metrics.Registry
	Clock   clockwork.Clock
	Dial    DialFunc
	Listen  ListenFunc
	Store   objectstore.Store
	Lister  objectstore.InstanceLister
}

// setDefaults sets the optional fields that are nil.
func (c *Config) setDefaults() {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Listen == nil {
		c.Listen = net.Listen
	}
	if c.Store == nil {
		client := newPlatformStore(c)
		c.Store = client
		c.Lister = client
	}
}
