package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/telemetry"
)

// Defaults of Config.
const (
	defaultProgressTimeout = 10 * time.Second
	defaultAnswerLimit     = 8 << 20
	// stallShare is the share of ProgressTimeout that StallTimeout has.
	stallShare = 8
)

// Bounds of calls.
const (
	// cancelTimeout is the longest wait for an engine's word on a request that is stopped.
	cancelTimeout = 2 * time.Second
	// resumeTries is how often in a row a stream is picked up without a new token.
	resumeTries = 4
	// resumeDelay is the wait before the second try; it doubles with each further one.
	resumeDelay = 25 * time.Millisecond
	// eventLimit is the largest event of a stream, in bytes.
	eventLimit = 1 << 20
	// rejectionLimit is how much of an engine's words on a wrong request is kept, in bytes.
	rejectionLimit = 512
	// reportLimit is the largest report or state of an endpoint, in bytes.
	reportLimit = 1 << 20
)

// Config of an HTTPClient.
type Config struct {
	// Dial opens connections; nil takes the standard dialler.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Clock   clockwork.Clock
	Log     log.Interface
	Metrics metrics.Registry
	Repairs *telemetry.Repairs
	// ProgressTimeout is the longest time without any byte before a connection is taken for silent.
	ProgressTimeout time.Duration
	// StallTimeout is the longest time without a byte, before the response of a model call and after its first token,
	// until the answer is asked for on another connection. That costs the engine nothing, so it is shorter.
	StallTimeout time.Duration
	// AnswerLimit is the largest whole answer, in bytes.
	AnswerLimit int64
}

// HTTPClient calls endpoints over HTTP/1.1. It implements Client and is safe for concurrent use.
type HTTPClient struct {
	cfg   Config
	count *counters
	links sync.Map
}

var _ Client = (*HTTPClient)(nil)

// New returns a client with no connections.
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
		cfg.StallTimeout = cfg.ProgressTimeout / stallShare
	}
	if cfg.AnswerLimit <= 0 {
		cfg.AnswerLimit = defaultAnswerLimit
	}
	return &HTTPClient{cfg: cfg, count: newCounters(cfg.Metrics)}
}

// Close closes idle connections.
func (c *HTTPClient) Close() {
	c.links.Range(func(_, l any) bool {
		l.(*link).close()
		return true
	})
}

// Do implements Client.
func (c *HTTPClient) Do(ctx context.Context, call Call, sink func(Piece) error) Result {
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	start := c.cfg.Clock.Now()
	a := &answer{client: c, call: call, sink: sink, start: start}
	res := a.run(ctx)
	res.Total = c.cfg.Clock.Since(start)
	if res.Status == Complete {
		return res
	}
	count(c.count.failed, res.Reason)
	if call.Model && (res.Status == Broken || res.Status == Canceled) {
		c.conclude(ctx, call, &res)
	}
	return res
}

// conclude stops a request whose answer is given up and learns its true usage.
func (c *HTTPClient) conclude(ctx context.Context, call Call, res *Result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	u, err := c.Cancel(ctx, call.URL, call.RequestID)
	if err != nil {
		c.cfg.Log.Warnf("endpoint: usage of %s at %s unknown: %v", call.RequestID, call.Endpoint, err)
		return
	}
	res.Usage = u
}

func (c *HTTPClient) repaired(text string) {
	if c.cfg.Repairs != nil {
		c.cfg.Repairs.Add("endpoint", text)
	}
}

func (c *HTTPClient) link(url string) *link {
	if l, ok := c.links.Load(url); ok {
		return l.(*link)
	}
	l, _ := c.links.LoadOrStore(url, newLink(c.cfg.Dial))
	return l.(*link)
}

// discard replaces the connections to an endpoint after one of them went silent.
func (c *HTTPClient) discard(url string, t *http.Transport) {
	if c.link(url).discard(t) {
		c.count.discarded.Inc(1)
		c.repaired("connections to " + url + " discarded, one was silent")
	}
}
