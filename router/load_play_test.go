package router_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// loadCustomers is the number of customers, and customerRanks that of their priorities.
	loadCustomers, customerRanks = 9, 3
	// minShareOfAverage is the least share served of a customer, route or size class, relative to the average, and maxRouteInversion
	// how much less a more urgent route may be served than a less urgent one (docs/design/hard-load-proof.md, part D).
	minShareOfAverage, maxRouteInversion = 0.25, 0.03
	// maxAdmittedLoad and minAdmittedLoad bound the work that endpoints get, relative to their capacity: the targets of package shed.
	maxAdmittedLoad, minAdmittedLoad = 1.1, 0.9
	// returnShare is the part of the time left, one third, that a refused caller waits before it comes back.
	returnShare = 3
	// calmLoad is the demand relative to the capacity while there is capacity for all.
	calmLoad = 0.7
	// reportsKnown is how old load reports may be.
	reportsKnown = 3 * time.Second
	// warmUp is the time in which instances find each other and exchange reports before callers are checked.
	warmUp = 5 * time.Second
)

// loadKind is a kind of request, with a route of its own. Its priority is its position among all kinds.
type loadKind struct {
	name           string
	prompt, output int
	work           time.Duration
	// patience is how long a caller waits for the whole response.
	patience time.Duration
	share    float64
}

// plainKinds are the kinds of a plain service, as in the tests of package shed.
var plainKinds = []loadKind{
	{name: "lookup", work: 100 * time.Millisecond, patience: 2 * time.Second, share: 0.5},
	{name: "thumb", work: 100 * time.Millisecond, patience: 5 * time.Second, share: 0.3},
	{name: "index", work: 100 * time.Millisecond, patience: 10 * time.Second, share: 0.2},
}

// streamKinds are the kinds of a service of engines. Their work is that of the published step times of engines: 18.5 ms for each
// 1,024 prompt tokens and for each output token.
var streamKinds = []loadKind{
	{name: "chat", prompt: 500, output: 24, work: 450 * time.Millisecond, patience: 4 * time.Second, share: 0.6},
	{name: "write", prompt: 1500, output: 60, work: 1140 * time.Millisecond, patience: 8 * time.Second, share: 0.3},
	{name: "report", prompt: 8000, output: 120, work: 2360 * time.Millisecond, patience: 12 * time.Second, share: 0.1},
}

// loadPlay is an emulation of a service whose endpoints have slots and queues, under load by callers of several customers and routes.
type loadPlay struct {
	*emulator
	engine bool
	// maxQueue is how many requests may wait at an endpoint; zero means any number.
	maxQueue int
	kinds    []loadKind
	// patience, if set, returns how long the caller of a request waits, in place of that of its kind. random is uniform in [0, 1).
	patience func(q *query, random float64) time.Duration
	// padding follows the bodies of plain responses, and each event of a stream as a comment. slowReaders is the share of the callers who read a few bytes a second and stay.
	padding     string
	slowReaders float64
	// stayInDomain is set if callers come back to an instance of the same failure domain.
	stayInDomain bool
	servers      []*loadedEndpoint
	start        time.Time

	// queryMu guards the fields below.
	queryMu sync.Mutex
	queries []*query
}

// query is a request of a caller, who comes back once after a refusal or a lost connection.
type query struct {
	id       string
	kind     *loadKind
	customer int
	at       time.Time
	// patience is how long the caller waits.
	patience time.Duration
	answers  []answer
	served   bool
	// slow is set if the caller reads a few bytes a second.
	slow bool
}

// answer is what a caller got for one attempt.
type answer struct {
	request, instance, domain string
	sent, ended               time.Time
	status                    int
	problem                   string
	// after is the delay that a refusal asks for, negative if it names none.
	after time.Duration
	whole bool
}

// newLoadPlay starts instances before endpoints in three failure domains, whose slots are busy with requests of the given kinds.
func newLoadPlay(seed uint64, instances, endpoints, slots, maxQueue int, engine bool) *loadPlay {
	p := &loadPlay{emulator: newEmulator(seed, 0, 0), engine: engine, maxQueue: maxQueue, kinds: plainKinds}
	if engine {
		p.kinds = streamKinds
	}
	p.sharesAllLoads = true
	p.store.set("config/main", p.configuration())
	p.wrapEndpoint = func(e *emulatedEndpoint) http.Handler {
		i := len(p.servers)
		l := &loadedEndpoint{emulatedEndpoint: e, play: p, workTime: 1}
		if engine && i%3 == 0 {
			l.workTime = 1.7
		}
		e.slots, e.domain = slots, []string{"hall-a", "hall-b", "hall-c"}[i%3]
		p.servers = append(p.servers, l)
		return l
	}
	for i := range endpoints {
		p.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), "v1")
	}
	p.addInstances(instances)
	for _, in := range p.instances {
		in.weight = 1
	}
	time.Sleep(2 * time.Second)
	p.start = time.Now()
	return p
}

// configuration returns the configuration with a route for each kind and all customers.
func (p *loadPlay) configuration() string {
	var routes, customers []string
	for priority, k := range p.kinds {
		mode := `"idempotent"`
		if p.engine {
			mode = `"streaming","sticky":true,"gap_aim_ms":1000`
		}
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":"/%s/","mode":%s,"priority":%d,"timeout_ms":60000,
			"slo_ms":4000,"max_attempts":3,"service":"model"}`, k.name, k.name, mode, priority))
	}
	for i := range loadCustomers {
		customers = append(customers, fmt.Sprintf(`{"name":"customer-%d","api_keys":["key-%d"],"priority":%d}`, i, i, i%customerRanks))
	}
	service := `{"name":"model"}`
	if p.engine {
		service = `{"name":"model","engine":{"slots":12,"kv_capacity":5000000,"stride":4}}`
	}
	return fmt.Sprintf(`{"version":2,"routes":[%s],"services":[%s],"tenants":[%s]}`, strings.Join(routes, ","), service, strings.Join(customers, ","))
}

// workOf returns the work of a request at an endpoint of the usual speed.
func (p *loadPlay) workOf(r *http.Request) time.Duration {
	for _, k := range p.kinds {
		if strings.HasPrefix(r.URL.Path, "/"+k.name+"/") {
			return k.work
		}
	}
	panic("no kind of request has the path " + r.URL.Path)
}

// capacity returns the number of requests per second that the serving endpoints complete.
func (p *loadPlay) capacity(serving func(*loadedEndpoint) bool) (perSecond float64) {
	mean := 0.0
	for _, k := range p.kinds {
		mean += k.share * k.work.Seconds()
	}
	for _, s := range p.servers {
		if serving(s) {
			perSecond += float64(s.slots) / s.workTime / mean
		}
	}
	return perSecond
}

func allServers(*loadedEndpoint) bool { return true }

// send lets callers send requests for some time. rate returns the number per second by the time since the start.
func (p *loadPlay) send(d time.Duration, rate func(time.Duration) float64) {
	until := time.Now().Add(d)
	for {
		p.mu.Lock()
		pause := time.Duration(p.random.ExpFloat64() / rate(time.Since(p.start)) * float64(time.Second))
		kind, x := &p.kinds[len(p.kinds)-1], p.random.Float64()
		for i := range p.kinds {
			if x -= p.kinds[i].share; x < 0 {
				kind = &p.kinds[i]
				break
			}
		}
		customer, random := p.random.IntN(loadCustomers), p.random.Float64()
		p.mu.Unlock()
		if time.Sleep(pause); time.Now().After(until) {
			return
		}
		q := &query{id: p.nextID(), kind: kind, customer: customer, at: time.Now(), patience: kind.patience, slow: random < p.slowReaders}
		if p.patience != nil {
			q.patience = p.patience(q, random)
		}
		p.queryMu.Lock()
		p.queries = append(p.queries, q)
		p.queryMu.Unlock()
		p.work.Go(func() { p.ask(q) })
	}
}

// ask sends a request, and once more if the caller has time enough.
func (p *loadPlay) ask(q *query) {
	deadline := q.at.Add(q.patience)
	for try := range 2 {
		p.mu.Lock()
		in := p.pickInstance()
		for try > 0 && p.stayInDomain && in.domain() != q.answers[0].domain {
			in = p.pickInstance()
		}
		p.mu.Unlock()
		a := p.attempt(q, in, fmt.Sprintf("%s-%d", q.id, try), deadline)
		q.answers = append(q.answers, a)
		q.served = a.whole
		left := time.Until(deadline)
		switch {
		case a.status == http.StatusServiceUnavailable && a.after >= 0 && a.after <= left/returnShare:
			time.Sleep(a.after)
		case a.status == 0 && left > 0:
			time.Sleep(repeatDelay)
		default:
			return
		}
	}
}

// eventPadding returns what follows each event of a stream.
func (p *loadPlay) eventPadding() string {
	if p.padding == "" {
		return ""
	}
	return ": " + p.padding + "\n\n"
}

// slowReaderStays is how long a caller who reads slowly keeps its connection: much longer than any request may take.
const slowReaderStays = time.Minute

// attempt sends a request to an instance and reads the response.
func (p *loadPlay) attempt(q *query, in *emulatedInstance, id string, deadline time.Time) (a answer) {
	a = answer{request: id, instance: in.name, domain: in.domain(), sent: time.Now(), after: -1}
	defer func() { a.ended = time.Now() }()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	if q.slow {
		ctx, cancel = context.WithTimeout(context.Background(), slowReaderStays)
	}
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+in.address(80)+"/"+q.kind.name+"/x", strings.NewReader(q.id))
	if err != nil {
		panic(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", id)
	// A caller who cancels early does not say so before.
	said := q.at.Add(q.kind.patience)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(time.Until(said).Milliseconds(), 1), 10))
	req.Header.Set("Api-Key", fmt.Sprintf("key-%d", q.customer))
	if p.engine {
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", q.kind.prompt, q.kind.output))
		req.Header.Set("X-Prefix-Hash", fmt.Sprintf("c%d:100,%s:%d", q.customer, q.id, q.kind.prompt-100))
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if q.slow && a.status == http.StatusOK {
		for piece := make([]byte, 16); err == nil; time.Sleep(time.Second) {
			_, err = resp.Body.Read(piece)
		}
		return a
	}
	body, err := io.ReadAll(resp.Body)
	if a.status != http.StatusOK {
		var problem struct{ Title string }
		_ = json.Unmarshal(body, &problem)
		a.problem = problem.Title
		if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			a.after = time.Duration(seconds * float64(time.Second))
		}
		return a
	}
	expected := plainBody(id) + p.padding
	if p.engine {
		expected = ""
		for id := range loadEvents {
			expected += streamBody("v1", id+1, id+1) + p.eventPadding()
		}
	}
	a.whole = err == nil && string(body) == expected
	return a
}

// refused reports whether an attempt was refused as not run.
func (a answer) refused() bool {
	return a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
}

// between returns the requests that callers first sent in a time since the start.
func (p *loadPlay) between(from, until time.Duration) (out []*query) {
	for _, q := range p.queries {
		if since := q.at.Sub(p.start); since >= from && since < until {
			out = append(out, q)
		}
	}
	return out
}

// share is the share served of a group of requests.
type share struct {
	group       string
	asked, done int
}

func (s share) served() float64 { return float64(s.done) / float64(max(s.asked, 1)) }

// sharesBy returns the shares served by group, the groups in order.
func sharesBy(queries []*query, group func(*query) string) (out []share) {
	byGroup := make(map[string]*share)
	for _, q := range queries {
		g := group(q)
		if byGroup[g] == nil {
			byGroup[g] = &share{group: g}
		}
		byGroup[g].asked++
		if q.served {
			byGroup[g].done++
		}
	}
	for _, s := range byGroup {
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b share) int { return cmp.Compare(a.group, b.group) })
	return out
}

func byAll(*query) string        { return "all" }
func byCustomer(q *query) string { return fmt.Sprintf("customer %d", q.customer) }
func byRoute(q *query) string    { return "route " + q.kind.name }
func byPriority(q *query) string { return fmt.Sprintf("priority %d", q.customer%customerRanks) }

// sizeClassOf returns the size class of requests: the largest tenth, the next fifth, and the rest.
func sizeClassOf(queries []*query) func(*query) string {
	works := make([]time.Duration, 0, len(queries))
	for _, q := range queries {
		works = append(works, q.kind.work)
	}
	slices.Sort(works)
	return func(q *query) string {
		switch {
		case q.kind.work >= works[len(works)*9/10]:
			return "size large"
		case q.kind.work >= works[len(works)*7/10]:
			return "size medium"
		default:
			return "size small"
		}
	}
}

// checkShares fails the test if a customer, route or size class was served too little, or a route less than a less urgent one.
func (p *loadPlay) checkShares(t *testing.T, name string, queries []*query) {
	t.Helper()
	p.checkLeastShares(t, name, queries)
	checkOrder(t, name, p.kinds, queries)
}

// checkLeastShares fails the test if a customer, route or size class was served too little.
func (p *loadPlay) checkLeastShares(t *testing.T, name string, queries []*query) {
	t.Helper()
	all := sharesBy(queries, byAll)[0]
	for _, group := range []func(*query) string{byCustomer, byRoute, sizeClassOf(queries)} {
		for _, s := range sharesBy(queries, group) {
			if s.served() < minShareOfAverage*all.served() {
				t.Errorf("%s: %s was served %.3f of %d requests, all %.3f of %d; a quarter of that is the least", name, s.group, s.served(), s.asked, all.served(), all.asked)
			}
		}
	}
	text := ""
	for _, s := range slices.Concat(sharesBy(queries, byRoute), sharesBy(queries, byPriority), sharesBy(queries, byCustomer)) {
		text += fmt.Sprintf(", %s %.2f", strings.TrimPrefix(s.group, "route "), s.served())
	}
	t.Logf("%s: served %.3f of %d%s", name, all.served(), all.asked, text)
}

// checkOrder fails the test if a route or customer priority was served less than a less urgent one.
func checkOrder(t *testing.T, name string, kinds []loadKind, queries []*query) {
	t.Helper()
	routes := sharesBy(queries, byRoute)
	position := func(s share) int {
		return slices.IndexFunc(kinds, func(k loadKind) bool { return s.group == "route "+k.name })
	}
	slices.SortFunc(routes, func(a, b share) int { return cmp.Compare(position(a), position(b)) })
	for _, shares := range [][]share{routes, sharesBy(queries, byPriority)} {
		for i, urgent := range shares {
			for _, other := range shares[i+1:] {
				if urgent.served() < other.served()-maxRouteInversion {
					t.Errorf("%s: %s was served %.3f of %d requests, the less urgent %s %.3f of %d", name, urgent.group, urgent.served(), urgent.asked, other.group, other.served(), other.asked)
				}
			}
		}
	}
}

// checkRefusals fails the test if a refused request ran, or a refusal does not say when to come back.
func (p *loadPlay) checkRefusals(t *testing.T) {
	t.Helper()
	ran := make(map[string]bool)
	for _, s := range p.servers {
		for _, v := range s.visits {
			ran[v.request] = ran[v.request] || !v.begun.IsZero()
		}
	}
	for _, q := range p.queries {
		for _, a := range q.answers {
			if a.refused() && ran[a.request] {
				t.Errorf("REFUSED: request %s of %s was refused as %s and ran", a.request, q.kind.name, a.problem)
			}
			if a.refused() && a.after <= 0 {
				t.Errorf("request %s of %s was refused as %s without Retry-After", a.request, q.kind.name, a.problem)
			}
		}
	}
}

// lateQueries returns the requests that were sent to an endpoint and were not served before their callers left.
func (p *loadPlay) lateQueries(queries []*query) (late []string) {
	came := make(map[string]bool)
	for _, s := range p.servers {
		for _, v := range s.visits {
			came[v.request] = came[v.request] || !v.rejected
		}
	}
	for _, q := range queries {
		last := q.answers[len(q.answers)-1]
		if !q.served && came[last.request] && !last.ended.Before(q.at.Add(q.patience-minAnswerTime)) {
			late = append(late, fmt.Sprintf("request %s of %s, priority %d, at %.2f s waited %v in vain, status %d %s", last.request, q.kind.name, q.customer%customerRanks, q.at.Sub(p.start).Seconds(), last.ended.Sub(last.sent), last.status, last.problem))
		}
	}
	return late
}

// minAnswerTime is how long before the end of a caller's patience the instance gives up a request: the deadline in its header is in
// whole milliseconds.
const minAnswerTime = 20 * time.Millisecond

// longestWait returns the longest time from which callers had a response or a refusal.
func longestWait(queries []*query) (longest time.Duration) {
	for _, q := range queries {
		longest = max(longest, q.answers[len(q.answers)-1].ended.Sub(q.at))
	}
	return longest
}

// statuses counts the last answers of requests by status and title.
func statuses(queries []*query) map[string]int {
	out := make(map[string]int)
	for _, q := range queries {
		a := q.answers[len(q.answers)-1]
		out[strings.TrimSpace(fmt.Sprint(a.status, " ", a.problem))]++
	}
	return out
}
