package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout is how long a caller waits for the end of a response. It tells the instance a limit that is shorter by callMargin.
	callTimeout, callMargin = 6500 * time.Millisecond, 500 * time.Millisecond
	// callerDialTimeout bounds connecting to an instance. One that is stopped accepts connections until its queue is full.
	callerDialTimeout = time.Second
	// promptTokens is the number of tokens of each prompt, but for those of calls in pairs, which pairCustomer makes on urgentRoute and
	// otherRoute. Of these, urgent calls need a seventh of the tokens, as in docs/design/rationing.md.
	promptTokens, urgentPromptTokens, otherPromptTokens = 1600, 400, 2640
	urgentRoute, otherRoute, pairCustomer               = "ask", "report", "scarce"
	// maxResumptions is how often a caller takes up a stream again, firstPause the time before it does first. It doubles each time, up to
	// maxPause. After a kill of all instances, these are not certain of versions for some 5 s.
	maxResumptions, firstPause, maxPause = 10, 300 * time.Millisecond, 2 * time.Second
	// canceledShare is the share of calls that their callers give up within giveUpAfter.
	canceledShare, giveUpAfter = 0.02, 300 * time.Millisecond
)

// routeKind is a route with the share of the calls that it gets.
type routeKind struct {
	name  string
	share float64
	// stream is set for streams, resumable for streams that callers resume, once for requests that may run at most once.
	stream, resumable, once bool
	attempts, promptTokens  int
	config                  map[string]any
}

// routes are the kinds of requests.
var routes = []routeKind{
	{name: "plan", share: 0.45, stream: true, resumable: true, attempts: 3, promptTokens: promptTokens, config: map[string]any{"mode": "streaming", "resumable": true, "priority": 3}},
	{name: "draft", share: 0.15, stream: true, resumable: true, attempts: 2, promptTokens: promptTokens, config: map[string]any{"mode": "streaming", "resumable": true, "priority": 1}},
	{name: "once", share: 0.1, stream: true, once: true, attempts: 1, promptTokens: promptTokens, config: map[string]any{"mode": "streaming", "priority": 2}},
	{name: "fetch", share: 0.15, attempts: 3, config: map[string]any{"mode": "idempotent", "priority": 2}},
	{name: "order", share: 0.15, once: true, attempts: 3, config: map[string]any{"mode": "non_idempotent", "priority": 1}},
	{name: urgentRoute, stream: true, attempts: 3, promptTokens: urgentPromptTokens, config: map[string]any{"mode": "streaming", "priority": 1}},
	{name: otherRoute, stream: true, attempts: 3, promptTokens: otherPromptTokens, config: map[string]any{"mode": "streaming", "priority": 3}},
}

// pairRoutes are those of calls in pairs: an urgent call and another one of pairCustomer at the same time to the same instance, so that faults
// of instances concern both alike.
var pairRoutes = routes[len(routes)-2:]

// customer is a customer with the share of the calls that it makes.
type customer struct {
	name  string
	share float64
	// prepaidSeconds is the number of seconds in which the calls of all customers, but those in pairs, would spend what it is granted at a time.
	prepaidSeconds float64
	priority       int
}

// customers has one whose tokens last and one whose tokens do not. Those of the third run out after some 5 s: its calls all have the last rank,
// so that no tokens are kept. Calls in pairs would spend those of the last one in 10 s.
var customers = []customer{{"large", 0.6, 600, 0}, {"medium", 0.25, 4, 1}, {"small", 0.15, 0.7, 3}, {pairCustomer, 0, 10, 1}}

// call is one request of a caller, with what the caller got.
type call struct {
	id, key, instance string
	route             *routeKind
	customer          string
	// resumes is the ID of the attempt that received the first event of the stream, after the number of events received before.
	resumes   string
	after     int
	at, ended time.Time
	// status is the status of the response, 0 if there was none. title and outcome are those of a refusal.
	status         int
	title, outcome string
	body           []byte
	err            error
	canceled       bool
}

// complete reports whether the caller got a response that ended like a complete one.
func (c *call) complete() bool { return c.status == http.StatusOK && c.err == nil }

// events returns the number of complete events received.
func (c *call) events() int { return strings.Count(string(c.body), "\n\n") }

// callers send requests to the instances until they are told to end. Calls of a stream and its resumptions share their key.
type callers struct {
	// pick returns the instance to send a request to, for a random number in [0, 1).
	pick    func(random float64) *instance
	client  *http.Client
	mu      sync.Mutex
	calls   []*call
	lastID  int
	random  *rand.Rand
	running sync.WaitGroup
	// rate is the number of new calls per second, pairs that of calls in pairs.
	rate, pairs float64
}

func newCallers(seed uint64, rate float64, pick func(float64) *instance) *callers {
	dialer := &net.Dialer{Timeout: callerDialTimeout}
	return &callers{pick: pick, rate: rate, random: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1000, DisableCompression: true,
	}}}
}

// setRate changes a number of new calls per second.
func (cs *callers) setRate(rate *float64, value float64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	*rate = value
}

// run sends calls until the context ends, and returns once all have ended.
func (cs *callers) run(ctx context.Context) {
	next := time.Now()
	for {
		cs.mu.Lock()
		next = next.Add(time.Duration(cs.random.ExpFloat64() / (cs.rate + cs.pairs) * float64(time.Second)))
		kinds := []*routeKind{pickShare(routes, func(k routeKind) float64 { return k.share }, cs.random.Float64())}
		from := pickShare(customers, func(c customer) float64 { return c.share }, cs.random.Float64())
		toward, canceled, givesUp := cs.random.Float64(), cs.random.Float64() < canceledShare, time.Duration(cs.random.Float64()*float64(giveUpAfter))
		if cs.pairs > cs.random.Float64()*(cs.rate+cs.pairs) {
			first := cs.random.IntN(2)
			kinds, from, canceled = []*routeKind{&pairRoutes[first], &pairRoutes[1-first]}, &customers[len(customers)-1], false
		}
		cs.mu.Unlock()
		if !sleep(ctx, time.Until(next)) {
			cs.running.Wait()
			return
		}
		for _, kind := range kinds {
			c := cs.newCall(kind, from.name)
			c.canceled = canceled
			cs.running.Go(func() {
				cs.send(c, toward, map[bool]time.Duration{true: givesUp, false: callTimeout}[canceled])
				if kind.resumable && !canceled {
					cs.resume(ctx, c)
				}
			})
		}
	}
}

// resume takes up the stream of a call again until it is complete, or the context ends.
func (cs *callers) resume(ctx context.Context, first *call) {
	received, pause := first.events(), firstPause
	for range maxResumptions {
		if received == 0 || received >= streamEvents || !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, maxPause)
		c := cs.newCall(first.route, first.customer)
		c.key, c.resumes, c.after = first.key, first.id, received
		cs.mu.Lock()
		toward := cs.random.Float64()
		cs.mu.Unlock()
		cs.send(c, toward, callTimeout)
		if c.status == http.StatusOK {
			received += c.events()
		}
	}
}

func (cs *callers) newCall(kind *routeKind, from string) *call {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastID++
	c := &call{id: fmt.Sprintf("id-%06d", cs.lastID), key: fmt.Sprintf("key-id-%06d", cs.lastID), route: kind, customer: from}
	cs.calls = append(cs.calls, c)
	return c
}

// pickShare returns an item by its share of all; random is uniformly distributed in [0, 1).
func pickShare[T any](items []T, share func(T) float64, random float64) *T {
	total := 0.0
	for _, i := range items {
		total += share(i)
	}
	random *= total
	for i := range items {
		if random -= share(items[i]); random < 0 {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}

// send sends the request and reads the response.
func (cs *callers) send(c *call, toward float64, timeout time.Duration) {
	in := cs.pick(toward)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.at = time.Now()
	defer func() { c.ended = time.Now() }()
	if in == nil {
		c.err = errors.New("no instance has a process")
		return
	}
	c.instance = in.name
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.callerAddress+"/"+c.route.name+"/x", strings.NewReader(c.key))
	if err != nil {
		c.err = err
		return
	}
	// Without GetBody the transport never sends a request again on its own.
	req.GetBody = nil
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("Api-Key", c.customer+"-api")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint((callTimeout - callMargin).Milliseconds()))
	if c.route.stream {
		prompt := c.route.promptTokens
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", prompt, streamEvents*tokensPerEvent))
		// Half of a prompt is the same for all calls of that length, three eighths are those of a session.
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("c%d:%d,s%d-%d:%d,%s:%d", prompt, prompt/2, prompt, int(toward*200), prompt*3/8, c.key, prompt/8))
	}
	if c.resumes != "" {
		req.Header.Set("Resumes", c.resumes)
		req.Header.Set("Last-Event-Id", fmt.Sprint(c.after))
	}
	resp, err := cs.client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	c.body, c.err = io.ReadAll(bufio.NewReader(resp.Body))
	var problem struct{ Title, Outcome string }
	if c.status != http.StatusOK && json.Unmarshal(c.body, &problem) == nil {
		c.title, c.outcome = problem.Title, problem.Outcome
	}
}
