package objectstore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"pumiceshelf/api"
	"pumiceshelf/telemetry"
)

// callBurstSeconds is the burst size of the rate limit, in seconds of the average rate.
const callBurstSeconds = 2

var (
	descReads       = telemetry.Describe("platform.calls.read", "calls", "Reads and lists sent to the platform.")
	descWrites      = telemetry.Describe("platform.calls.write", "calls", "Conditional updates sent to the platform.")
	descWatches     = telemetry.Describe("platform.calls.watch", "calls", "Watches sent to the platform.")
	descUnavailable = telemetry.Describe("platform.failed.unavailable", "calls", "Calls that the platform did not take.")
	descAmbiguous   = telemetry.Describe("platform.failed.ambiguous", "calls", "Writes whose answer was lost.")
	descConflict    = telemetry.Describe("platform.failed.conflict", "calls", "Writes refused because the version had moved on.")
	descThrottled   = telemetry.Describe("platform.failed.throttled", "calls", "Calls not sent for this instance's own limit.")
	descMalformed   = telemetry.Describe("platform.failed.malformed", "calls", "Answers that were not the platform's protocol.")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Settings *api.PlatformSettings
	Clock    clockwork.Clock
	Metrics  metrics.Registry
	// Store, Lister and Collections execute the calls. Those that a deployment does not use may be nil.
	Store       Store
	Lister      InstanceLister
	Collections Collections
}

// Client applies the rate limit and metrics to an instance's calls to the platform and tracks whether the platform is
// reachable. It implements Store, Collections and InstanceLister and is safe for concurrent use.
type Client struct {
	config         ClientConfig
	limiter        *rate.Limiter
	lastResponseMs atomic.Int64
	lastCallFailed atomic.Bool
	counters       counters
}

type counters struct {
	reads, writes, watches                                 metrics.Counter
	unavailable, ambiguous, conflict, throttled, malformed metrics.Counter
}

// NewClient returns a client that calls the platform through the Store, Lister and Collections of the configuration.
func NewClient(c ClientConfig) *Client {
	r := c.Metrics
	perSecond := c.Settings.CallsPerSecond
	return &Client{
		config:  c,
		limiter: rate.NewLimiter(rate.Limit(perSecond), max(int(callBurstSeconds*perSecond), 1)),
		counters: counters{
			reads:       descReads.Counter(r),
			writes:      descWrites.Counter(r),
			watches:     descWatches.Counter(r),
			unavailable: descUnavailable.Counter(r),
			ambiguous:   descAmbiguous.Counter(r),
			conflict:    descConflict.Counter(r),
			throttled:   descThrottled.Counter(r),
			malformed:   descMalformed.Counter(r),
		},
	}
}

// Reachable reports whether the most recently completed call got a valid response. It is false before the first response.
func (c *Client) Reachable() bool {
	return c.lastResponseMs.Load() != 0 && !c.lastCallFailed.Load()
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if err := c.beginCall(ctx, c.counters.reads); err != nil {
		return Object{}, err
	}
	obj, err := c.config.Store.Get(ctx, key)
	return obj, c.endCall(err)
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	if err := c.beginCall(ctx, c.counters.reads); err != nil {
		return nil, err
	}
	list, err := c.config.Store.List(ctx, prefix, after, limit)
	return list, c.endCall(err)
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	if err := c.beginCall(ctx, c.counters.writes); err != nil {
		return 0, err
	}
	v, err := c.config.Store.Put(ctx, key, value, expected)
	return v, c.endCall(err)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected Version) error {
	if err := c.beginCall(ctx, c.counters.writes); err != nil {
		return err
	}
	return c.endCall(c.config.Store.Delete(ctx, key, expected))
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after Version) (Object, error) {
	if err := c.beginCall(ctx, c.counters.watches); err != nil {
		return Object{}, err
	}
	obj, err := c.config.Store.Watch(ctx, key, after)
	return obj, c.endCall(err)
}

// Instances implements InstanceLister.
func (c *Client) Instances(ctx context.Context) (*api.InstanceList, error) {
	if err := c.beginCall(ctx, c.counters.reads); err != nil {
		return nil, err
	}
	list, err := c.config.Lister.Instances(ctx)
	return list, c.endCall(err)
}

// ListAll implements Collections.
func (c *Client) ListAll(ctx context.Context, collection string) (Listing, error) {
	if err := c.beginCall(ctx, c.counters.reads); err != nil {
		return Listing{}, err
	}
	l, err := c.config.Collections.ListAll(ctx, collection)
	return l, c.endCall(err)
}

// ListAllowStale implements Collections.
func (c *Client) ListAllowStale(ctx context.Context, collection string) (Listing, error) {
	if err := c.beginCall(ctx, c.counters.reads); err != nil {
		return Listing{}, err
	}
	l, err := c.config.Collections.ListAllowStale(ctx, collection)
	return l, c.endCall(err)
}

// WatchAll implements Collections.
func (c *Client) WatchAll(ctx context.Context, collection string, after Revision, wait time.Duration) (Changes, error) {
	if err := c.beginCall(ctx, c.counters.watches); err != nil {
		return Changes{}, err
	}
	changes, err := c.config.Collections.WatchAll(ctx, collection, after, wait)
	return changes, c.endCall(err)
}

// beginCall waits for the rate limit and counts the call. It returns ErrThrottled if the limit does not permit the call
// before the context ends.
func (c *Client) beginCall(ctx context.Context, calls metrics.Counter) error {
	if err := c.limiter.Wait(ctx); err != nil {
		c.counters.throttled.Inc(1)
		return ErrThrottled
	}
	calls.Inc(1)
	return nil
}

// endCall counts a failed call, records whether the platform responded and returns err.
func (c *Client) endCall(err error) error {
	switch {
	case errors.Is(err, ErrAmbiguous):
		c.counters.ambiguous.Inc(1)
	case errors.Is(err, ErrUnavailable):
		c.counters.unavailable.Inc(1)
	case errors.Is(err, ErrMalformed):
		c.counters.malformed.Inc(1)
	case errors.Is(err, ErrConflict):
		c.counters.conflict.Inc(1)
	}
	if err != nil && IsOutage(err) {
		c.lastCallFailed.Store(true)
		return err
	}
	c.lastCallFailed.Store(false)
	c.lastResponseMs.Store(c.config.Clock.Now().UnixMilli())
	return err
}
