package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"pumiceshelf/api"
)

var (
	// ErrUnknownRequest means that the engine never ran the request or no longer has a record of it.
	ErrUnknownRequest = errors.New("endpoint: request unknown to the engine")
	// ErrStaleFence means that the engine refused an order with an outdated fencing number.
	ErrStaleFence = errors.New("endpoint: stale fencing number")
	// ErrStatus means that an endpoint responded to a control call with an error status.
	ErrStatus = errors.New("endpoint: error status")
	// ErrMalformed means that an endpoint's response to a control call violates the protocol.
	ErrMalformed = errors.New("endpoint: malformed response")
)

// Model states.
const (
	ModelLoaded  = "loaded"
	ModelLoading = "loading"
)

// ModelState describes a model on an engine.
type ModelState struct {
	ID       string   `json:"id"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// State is ModelLoaded or ModelLoading.
	State string `json:"state,omitempty"`
}

// State is the state of an engine.
type State struct {
	Models []ModelState `json:"models"`
	Role   string       `json:"role"`
	// Fence is the highest fencing number that the engine has accepted.
	Fence uint64 `json:"fence"`
}

// Order is the desired state of an engine.
type Order struct {
	Fence  uint64       `json:"fence"`
	Models []ModelState `json:"models"`
	Role   string       `json:"role"`
}

// CacheEvent reports that a block of a prompt prefix was added to or removed from an engine's cache. Events may be late
// or missing.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, base, requestID string) (Usage, error) {
	c.counters.cancels.Inc(1)
	var out struct {
		RequestID string       `json:"request_id"`
		Usage     *parsedUsage `json:"usage"`
	}
	err := c.controlCall(ctx, request{method: http.MethodDelete, base: base, path: "/v1/requests/" + url.PathEscape(requestID)}, &out)
	if err == nil && (out.RequestID != requestID || out.Usage == nil) {
		err = ErrMalformed
	}
	if err != nil {
		c.counters.cancelFailures.Inc(1)
		return Usage{}, fmt.Errorf("cancel request %s: %w", requestID, err)
	}
	return out.Usage.toUsage(), nil
}

// Load fetches the load report of a model engine, or of a plain service if model is false. The caller must set its ID and
// time.
func (c *HTTPClient) Load(ctx context.Context, base string, model bool) (*api.EndpointLoad, error) {
	path := "/load"
	if model {
		path = "/v1/load"
	}
	var out struct {
		Running  uint32 `json:"running"`
		Waiting  uint32 `json:"waiting"`
		Capacity uint32 `json:"capacity"`
		Leaving  bool   `json:"leaving"`
	}
	if err := c.controlCall(ctx, request{method: http.MethodGet, base: base, path: path}, &out); err != nil {
		return nil, fmt.Errorf("fetch load of %s: %w", base, err)
	}
	return &api.EndpointLoad{Running: out.Running, Waiting: out.Waiting, Capacity: out.Capacity, Leaving: out.Leaving}, nil
}

// State fetches the state of an engine.
func (c *HTTPClient) State(ctx context.Context, base string) (State, error) {
	var out State
	if err := c.controlCall(ctx, request{method: http.MethodGet, base: base, path: "/v1/state"}, &out); err != nil {
		return State{}, fmt.Errorf("fetch state of %s: %w", base, err)
	}
	return out, nil
}

// Order sends an order to an engine. It returns ErrStaleFence if the engine has accepted a higher fencing number.
func (c *HTTPClient) Order(ctx context.Context, base string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if err := c.controlCall(ctx, request{method: http.MethodPut, base: base, path: "/v1/orders", header: header, body: body}, nil); err != nil {
		return fmt.Errorf("send order to %s: %w", base, err)
	}
	return nil
}

// CacheEvents fetches an engine's cache events with sequence numbers greater than after.
func (c *HTTPClient) CacheEvents(ctx context.Context, base string, after uint64) ([]CacheEvent, error) {
	var out struct {
		Events []CacheEvent `json:"events"`
	}
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := c.controlCall(ctx, request{method: http.MethodGet, base: base, path: path}, &out); err != nil {
		return nil, fmt.Errorf("fetch cache events of %s: %w", base, err)
	}
	return out.Events, nil
}

// controlCall sends a control call and decodes its response into out, unless out is nil.
func (c *HTTPClient) controlCall(ctx context.Context, r request, out any) error {
	x := c.send(ctx, r)
	defer x.close()
	if x.err != nil {
		return c.controlError(ctx, x, x.err)
	}
	data, err := io.ReadAll(io.LimitReader(x.body(), maxControlResponseBytes))
	if err != nil {
		return c.controlError(ctx, x, err)
	}
	switch {
	case x.res.StatusCode == http.StatusNotFound:
		return ErrUnknownRequest
	case x.res.StatusCode == http.StatusConflict:
		return ErrStaleFence
	case x.res.StatusCode/100 != 2:
		return fmt.Errorf("%w %d", ErrStatus, x.res.StatusCode)
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// controlError returns the error of an exchange whose sending or reading failed with err. Endpoints respond to control
// calls immediately, so if one timed out, its connection is treated as stalled and discarded.
func (c *HTTPClient) controlError(ctx context.Context, x *exchange, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && x.mayHaveSent() {
		c.discardConnections(x.url, x.transport)
	}
	return fmt.Errorf("endpoint: %s: %w", x.failureReason(err), errors.Join(err, ctx.Err()))
}
