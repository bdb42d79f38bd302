package idempotency

import (
	"container/list"
	"sync"

	"pumiceshelf/claim"
	"pumiceshelf/invariant"
)

const (
	// recentLimit bounds the outcomes kept in memory.
	recentLimit = 8192
	// recentBytes bounds the size of their answers.
	recentBytes = 16 << 20
)

// entry is a keyed request in progress on this instance: being decided, or running.
type entry struct {
	request Request
	running bool
	// done is closed when verdict, which those that joined get, is set.
	done    chan struct{}
	verdict Verdict
}

// ending is the outcome of a request that ended on this instance.
type ending struct {
	key       claim.KeyHash
	body      claim.BodyHash
	requestID string
	attempt   uint64
	outcome   Outcome
}

// endingOf is the end of a request.
func endingOf(r Request, o Outcome) *ending {
	return &ending{key: r.Key, body: r.Body, requestID: r.RequestID, attempt: r.attempt, outcome: o}
}

// local holds the keyed requests in progress on this instance and its most recent outcomes.
type local struct {
	mu      sync.Mutex
	entries map[claim.KeyHash]*entry
	recent  map[claim.KeyHash]*list.Element
	// order holds endings, the most recent first.
	order *list.List
	bytes int
}

func newLocal() *local {
	return &local{
		entries: make(map[claim.KeyHash]*entry),
		recent:  make(map[claim.KeyHash]*list.Element),
		order:   list.New(),
	}
}

// open returns the key's entry in progress, or a new one that the caller leads.
func (l *local) open(r Request) (e *entry, lead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[r.Key]; e != nil {
		return e, false
	}
	e = &entry{request: r, done: make(chan struct{})}
	l.entries[r.Key] = e
	return e, true
}

// start marks an entry as running. From here its outcome comes by finish.
func (l *local) start(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	invariant.Check(!e.running && l.entries[e.request.Key] == e, "claim", "request %s was let run twice", e.request.RequestID)
	e.running = true
}

// refuse ends an entry that does not run.
func (l *local) refuse(e *entry, v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, e.request.Key)
	e.verdict = v
	close(e.done)
}

// finish takes the entry of a running request out and keeps its outcome.
func (l *local) finish(key claim.KeyHash, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[key]
	invariant.Check(e != nil && e.running, "claim", "a request finished that was not let run")
	delete(l.entries, key)
	l.keep(endingOf(e.request, o))
	e.verdict = verdictOf(o, e.request.RequestID)
	close(e.done)
}

// giveUp keeps that a request whose claim may still be made was never run and never will be.
func (l *local) giveUp(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keep(endingOf(r, Outcome{Kind: NotRun}))
}

// running returns the entry of a running request, or nil.
func (l *local) running(key claim.KeyHash) *entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil && e.running {
		return e
	}
	return nil
}

// find returns the entry or the ending of one attempt, if this instance knows it.
func (l *local) find(key claim.KeyHash, attempt uint64) (*entry, *ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil && e.request.attempt == attempt {
		return e, nil
	}
	if el := l.recent[key]; el != nil && el.Value.(*ending).attempt == attempt {
		return nil, el.Value.(*ending)
	}
	return nil, nil
}

// last returns the most recent ending of a key, or nil.
func (l *local) last(key claim.KeyHash) *ending {
	l.mu.Lock()
	defer l.mu.Unlock()
	if el := l.recent[key]; el != nil {
		l.order.MoveToFront(el)
		return el.Value.(*ending)
	}
	return nil
}

func (l *local) keep(e *ending) {
	if el := l.recent[e.key]; el != nil {
		l.drop(el)
	}
	l.recent[e.key] = l.order.PushFront(e)
	l.bytes += len(e.outcome.Body)
	for l.order.Len() > recentLimit || (l.bytes > recentBytes && l.order.Len() > 1) {
		l.drop(l.order.Back())
	}
}

func (l *local) drop(el *list.Element) {
	e := l.order.Remove(el).(*ending)
	delete(l.recent, e.key)
	l.bytes -= len(e.outcome.Body)
}

func (l *local) counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Running: len(l.entries), Recent: l.order.Len(), RecentBytes: l.bytes}
}

// verdictOf is what a request gets that asks for the outcome of another.
func verdictOf(o Outcome, requestID string) Verdict {
	if o.Kind == Unknown {
		return Verdict{Decision: UnknownOutcome, Outcome: o, OriginalID: requestID}
	}
	return Verdict{Decision: Recorded, Outcome: o, OriginalID: requestID}
}
