package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"

	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
	"pumiceshelf/platform"
)

const (
	// linkRate is the rate of the link to the store in bytes per second, largeConfiguration the size of a configuration in bytes.
	linkRate           = 64 << 10
	largeConfiguration = 244 << 10
	// linkPiece is the number of bytes that the link sends at once.
	linkPiece = 4 << 10
	// maxChangeDelay is the time within which a leaving endpoint must be known (DRAIN).
	maxChangeDelay = 3 * time.Second
)

// linkedStore is a store behind a link that is slow and first in, first out. It implements http.RoundTripper.
type linkedStore struct {
	// queue holds the pieces that wait at the link. A response waits until there is room for its next piece.
	queue chan chan struct{}
	mu    sync.Mutex
	// silentFrom and silentUntil bound the time in which the store receives no calls.
	silentFrom, silentUntil time.Time
	revision                uint64
	// changed holds the revision of each collection's last change, and size that of its object in bytes.
	changed map[string]uint64
	size    map[string]int
	failed  int
	// work holds the goroutines of the store, the link and the followers.
	work sync.WaitGroup
}

func newLinkedStore(ctx context.Context, queued int) *linkedStore {
	s := &linkedStore{
		queue:   make(chan chan struct{}, queued/linkPiece),
		changed: make(map[string]uint64), size: map[string]int{"config": largeConfiguration, "servers": 400},
	}
	s.work.Go(func() {
		for {
			select {
			case sent := <-s.queue:
				time.Sleep(linkPiece * time.Second / linkRate)
				close(sent)
			case <-ctx.Done():
				return
			}
		}
	})
	return s
}

// change changes the object of a collection and returns its revision.
func (s *linkedStore) change(collection string) objectstore.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.changed[collection] = s.revision
	return objectstore.Revision(s.revision)
}

// isSilent reports whether a call that is sent now reaches no store.
func (s *linkedStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return !now.Before(s.silentFrom) && now.Before(s.silentUntil)
}

// RoundTrip implements http.RoundTripper for listings and watches.
func (s *linkedStore) RoundTrip(r *http.Request) (*http.Response, error) {
	collection := strings.TrimPrefix(r.URL.Path, "/objects/")
	if s.isSilent() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	var body []byte
	if query := r.URL.Query(); query.Get("watch") != "" {
		after, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		body = s.awaitChange(r.Context(), collection, after, time.Duration(wait)*time.Millisecond)
	} else {
		body = []byte(`{"items":[],"as_of":1}`)
	}
	pieces := s.sendPieces(r.Context(), len(body))
	if !await(r.Context(), pieces) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failed++
		return nil, r.Context().Err()
	}
	reader, writer := io.Pipe()
	s.work.Go(func() {
		for len(body) > 0 {
			n := min(len(body), linkPiece)
			if _, err := writer.Write(body[:n]); err != nil {
				return
			}
			if body = body[n:]; len(body) > 0 && !await(r.Context(), pieces) {
				_ = writer.CloseWithError(r.Context().Err())
				return
			}
		}
		_ = writer.Close()
	})
	return &http.Response{StatusCode: http.StatusOK, Body: reader}, nil
}

// sendPieces sends the pieces of a response, as many at once as there is room for at the link. Those that wait at the link take
// their turn even if the call has ended.
func (s *linkedStore) sendPieces(ctx context.Context, size int) <-chan chan struct{} {
	n := max(1, (size+linkPiece-1)/linkPiece)
	pieces := make(chan chan struct{}, n)
	s.work.Go(func() {
		for range n {
			sent := make(chan struct{})
			select {
			case s.queue <- sent:
				pieces <- sent
			case <-ctx.Done():
				return
			}
		}
	})
	return pieces
}

// await waits until the next piece has passed the link. It returns false if the call ends before.
func await(ctx context.Context, pieces <-chan chan struct{}) bool {
	select {
	case sent := <-pieces:
		select {
		case <-sent:
			return true
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	return false
}

// awaitChange returns the response of a watch.
func (s *linkedStore) awaitChange(ctx context.Context, collection string, after uint64, wait time.Duration) []byte {
	const interval = 10 * time.Millisecond
	for until := time.Now().Add(wait); ; time.Sleep(interval) {
		s.mu.Lock()
		revision, changed, size := s.revision, s.changed[collection], s.size[collection]
		s.mu.Unlock()
		if changed > after {
			spec, _ := json.Marshal(strings.Repeat("x", size))
			return fmt.Appendf(nil, `{"as_of":%d,"events":[{"object":{"metadata":{"name":"main","rev":%d},"spec":%s}}]}`, revision, changed, spec)
		}
		if ctx.Err() != nil || !time.Now().Before(until) {
			return fmt.Appendf(nil, `{"as_of":%d}`, revision)
		}
	}
}

// A change of an endpoint must be known in time also while configurations fill the link, and after the store did not respond for some
// seconds. A time limit that is too short for a full link fails one call after the other there.
func TestChangesArriveInTimeOverFullLink(t *testing.T) {
	for _, queued := range []int{32 << 10, 64 << 10} {
		for _, silence := range []time.Duration{0, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d KB queued, silent for %v", queued>>10, silence), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testFullLink(t, queued, silence) })
			})
		}
	}
}

func testFullLink(t *testing.T, queued int, silence time.Duration) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newLinkedStore(ctx, queued)
	defer func() {
		cancel()
		s.work.Wait()
	}()
	s.revision = 1
	client := platform.NewObjectStore("127.0.0.1:1", &http.Client{Transport: s}, clockwork.NewRealClock(), 5*time.Second)
	start := func(collection string) *follow.Follower {
		f := follow.New(follow.Config{Collection: collection, Store: client, Listener: &recorder{}, Clock: clockwork.NewRealClock(),
			Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel}})
		s.work.Go(func() { _ = f.Run(ctx) })
		return f
	}
	start("config")
	servers := start("servers")
	time.Sleep(time.Second)
	s.mu.Lock()
	s.silentFrom, s.silentUntil = time.Now(), time.Now().Add(silence)
	s.mu.Unlock()
	s.work.Go(func() {
		for ctx.Err() == nil {
			s.change("config")
			time.Sleep(2 * time.Second)
		}
	})
	time.Sleep(silence)
	var longest time.Duration
	for range 30 {
		changedAt := time.Now()
		revision := s.change("servers")
		for servers.Snapshot().Revision < revision && time.Since(changedAt) < 20*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		delay := time.Since(changedAt)
		longest = max(longest, delay)
		time.Sleep(730 * time.Millisecond)
	}
	t.Logf("longest delay of a change: %v, %d calls without a header in time", longest, s.failed)
	if longest > maxChangeDelay {
		t.Errorf("DRAIN: a change of an endpoint was known %v after it, the limit is %v", longest, maxChangeDelay)
	}
}
