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
	// attempts that a caller makes when no final word came.
	attempts = 4
	// callerBackoff is the pause between a caller's attempts.
	callerBackoff = 100 * time.Millisecond
	// tagMark stands before the tag that names a request in its prompt.
	tagMark = "#"
)

// request is one request of the load with what its caller was told.
type request struct {
	tag string
	at  time.Duration
	ask fleet.Ask
	// issued says that the caller asks the fleet for its key.
	issued bool
	reply  fleet.Reply
	// replies of all attempts, the last is reply.
	replies []fleet.Reply
	// start and end are offsets from the start of the load.
	start, end time.Duration
}

// atMostOnce says whether the request must not run twice.
func (r *request) atMostOnce() bool { return r.ask.Idempotent != nil && !*r.ask.Idempotent }

// load describes open-loop traffic.
type load struct {
	duration time.Duration
	// perSecond requests start on average, evenly spread unless burst is set.
	perSecond float64
	burst     bool
	customers []string
	// keyed is the share of requests with an idempotency key, nonIdempotent the share of those that run at most once.
	keyed, nonIdempotent float64
	// ownKeys is the share of keys that callers make themselves in place of asking the fleet for them.
	ownKeys  float64
	streamed float64
	batch    float64
	deadline time.Duration
	cap      int
}

// requests returns the traffic of a seed over the models of a fleet.
func (l load) requests(rng *rand.Rand, models []string) []*request {
	count := int(l.perSecond * l.duration.Seconds())
	out := make([]*request, 0, count)
	for i := range count {
		r := &request{tag: fmt.Sprintf("r%d", i)}
		if !l.burst {
			r.at = time.Duration(float64(i) / l.perSecond * float64(time.Second))
		}
		r.ask = l.ask(rng, r.tag, models[rng.IntN(len(models))])
		r.issued = r.ask.Key != "" && rng.Float64() >= l.ownKeys
		out = append(out, r)
	}
	return out
}

func (l load) ask(rng *rand.Rand, tag, model string) fleet.Ask {
	customer := l.customers[rng.IntN(len(l.customers))]
	idempotent := true
	a := fleet.Ask{
		Customer: customer,
		Model:    model,
		Prompt:   fmt.Sprintf("Shared instructions of %s, group %d. %s%s", customer, rng.IntN(4), tagMark, tag),
		Cap:      l.cap,
		Stream:   rng.Float64() < l.streamed,
		Deadline: l.deadline,
	}
	if rng.Float64() < l.keyed {
		a.Key = "key-" + tag
		idempotent = rng.Float64() >= l.nonIdempotent
	}
	if rng.Float64() < l.batch {
		a.Priority = "batch"
	} else {
		a.Priority = "interactive"
	}
	a.Idempotent = &idempotent
	return a
}

// tagOf returns the tag in a prompt as an engine logged it.
func tagOf(prompt string) string {
	_, tag, _ := strings.Cut(strings.TrimSpace(prompt), tagMark)
	return tag
}

// drive sends the requests at their times and returns when all callers have their final word.
func (r *Run) drive(ctx context.Context, requests []*request) {
	caller := r.Fleet.NewCaller()
	start := time.Now()
	var wait sync.WaitGroup
	for i, q := range requests {
		rng := rand.New(rand.NewPCG(r.Result.Seed, uint64(i)))
		wait.Go(func() {
			sleep(ctx, q.at)
			q.start = time.Since(start)
			r.converse(ctx, caller, q, rng)
			q.end = time.Since(start)
		})
	}
	wait.Wait()
	r.requests = append(r.requests, requests...)
}

// converse sends a request until a final word comes, each time to an instance that the platform's balancer might choose.
func (r *Run) converse(ctx context.Context, caller *fleet.Caller, q *request, rng *rand.Rand) {
	address := r.pick(rng)
	if q.issued {
		if key := caller.IssueKey(ctx, address, q.ask.Customer); key != "" {
			q.ask.Key = key
		}
	}
	for attempt := range attempts {
		ask := q.ask
		ask.FirstAttempt = attempt == 0 && ask.Key != ""
		q.reply = caller.Send(ctx, address, ask)
		q.replies = append(q.replies, q.reply)
		if q.reply.Outcome != fleet.Broken || ask.Key == "" {
			return
		}
		sleep(ctx, callerBackoff)
		address = r.pick(rng)
	}
}

// pick chooses an instance as the platform's balancer does: any that is listed and has a bundle in force, which is what
// the health path says.
func (r *Run) pick(rng *rand.Rand) string {
	members := slices.DeleteFunc(r.Fleet.Members(), func(m *fleet.Member) bool { return m.Node.Bundles().Current() == nil })
	return members[rng.IntN(len(members))].Node.CallerAddress()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
