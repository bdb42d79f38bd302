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
	// peerTimeout bounds the question to one peer.
	peerTimeout = 2 * time.Second
	// peersParallel bounds the peers asked at once.
	peersParallel = 16
	// answerLimitBytes bounds the answer of an instance.
	answerLimitBytes = 16 << 20
)

// explain tells the story of a request: what this instance did and, unless local, what its peers did.
func (a *Admin) explain(r *http.Request) result {
	id := r.URL.Query().Get(ParamRequest)
	if id == "" {
		return problem(http.StatusBadRequest, "the query must have request=ID")
	}
	name := a.cfg.Status().GetInstance().GetName()
	own := a.cfg.Stories.Get(id)
	for _, e := range own.GetEvents() {
		e.Instance = name
	}
	stories := []*api.Story{own}
	if r.URL.Query().Get(ParamLocal) != "true" && a.cfg.Peers != nil {
		stories = append(stories, a.cfg.Peers(r.Context(), id)...)
	}
	joined := join(id, stories)
	if len(joined.Events) == 0 {
		return problem(http.StatusNotFound, "no instance asked keeps a story of request "+id+"; only recent ones are kept")
	}
	return message(joined)
}

// join puts the events of several stories in order of time.
func join(id string, stories []*api.Story) *api.Story {
	out := &api.Story{RequestId: id}
	for _, s := range stories {
		if out.Customer == "" {
			out.Customer = s.GetCustomer()
		}
		out.Events = append(out.Events, s.GetEvents()...)
	}
	slices.SortStableFunc(out.Events, func(x, y *api.StoryEvent) int { return cmp.Compare(x.UnixUs, y.UnixUs) })
	return out
}

// PeerStories returns a Peers function that asks the live members of a view at their admin addresses. Those that do
// not answer in time are left out.
func PeerStories(view peer.View, client *http.Client) func(ctx context.Context, requestID string) []*api.Story {
	return func(ctx context.Context, requestID string) []*api.Story {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var mu sync.Mutex
		var out []*api.Story
		var group errgroup.Group
		group.SetLimit(peersParallel)
		for _, m := range view.Members() {
			if !m.Live || m.Instance.AdminAddress == "" || m.Instance.Incarnation == view.Self().Incarnation {
				continue
			}
			group.Go(func() error {
				s, err := FetchStory(ctx, client, m.Instance.AdminAddress, requestID, true)
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

// FetchStory asks the instance at an admin address for the story of a request.
func FetchStory(ctx context.Context, client *http.Client, address, requestID string, local bool) (*api.Story, error) {
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
		return nil, fmt.Errorf("admin: answer of %s: %w", address, err)
	}
	return s, nil
}

// Refusal is an answer of an instance that is not a success.
type Refusal struct {
	// Status of the HTTP answer.
	Status int
	// Detail is the text of the answer.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("admin: status %d: %s", r.Status, r.Detail) }

// Fetch reads a path from the instance at an admin address. An answer that is not a success is a *Refusal.
func Fetch(ctx context.Context, client *http.Client, address, path string, query url.Values) ([]byte, error) {
	u := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("admin: ask %s: %w", address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("admin: ask %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, answerLimitBytes))
	if err != nil {
		return nil, fmt.Errorf("admin: answer of %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &Refusal{Status: response.StatusCode, Detail: detailOf(body)}
	}
	return body, nil
}
