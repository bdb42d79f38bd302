package endpoint

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/responsecheck"
	"pumiceshelf/telemetry"
)

// Defaults of Config.
const (
	defaultProgressTimeout  = 10 * time.Second
	defaultMaxResponseBytes = 8 << 20
	// stallTimeoutDivisor sets the default StallTimeout to ProgressTimeout / stallTimeoutDivisor.
	stallTimeoutDivisor = 8
)

// Limits of calls.
const (
	// cancelTimeout is the longest wait for an engine's usage report after a cancellation.
	cancelTimeout = 2 * time.Second
	// maxIdleResumes is how many consecutive attempts to resume a stream may yield no new token.
	maxIdleResumes = 4
	// resumeBackoff is the delay before the second attempt; it doubles with each further attempt.
	resumeBackoff = 25 * time.Millisecond
	// maxEventBytes is the maximum size of a stream event.
	maxEventBytes = 1 << 20
	// maxRejectionBytes is how much of an engine's error message for a rejected request is read.
	maxRejectionBytes = 512
	// maxControlResponseBytes is the maximum size of a response to a control call.
	maxControlResponseBytes = 1 << 20
)

// Config configures an HTTPClient.
type Config struct {
	// Dial opens connections; nil selects net.Dialer.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	Repairs *telemetry.Repairs
	// ProgressTimeout is how long a connection may transfer no byte before it counts as stalled.
	ProgressTimeout time.Duration
	// StallTimeout is how long a model call may transfer no byte, before the response starts and after its first token,
	// until the response is requested on another connection. It is shorter than ProgressTimeout because resuming causes
	// the engine no extra work.
	StallTimeout time.Duration
	// MaxResponseBytes is the maximum size of a non-streaming response.
	MaxResponseBytes int64
}

// HTTPClient calls endpoints over HTTP/1.1. It implements Client and is safe for concurrent use.
type HTTPClient struct {
	cfg      Config
	counters *counters
	pools    sync.Map
}

var _ Client = (*HTTPClient)(nil)

// New returns a client without open connections.
func New(cfg Config) *HTTPClient {
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.ProgressTimeout <= 0 {
		cfg.ProgressTimeout = defaultProgressTimeout
	}
	if cfg.StallTimeout <= 0 {
		cfg.StallTimeout = cfg.ProgressTimeout / stallTimeoutDivisor
	}
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	return &HTTPClient{cfg: cfg, counters: newCounters(cfg.Metrics)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() {
	c.pools.Range(func(_, p any) bool {
		p.(*connPool).closeIdle()
		return true
	})
}

// Do implements Client.
func (c *HTTPClient) Do(ctx context.Context, call Call, sink func(StreamEvent) error) Result {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	start := c.cfg.Clock.Now()
	a := &callRunner{client: c, call: call, sink: sink, start: start}
	res := a.run(ctx)
	res.TotalTime = c.cfg.Clock.Since(start)
	if res.Status == Complete {
		return res
	}
	incReason(c.counters.failed, res.Reason)
	if call.ModelCall && (res.Status == Incomplete || res.Status == Canceled) {
		c.cancelAndFetchUsage(ctx, call, &res)
	}
	return res
}

// cancelAndFetchUsage cancels a request whose response is abandoned and sets its usage from the engine's report.
func (c *HTTPClient) cancelAndFetchUsage(ctx context.Context, call Call, res *Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	u, err := c.Cancel(ctx, call.URL, call.RequestID)
	if err != nil {
		c.cfg.Log.Warnf("endpoint: usage of request %s at %s unknown: %v", call.RequestID, call.Endpoint, err)
		return
	}
	res.Usage = u
}

func (c *HTTPClient) recordRepair(text string) {
	if c.cfg.Repairs != nil {
		c.cfg.Repairs.Add("endpoint", text)
	}
}

func (c *HTTPClient) pool(url string) *connPool {
	if p, ok := c.pools.Load(url); ok {
		return p.(*connPool)
	}
	p, _ := c.pools.LoadOrStore(url, newConnPool(c.cfg.Dial))
	return p.(*connPool)
}

// discardConnections replaces the connections to an endpoint after one of them stalled.
func (c *HTTPClient) discardConnections(url string, t *responsecheck.Transport) {
	if c.pool(url).replaceShared(t) {
		c.counters.discarded.Inc(1)
		c.recordRepair("connections to " + url + " discarded, one was silent")
	}
}
