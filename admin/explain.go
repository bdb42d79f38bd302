package admin

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/api"
	"pumiceshelf/peer"
)

const (
	// peerTimeout bounds collecting the traces from all peers.
	peerTimeout = 2 * time.Second
	// maxConcurrentPeers bounds the number of peers queried concurrently.
	maxConcurrentPeers = 16
	// maxResponseBytes bounds the response body read from an instance.
	maxResponseBytes = 16 << 20
)

// explain returns the trace of a request from this instance and, unless ParamLocal is set, from its peers.
func (a *Admin) explain(r *http.Request) response {
	id := r.URL.Query().Get(ParamRequest)
	if id == "" {
		return problemResponse(http.StatusBadRequest, "the query must have request=ID")
	}
	name := a.cfg.Status().GetInstance().GetName()
	localTrace := a.cfg.Traces.Get(id)
	for _, e := range localTrace.GetEvents() {
		e.Instance = name
	}
	traces := []*api.Story{localTrace}
	if r.URL.Query().Get(ParamLocal) != "true" && a.cfg.PeerTraces != nil {
		traces = append(traces, a.cfg.PeerTraces(r.Context(), id)...)
	}
	merged := mergeTraces(id, traces)
	if len(merged.Events) == 0 {
		return problemResponse(http.StatusNotFound, "no instance asked keeps a story of request "+id+"; only recent ones are kept")
	}
	return messageResponse(merged)
}

// mergeTraces merges the events of several traces in order of time.
func mergeTraces(id string, traces []*api.Story) *api.Story {
	out := &api.Story{RequestId: id}
	for _, s := range traces {
		if out.Customer == "" {
			out.Customer = s.GetCustomer()
		}
		out.Events = append(out.Events, s.GetEvents()...)
	}
	slices.SortStableFunc(out.Events, func(x, y *api.StoryEvent) int { return cmp.Compare(x.UnixUs, y.UnixUs) })
	return out
}

// PeerTraces returns a function for Config.PeerTraces that queries the live members of a view at their admin addresses.
// Members whose request fails or exceeds peerTimeout are omitted.
func PeerTraces(view peer.View, client *http.Client) func(ctx context.Context, requestID string) []*api.Story {
	return func(ctx context.Context, requestID string) []*api.Story {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var mu sync.Mutex
		var out []*api.Story
		var group errgroup.Group
		group.SetLimit(maxConcurrentPeers)
		for _, m := range view.Members() {
			if !m.Live || m.Instance.AdminAddress == "" || m.Instance.Incarnation == view.Self().Incarnation {
				continue
			}
			group.Go(func() error {
				s, err := FetchTrace(ctx, client, m.Instance.AdminAddress, requestID, true)
				if err != nil {
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				out = append(out, s)
				return nil
			})
		}
		_ = group.Wait()
		return out
	}
}

// FetchTrace fetches the trace of a request from the instance at an admin address. With local set, the trace contains
// only events of that instance.
func FetchTrace(ctx context.Context, client *http.Client, address, requestID string, local bool) (*api.Story, error) {
	query := url.Values{ParamRequest: {requestID}}
	if local {
		query.Set(ParamLocal, "true")
	}
	s := &api.Story{}
	body, err := Fetch(ctx, client, address, PathExplain, query)
	if err != nil {
		return nil, err
	}
	if err := protojson.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("admin: decode response of %s: %w", address, err)
	}
	return s, nil
}

// StatusError is returned for a response whose HTTP status is not 200.
type StatusError struct {
	// Status is the HTTP status code.
	Status int
	// Detail is the detail of the problem in the body, or the body itself.
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("admin: status %d: %s", e.Status, e.Detail) }

// Fetch gets a path from the instance at an admin address. It returns a *StatusError unless the HTTP status is 200.
func Fetch(ctx context.Context, client *http.Client, address, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("admin: create request to %s: %w", address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("admin: request to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("admin: read response of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode, Detail: problemDetail(body)}
	}
	return body, nil
}
