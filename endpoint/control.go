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
	// ErrUnknownRequest means that the engine never ran the request or has forgotten it.
	ErrUnknownRequest = errors.New("endpoint: request unknown to the engine")
	// ErrStaleFence means that the engine refused an order with an old fencing number.
	ErrStaleFence = errors.New("endpoint: old fencing number")
	// ErrStatus means that an endpoint answered a control call with an error status.
	ErrStatus = errors.New("endpoint: error status")
	// ErrMalformed means that an endpoint's answer to a control call is not the protocol.
	ErrMalformed = errors.New("endpoint: malformed answer")
)

// States of a model at an engine.
const (
	ModelLoaded  = "loaded"
	ModelLoading = "loading"
)

// ModelState is a model at an engine.
type ModelState struct {
	ID       string   `json:"id"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// State is ModelLoaded or ModelLoading.
	State string `json:"state,omitempty"`
}

// State of an engine.
type State struct {
	Models []ModelState `json:"models"`
	Role   string       `json:"role"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// Order is the state that an engine is to have.
type Order struct {
	Fence  uint64       `json:"fence"`
	Models []ModelState `json:"models"`
	Role   string       `json:"role"`
}

// CacheEvent tells that a block of a prompt prefix entered or left an engine's cache. Events come late and with gaps.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Stored   bool   `json:"stored"`
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, base, requestID string) (Usage, error) {
	c.count.cancels.Inc(1)
	var out struct {
		RequestID string `json:"request_id"`
		Usage     *usage `json:"usage"`
	}
	err := c.control(ctx, request{method: http.MethodDelete, base: base, path: "/v1/requests/" + url.PathEscape(requestID)}, &out)
	if err == nil && (out.RequestID != requestID || out.Usage == nil) {
		err = ErrMalformed
	}
	if err != nil {
		c.count.cancelErrs.Inc(1)
		return Usage{}, fmt.Errorf("cancel %s: %w", requestID, err)
	}
	return out.Usage.known(), nil
}

// Load returns an endpoint's load report, of a model engine or of a plain service. Its id and time are left to the caller.
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
	if err := c.control(ctx, request{method: http.MethodGet, base: base, path: path}, &out); err != nil {
		return nil, fmt.Errorf("load of %s: %w", base, err)
	}
	return &api.EndpointLoad{Running: out.Running, Waiting: out.Waiting, Capacity: out.Capacity, Leaving: out.Leaving}, nil
}

// State returns what an engine has loaded.
func (c *HTTPClient) State(ctx context.Context, base string) (State, error) {
	var out State
	if err := c.control(ctx, request{method: http.MethodGet, base: base, path: "/v1/state"}, &out); err != nil {
		return State{}, fmt.Errorf("state of %s: %w", base, err)
	}
	return out, nil
}

// Order tells an engine the state that it is to have. It returns ErrStaleFence when the engine knows a newer fencing number.
func (c *HTTPClient) Order(ctx context.Context, base string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if err := c.control(ctx, request{method: http.MethodPut, base: base, path: "/v1/orders", header: header, body: body}, nil); err != nil {
		return fmt.Errorf("order to %s: %w", base, err)
	}
	return nil
}

// Events returns an engine's cache events with sequences greater than after.
func (c *HTTPClient) Events(ctx context.Context, base string, after uint64) ([]CacheEvent, error) {
	var out struct {
		Events []CacheEvent `json:"events"`
	}
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := c.control(ctx, request{method: http.MethodGet, base: base, path: path}, &out); err != nil {
		return nil, fmt.Errorf("cache events of %s: %w", base, err)
	}
	return out.Events, nil
}

// control makes a small call and decodes its answer into out unless that is nil.
func (c *HTTPClient) control(ctx context.Context, r request, out any) error {
	x := c.exchange(ctx, r)
	defer x.close()
	if x.err != nil {
		return c.unreached(ctx, x)
	}
	data, err := io.ReadAll(io.LimitReader(x.body(), reportLimit))
	if err != nil {
		return c.unreached(ctx, x)
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

// unreached names a failed exchange. A control call answers at once, so one that ran out of time met a silent connection.
func (c *HTTPClient) unreached(ctx context.Context, x *exchange) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && x.sent() {
		c.discard(x.url, x.transport)
	}
	return fmt.Errorf("endpoint: %s: %w", x.failure(x.err), errors.Join(x.err, ctx.Err()))
}
