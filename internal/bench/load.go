package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"pumiceshelf/internal/fleet"
)

const (
	// maxAttempts bounds a caller's attempts when it receives no outcome.
	maxAttempts = 4
	// retryPause is the pause between a caller's attempts.
	retryPause = 100 * time.Millisecond
	// tagPrefix precedes the tag that identifies a request in its prompt.
	tagPrefix = "#"
)

// request is one request of the load and the replies that its caller received.
type request struct {
	tag    string
	sendAt time.Duration
	call   fleet.Request
	// wantsIssuedKey is set if the caller requests its idempotency key from the fleet.
	wantsIssuedKey bool
	reply          fleet.Reply
	// replies holds the replies to all attempts; reply is the last one.
	replies []fleet.Reply
	// start and end are offsets from the start of the load.
	start, end time.Duration
}

// runsAtMostOnce reports whether the request must not run twice.
func (r *request) runsAtMostOnce() bool { return r.call.Idempotent != nil && !*r.call.Idempotent }

// load describes open-loop traffic.
type load struct {
	duration time.Duration
	// perSecond is the average rate of requests, which are evenly spaced unless simultaneous is set.
	perSecond    float64
	simultaneous bool
	customers    []string
	// keyedShare is the share of requests with an idempotency key; of these, atMostOnceShare are not idempotent.
	keyedShare, atMostOnceShare float64
	// callerKeyShare is the share of keys that callers generate themselves instead of requesting them from the fleet.
	callerKeyShare float64
	streamedShare  float64
	batchShare     float64
	deadline       time.Duration
	capTokens      int
}

// requests returns the requests of the load, spread over the models; rng determines them.
func (l load) requests(rng *rand.Rand, models []string) []*request {
	count := int(l.perSecond * l.duration.Seconds())
	out := make([]*request, 0, count)
	for i := range count {
		r := &request{tag: fmt.Sprintf("r%d", i)}
		if !l.simultaneous {
			r.sendAt = time.Duration(float64(i) / l.perSecond * float64(time.Second))
		}
		r.call = l.randomCall(rng, r.tag, models[rng.IntN(len(models))])
		r.wantsIssuedKey = r.call.IdempotencyKey != "" && rng.Float64() >= l.callerKeyShare
		out = append(out, r)
	}
	return out
}

func (l load) randomCall(rng *rand.Rand, tag, model string) fleet.Request {
	customer := l.customers[rng.IntN(len(l.customers))]
	idempotent := true
	call := fleet.Request{
		Customer:  customer,
		Model:     model,
		Prompt:    fmt.Sprintf("Shared instructions of %s, group %d. %s%s", customer, rng.IntN(4), tagPrefix, tag),
		CapTokens: l.capTokens,
		Stream:    rng.Float64() < l.streamedShare,
		Deadline:  l.deadline,
	}
	if rng.Float64() < l.keyedShare {
		call.IdempotencyKey = "key-" + tag
		idempotent = rng.Float64() >= l.atMostOnceShare
	}
	if rng.Float64() < l.batchShare {
		call.Priority = "batch"
	} else {
		call.Priority = "interactive"
	}
	call.Idempotent = &idempotent
	return call
}

// tagFromPrompt returns the tag in a prompt from an engine's log.
func tagFromPrompt(prompt string) string {
	_, tag, _ := strings.Cut(strings.TrimSpace(prompt), tagPrefix)
	return tag
}

// sendRequests sends the requests at their times and returns when each has its last reply.
func (r *Run) sendRequests(ctx context.Context, requests []*request) {
	caller := r.Fleet.NewCaller()
	start := time.Now()
	var wait sync.WaitGroup
	for i, q := range requests {
		rng := rand.New(rand.NewPCG(r.Result.Seed, uint64(i)))
		wait.Go(func() {
			sleep(ctx, q.sendAt)
			q.start = time.Since(start)
			r.sendWithRetries(ctx, caller, q, rng)
			q.end = time.Since(start)
		})
	}
	wait.Wait()
	r.requests = append(r.requests, requests...)
}

// sendWithRetries sends a request until the caller receives an outcome or maxAttempts is reached, each time to an instance
// that the platform's load balancer might choose. Requests without an idempotency key are not retried.
func (r *Run) sendWithRetries(ctx context.Context, caller *fleet.Caller, q *request, rng *rand.Rand) {
	address := r.randomAddress(rng)
	if q.wantsIssuedKey {
		if key := caller.RequestIssuedKey(ctx, address, q.call.Customer); key != "" {
			q.call.IdempotencyKey = key
		}
	}
	for attempt := range maxAttempts {
		call := q.call
		call.FirstAttempt = attempt == 0 && call.IdempotencyKey != ""
		q.reply = caller.Send(ctx, address, call)
		q.replies = append(q.replies, q.reply)
		if q.reply.Outcome != fleet.NoOutcome || call.IdempotencyKey == "" {
			return
		}
		sleep(ctx, retryPause)
		address = r.randomAddress(rng)
	}
}

// randomAddress returns the address of an instance that the platform's load balancer might choose: any listed one that
// has an active bundle, which is the condition of the health endpoint.
func (r *Run) randomAddress(rng *rand.Rand) string {
	instances := slices.DeleteFunc(r.Fleet.Instances(), func(m *fleet.Instance) bool { return m.Node.Bundles().Current() == nil })
	return instances[rng.IntN(len(instances))].Node.CallerAddress()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
