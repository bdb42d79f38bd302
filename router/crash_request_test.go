package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// requestKnownAfterCrashes is the number of endpoints that a request crashed after which instances must know it.
	requestKnownAfterCrashes = 3
	// maxLateArrivals is how often the request may reach endpoints later than contactPeriod after that.
	maxLateArrivals = 3
	// contentRequestsBegin is when the first crashing request comes, contentRequestsLast how long its repeats come.
	contentRequestsBegin, contentRequestsLast = 5 * time.Second, 20 * time.Second
	// atOnceDelay is the time until a caller that does not wait sends a request again.
	atOnceDelay = 20 * time.Millisecond
	// popularShare is the share of sound requests that are the same as others, popularCount the number of different ones.
	popularShare, popularCount = 0.4, 3
	// minShareServed is the share of the sound requests that must be served once the crashes have ended, relative to those before.
	minShareServed = 0.95
)

// contentConfiguration has a plain service, or model engines if %s describes them, with a route for each number of attempts.
const contentConfiguration = `{"version":2,"routes":[
	{"name":"two","host":"a.example","path_prefix":"/two/","mode":"idempotent","timeout_ms":1500,"slo_ms":300,"max_attempts":2,"service":"model"},
	{"name":"five","host":"a.example","path_prefix":"/five/","mode":"idempotent","timeout_ms":1500,"slo_ms":300,"max_attempts":5,"service":"model"},
	{"name":"once","host":"a.example","path_prefix":"/once/","mode":"non_idempotent","timeout_ms":1500,"slo_ms":300,"max_attempts":1,"service":"model"},
	{"name":"stream","host":"a.example","path_prefix":"/stream/","mode":"streaming","sticky":true,"resumable":true,"timeout_ms":6000,"slo_ms":500,
	"gap_aim_ms":250,"max_attempts":3,"service":"model"}],
	"services":[{"name":"model"%s}],"tenants":[{"name":"customer-0","api_keys":["key-0"]},{"name":"customer-1","api_keys":["key-1"]}]}`

const engineConfiguration = `,"engine":{"slots":128,"kv_capacity":500000,"stride":4}`

// contentScenario is a play in which one request crashes each endpoint that begins to run it.
type contentScenario struct {
	name string
	// route is the route of the request.
	route     string
	engine    bool
	endpoints int
	// rate is the number of repeats per second, burst the number of callers that send each at the same time.
	rate  float64
	burst int
	// disrupt disrupts the fleet. It runs in its own goroutine.
	disrupt func(*crashPlay)
}

var contentScenarios = []contentScenario{
	{name: "three endpoints", route: "two", endpoints: 3, rate: 2},
	{name: "three endpoints, several callers at the same moment", route: "two", endpoints: 3, rate: 1, burst: 3},
	{name: "three endpoints, five attempts", route: "five", endpoints: 3, rate: 2},
	{name: "nine endpoints, five attempts", route: "five", endpoints: 9, rate: 2},
	{name: "nine endpoints, one attempt", route: "once", endpoints: 9, rate: 2},
	{name: "nine endpoints, rare repeats", route: "two", endpoints: 9, rate: 0.4},
	{name: "nine engines, streams", route: "stream", endpoints: 9, engine: true, rate: 2},
	{name: "three endpoints, a third of the instances restarts", route: "two", endpoints: 3, rate: 2, disrupt: (*crashPlay).restartThird},
	{name: "nine endpoints, all instances restart", route: "five", endpoints: 9, rate: 2, disrupt: (*crashPlay).restartAllLater},
	{name: "nine endpoints, an instance is cut off from the others", route: "two", endpoints: 9, rate: 2, disrupt: (*crashPlay).cutFromOthers},
	{name: "three endpoints, some instances are cut off from the store", route: "two", endpoints: 3, rate: 2, disrupt: (*crashPlay).cutSomeFromStore},
	{name: "nine endpoints, the store is cut off", route: "five", endpoints: 9, rate: 2, disrupt: (*crashPlay).cutAllFromStore},
}

// contentRequest is one attempt of a caller.
type contentRequest struct {
	at                 time.Time
	id, instance, path string
	// repeated is set if the caller sends the request again.
	repeated bool
	status   int
	complete bool
	problem  string
}

// contentPlay is an emulation with requests that may be the same as earlier ones.
type contentPlay struct {
	*crashPlay
	scenario contentScenario
	mu       sync.Mutex
	requests []*contentRequest
	lastKey  int
	// lost holds the endpoints that crashed while a request with the path was in progress.
	lost map[string]map[*emulatedEndpoint]bool
}

// newContentPlay starts the fleet of a scenario.
func newContentPlay(s contentScenario, instances int, seed uint64) *contentPlay {
	engine := ""
	if s.engine {
		engine = engineConfiguration
	}
	p := &contentPlay{scenario: s, lost: make(map[string]map[*emulatedEndpoint]bool), crashPlay: &crashPlay{
		crashEmulator: newConfiguredCrashEmulator(seed, instances, 0, fmt.Sprintf(contentConfiguration, engine)),
		choices:       rand.New(rand.NewPCG(seed, 2)), known: requestKnownAfterCrashes,
	}}
	wrap := p.wrapEndpoint
	p.wrapEndpoint = func(endpoint *emulatedEndpoint) http.Handler {
		if !s.engine {
			endpoint.respond = endpoint.respondPlain
		}
		handler := wrap(endpoint)
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer p.recordLost(endpoint, r.URL.Path)
			handler.ServeHTTP(w, r)
		})
	}
	for i := range s.endpoints {
		p.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), "v1")
	}
	time.Sleep(time.Second)
	return p
}

// recordLost records the end of a request at an endpoint that has crashed.
func (p *contentPlay) recordLost(endpoint *emulatedEndpoint, path string) {
	if !endpoint.process.isKilled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost[path] == nil {
		p.lost[path] = make(map[*emulatedEndpoint]bool)
	}
	p.lost[path][endpoint] = true
}

// addCrashing adds a request that crashes endpoints, of the scenario's route.
func (p *contentPlay) addCrashing(from, until time.Time) *crashingPart {
	part := &crashingPart{
		id: "/" + p.scenario.route + "/bad", route: p.scenario.route, unanswered: true, from: from, until: until, crashed: make(chan struct{}),
	}
	p.ordered, p.parts[part.id] = append(p.ordered, part), part
	return part
}

// soundPath returns the path of a request that crashes no endpoint. Some paths are requested often.
func (p *contentPlay) soundPath() string {
	routes := []string{"two", "five", "once"}
	if p.scenario.engine {
		routes = []string{"stream"}
	}
	route := routes[int(p.uniform()*float64(len(routes)))]
	if p.uniform() < popularShare {
		return fmt.Sprintf("/%s/popular%d", route, int(p.uniform()*popularCount))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastKey++
	return fmt.Sprintf("/%s/k%d", route, p.lastKey)
}

// sendPaths sends requests at a rate until a time, each as many times at the same moment as burst says.
func (p *contentPlay) sendPaths(rate float64, burst int, from, until time.Time, path func() string) {
	time.Sleep(time.Until(from))
	for {
		p.emulator.mu.Lock()
		gap := time.Duration(min(p.random.ExpFloat64(), maxRelativeGap) / rate * float64(time.Second))
		p.emulator.mu.Unlock()
		if time.Sleep(gap); !time.Now().Before(until) {
			return
		}
		next := path()
		for range max(burst, 1) {
			p.work.Go(func() { p.request(next) })
		}
	}
}

// request sends a request, and again at once if it fails and may be repeated.
func (p *contentPlay) request(path string) {
	for repeat := range maxRepeats + 1 {
		p.emulator.mu.Lock()
		in := p.pickInstance()
		p.emulator.mu.Unlock()
		preferred := p.uniform() < 0.5
		p.crashMu.Lock()
		if _, crashes := p.parts[path]; crashes && preferred && p.preferred != nil {
			in = p.preferred
		}
		p.crashMu.Unlock()
		r := p.send(path, in)
		r.repeated = repeat > 0
		repeatable := !strings.HasPrefix(path, "/once/") || r.status == http.StatusServiceUnavailable
		if r.complete || !repeatable {
			return
		}
		time.Sleep(atOnceDelay)
	}
}

// send sends one attempt. All requests to a path have the same body.
func (p *contentPlay) send(path string, in *emulatedInstance) *contentRequest {
	r := &contentRequest{at: time.Now(), id: p.nextID(), instance: in.name, path: path}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.requests = append(p.requests, r)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+in.address(80)+path, strings.NewReader("body of "+path))
	if err != nil {
		panic(err)
	}
	req.Host = "a.example"
	for name, value := range map[string]string{"X-Request-Id": r.id, "X-Deadline-Ms": "6000", "Api-Key": "key-0"} {
		req.Header.Set(name, value)
	}
	if p.scenario.engine {
		req.Header.Set("X-Token-Counts", "1000,48")
		req.Header.Set("X-Prefix-Hash", "c0:800,"+strings.ReplaceAll(path, "/", "")+":200")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	r.complete = err == nil && r.status == http.StatusOK
	if r.status != http.StatusOK {
		var problem struct{ Title string }
		_ = json.Unmarshal(body, &problem)
		r.problem = problem.Title
	}
	return r
}

// play sends the requests of the scenario.
func (p *contentPlay) play(rate float64) {
	from := p.start.Add(contentRequestsBegin)
	part := p.addCrashing(from, from.Add(contentRequestsLast))
	p.work.Go(func() {
		p.sendPaths(p.scenario.rate, p.scenario.burst, part.from, part.until, func() string { return part.id })
	})
	if p.scenario.disrupt != nil {
		p.work.Go(func() {
			time.Sleep(time.Until(part.from))
			p.scenario.disrupt(p.crashPlay)
		})
	}
	p.sendPaths(rate, 1, p.start, part.until, p.soundPath)
	p.stop()
}

// lateArrivals returns the arrivals of the request at endpoints from instances in touch, later than contactPeriod after the crash
// from which instances must know it.
func (p *contentPlay) lateArrivals(part *crashingPart) (late []partArrival) {
	if len(part.crashes) < requestKnownAfterCrashes {
		return nil
	}
	known := part.crashes[requestKnownAfterCrashes-1].Add(contactPeriod)
	for _, a := range part.arrivals {
		if a.at.After(known) && p.isInTouch(a.instance, a.at) {
			late = append(late, a)
		}
	}
	return late
}

// served counts the attempts of sound requests at instances in touch in a time, and those that were served.
func (p *contentPlay) served(from, until time.Time) (t beganTally) {
	for _, r := range p.requests {
		if p.parts[r.path] != nil || r.at.Before(from) || !r.at.Before(until) || !p.isInTouch(r.instance, r.at) {
			continue
		}
		t.all++
		if r.complete {
			t.began++
		}
	}
	return t
}

// wronglyRefused returns the paths of sound requests that were refused as if they crashed endpoints, although other requests with
// the path are served or fewer endpoints crashed while one was in progress than the crashing request needs.
func (p *contentPlay) wronglyRefused() (paths []string) {
	for _, r := range p.requests {
		sound := p.parts[r.path] == nil && strings.HasPrefix(r.problem, "quarantined")
		if sound && (strings.Contains(r.path, "popular") || len(p.lost[r.path]) < requestKnownAfterCrashes) {
			paths = append(paths, r.path)
		}
	}
	return paths
}

func (p *contentPlay) check(t *testing.T) {
	part := p.ordered[0]
	late := p.lateArrivals(part)
	t.Logf("%d crashes, %d arrivals, %d of them late", len(part.crashes), len(part.arrivals), len(late))
	if len(late) > maxLateArrivals {
		t.Errorf("BUDGET: the request reached endpoints %d times later than %v after it had crashed the third, at most %d may",
			len(late), contactPeriod, maxLateArrivals)
	}
	if len(part.crashes) == 0 {
		t.Error("the request crashed no endpoint")
	}
	if paths := p.wronglyRefused(); len(paths) > 0 {
		t.Errorf("sound requests were refused as if they crashed endpoints: %v", paths)
	}
	if len(part.crashes) < requestKnownAfterCrashes {
		return
	}
	before := p.served(p.start, part.from)
	during := p.served(part.crashes[requestKnownAfterCrashes-1].Add(contactPeriod+maxRestart+time.Second), part.until)
	t.Logf("sound requests served: %.3f of %d before, %.3f of %d during", before.share(), before.all, during.share(), during.all)
	if during.all < minRelatedRequests {
		t.Errorf("too few sound requests to judge: %d, want at least %d", during.all, minRelatedRequests)
	}
	if during.share() < minShareServed*before.share() {
		t.Errorf("LOST: sound requests were served %.3f of the time while the request came, %.3f before", during.share(), before.share())
	}
}

// One request that crashes each endpoint that runs it, and comes again at any instance, must not take the service down.
func TestRepeatedRequestThatCrashesEndpointsStopsReachingThem(t *testing.T) {
	for _, s := range contentScenarios {
		for _, size := range crashSizes {
			for seed := range size.seeds() {
				t.Run(s.name+"/"+size.name(seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						p := newContentPlay(s, size.instances, seed)
						p.play(size.rate)
						p.check(t)
						if t.Failed() {
							t.Log("timeline:\n" + p.timeline())
						}
					})
				})
			}
		}
	}
}

// Requests that are the same as others, and in progress whenever all endpoints of a small service crash for other reasons, must
// not be refused.
func TestCrashesOfSmallServiceQuarantineNoRequests(t *testing.T) {
	for _, size := range crashSizes {
		for seed := range size.seeds() {
			t.Run(size.name(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := newContentPlay(contentScenario{endpoints: 3}, size.instances, seed)
					p.work.Go(func() {
						for i := range 6 {
							time.Sleep(maxRestart + time.Second)
							p.crashSpread(3, time.Duration(i%3)*100*time.Millisecond)
						}
					})
					p.sendPaths(size.rate, 1, p.start, p.start.Add(40*time.Second), p.soundPath)
					p.stop()
					if paths := p.wronglyRefused(); len(paths) > 0 {
						t.Errorf("%d of %d requests were refused as if they crashed endpoints: %v", len(paths), len(p.requests), paths)
						t.Log("timeline:\n" + p.timeline())
					}
				})
			})
		}
	}
}

// crashSpread crashes endpoints one after the other.
func (p *contentPlay) crashSpread(n int, gap time.Duration) {
	for range n {
		p.crashSome(1)
		time.Sleep(gap)
	}
}
