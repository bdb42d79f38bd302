package idempotency

import (
	"container/list"
	"sync"

	"pumiceshelf/claim"
	"pumiceshelf/invariant"
)

const (
	// maxRecentOutcomes bounds the number of outcomes kept in memory.
	maxRecentOutcomes = 8192
	// maxRecentResponseBytes bounds the size of their responses.
	maxRecentResponseBytes = 16 << 20
)

// activeRequest is a request in progress on this instance: it is being decided or is running.
type activeRequest struct {
	request Request
	running bool
	// done is closed after result is set. Requests that joined this one get the result.
	done   chan struct{}
	result BeginResult
}

// finishedRequest is a request that ended on this instance, with its outcome.
type finishedRequest struct {
	key       claim.KeyHash
	body      claim.BodyHash
	requestID string
	attempt   uint64
	outcome   Outcome
}

func newFinishedRequest(r Request, o Outcome) *finishedRequest {
	return &finishedRequest{key: r.Key, body: r.Body, requestID: r.RequestID, attempt: r.attempt, outcome: o}
}

// localRequests holds the requests in progress on this instance and the most recent outcomes.
type localRequests struct {
	mu     sync.Mutex
	active map[claim.KeyHash]*activeRequest
	recent map[claim.KeyHash]*list.Element
	// recentOrder holds finished requests, the most recently used first.
	recentOrder *list.List
	recentBytes int
}

func newLocalRequests() *localRequests {
	return &localRequests{
		active:      make(map[claim.KeyHash]*activeRequest),
		recent:      make(map[claim.KeyHash]*list.Element),
		recentOrder: list.New(),
	}
}

// getOrAdd returns the request in progress with the same key. If there is none, it adds r and returns true; the caller
// must then end it with reject, or with markRunning and finish.
func (l *localRequests) getOrAdd(r Request) (e *activeRequest, isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.active[r.Key]; e != nil {
		return e, false
	}
	e = &activeRequest{request: r, done: make(chan struct{})}
	l.active[r.Key] = e
	return e, true
}

// markRunning marks a request as running. It must be ended with finish.
func (l *localRequests) markRunning(e *activeRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	invariant.Check(!e.running && l.active[e.request.Key] == e, "claim", "request %s was started twice", e.request.RequestID)
	e.running = true
}

// reject ends a request that does not run.
func (l *localRequests) reject(e *activeRequest, result BeginResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.active, e.request.Key)
	e.result = result
	close(e.done)
}

// finish ends a running request and keeps its outcome.
func (l *localRequests) finish(key claim.KeyHash, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.active[key]
	invariant.Check(e != nil && e.running, "claim", "Finish was called for a request that is not running")
	delete(l.active, key)
	l.addRecent(newFinishedRequest(e.request, o))
	e.result = resultOf(o, e.request.RequestID)
	close(e.done)
}

// recordNotRun records that a request never ran and never will, although its claim may still take effect.
func (l *localRequests) recordNotRun(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addRecent(newFinishedRequest(r, Outcome{Kind: NotRun}))
}

// running returns the running request of a key, or nil.
func (l *localRequests) running(key claim.KeyHash) *activeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.active[key]; e != nil && e.running {
		return e
	}
	return nil
}

// find returns the request of an attempt, as active or as finished. Both are nil if the attempt is not in memory.
func (l *localRequests) find(key claim.KeyHash, attempt uint64) (*activeRequest, *finishedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.active[key]; e != nil && e.request.attempt == attempt {
		return e, nil
	}
	if el := l.recent[key]; el != nil && el.Value.(*finishedRequest).attempt == attempt {
		return nil, el.Value.(*finishedRequest)
	}
	return nil, nil
}

// latest returns the most recently finished request of a key that is in memory, or nil.
func (l *localRequests) latest(key claim.KeyHash) *finishedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	if el := l.recent[key]; el != nil {
		l.recentOrder.MoveToFront(el)
		return el.Value.(*finishedRequest)
	}
	return nil
}

// addRecent stores a finished request and evicts the least recently used ones that exceed the limits.
func (l *localRequests) addRecent(e *finishedRequest) {
	if el := l.recent[e.key]; el != nil {
		l.removeRecent(el)
	}
	l.recent[e.key] = l.recentOrder.PushFront(e)
	l.recentBytes += len(e.outcome.Body)
	for l.recentOrder.Len() > maxRecentOutcomes || (l.recentBytes > maxRecentResponseBytes && l.recentOrder.Len() > 1) {
		l.removeRecent(l.recentOrder.Back())
	}
}

func (l *localRequests) removeRecent(el *list.Element) {
	e := l.recentOrder.Remove(el).(*finishedRequest)
	delete(l.recent, e.key)
	l.recentBytes -= len(e.outcome.Body)
}

func (l *localRequests) counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Running: len(l.active), Recent: l.recentOrder.Len(), RecentBytes: l.recentBytes}
}

// resultOf returns the result for a request whose key was used by the given request, which ended with o.
func resultOf(o Outcome, requestID string) BeginResult {
	if o.Kind == Unknown {
		return BeginResult{Decision: UnknownOutcome, Outcome: o, OriginalRequestID: requestID}
	}
	return BeginResult{Decision: Recorded, Outcome: o, OriginalRequestID: requestID}
}
