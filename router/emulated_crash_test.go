package router_test

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// minRestart and maxRestart bound the time from the crash of an endpoint to its next process.
	minRestart, maxRestart = 3 * time.Second, 5 * time.Second
	// maxRegistration is the time within which a new endpoint process registers.
	maxRegistration = 300 * time.Millisecond
	// sameIDShare is the share of crashed endpoints that return under their ID.
	sameIDShare = 0.2
	// maxRelativeGap bounds the time between requests of a kind, relative to its mean.
	maxRelativeGap = 2.0
	// maxRepeats is how often a caller sends a request again that has brought no event.
	maxRepeats = 2
	// repeatDelay is the time until a caller does so if the response names none.
	repeatDelay = 300 * time.Millisecond
	// sessionCount is the number of sessions of the callers, keyCount that of their keys and of the first parts of prompts.
	sessionCount, keyCount = 180, 3
	// documentCount is the number of prompt parts that requests of different sessions share beside the first part, and
	// documentShare the share of requests with one.
	documentCount, documentShare = 12, 0.3
	// headerLead is how long before its first event an endpoint sends the header of a response, slowHeaderLead that of
	// requests with slowDocument, which has half of all requests with a document, or with newDocument.
	headerLead, slowHeaderLead = 30 * time.Millisecond, 400 * time.Millisecond
	slowDocument, newDocument  = "d0", "dnew"
)

// crashConfiguration has a route whose streams may be resumed and repeated, and one that allows a single attempt.
const crashConfiguration = `{"version":2,"routes":[{"name":"plan","host":"a.example","path_prefix":"/plan/","mode":"streaming","sticky":true,
	"resumable":true,"timeout_ms":6000,"slo_ms":500,"gap_aim_ms":250,"max_attempts":3,"service":"model"},
	{"name":"draft","host":"a.example","path_prefix":"/draft/","mode":"streaming","sticky":true,
	"timeout_ms":6000,"slo_ms":500,"gap_aim_ms":250,"max_attempts":1,"service":"model"}],
	"services":[{"name":"model","engine":{"slots":128,"kv_capacity":500000,"stride":4}}],
	"tenants":[{"name":"customer-0","api_keys":["key-0"]},{"name":"customer-1","api_keys":["key-1"]},
	{"name":"customer-2","api_keys":["key-2"]}]}`

// promptRequest is a request of one of several kinds, with its stream.
type promptRequest struct {
	*stream
	sentAt time.Time
	// route is the name of the route.
	route string
	// key and session are the numbers of the caller's key and session.
	key, session int
	// parts holds the IDs of the prompt's parts in order.
	parts []string
}

// firstPart returns the ID of the first part of prompts in a session.
func firstPart(session int) string { return fmt.Sprintf("c%d", session/keyCount%keyCount) }

// sessionPart returns the ID of the part of prompts that belongs to a session.
func sessionPart(session int) string { return fmt.Sprintf("a%x", session) }

// prepare completes an HTTP request.
func (p *promptRequest) prepare(req *http.Request) {
	req.URL.Path = "/" + p.route + "/x"
	req.Header.Set("Api-Key", fmt.Sprintf("key-%d", p.key))
	req.Header.Set("X-Prefix-Hash", strings.Join(p.parts, ":400,")+":400")
	req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,48", 400*len(p.parts)))
}

// promptParts returns the IDs of the parts of a request's prompt.
func promptParts(r *http.Request) (ids []string) {
	for item := range strings.SplitSeq(r.Header.Get("X-Prefix-Hash"), ",") {
		id, _, _ := strings.Cut(item, ":")
		ids = append(ids, id)
	}
	return ids
}

// partArrival is a request with a crashing part that reached an endpoint and was not misdirected.
type partArrival struct {
	arrival
	endpoint, request string
}

// crashingPart is a prompt part that crashes each endpoint that begins to respond to a request with it. A whole request that
// does so has its path as the ID.
type crashingPart struct {
	id, route string
	// unanswered is set if endpoints crash before they send the header of a response.
	unanswered bool
	// isFirst is set if the part is the first of its prompts. Otherwise it follows a part that other requests share.
	isFirst bool
	// from and until bound the time in which callers send requests with the part.
	from, until time.Time
	crashes     []time.Time
	arrivals    []partArrival
	// crashed is closed and replaced at each crash.
	crashed chan struct{}
}

// absence is a time in which an instance is not in touch.
type absence struct {
	instance    string
	from, until time.Time
}

// crashEmulator is an emulator with requests of several kinds and with endpoints that crash and return.
type crashEmulator struct {
	*emulator
	start time.Time

	// crashMu guards the fields below.
	crashMu  sync.Mutex
	parts    map[string]*crashingPart
	requests []*promptRequest
	absences []absence
	// restarts is the number of endpoint processes that started after a crash.
	restarts int
	// events holds what happened, for the log of a failed test.
	events []string
	// resetShare is the share of its requests whose connection an endpoint resets, by its ID.
	resetShare map[string]float64
}

// newCrashEmulator starts the given number of instances and endpoints, and waits until they serve.
func newCrashEmulator(seed uint64, instances, endpoints int) *crashEmulator {
	return newConfiguredCrashEmulator(seed, instances, endpoints, crashConfiguration)
}

// newConfiguredCrashEmulator is newCrashEmulator with another configuration.
func newConfiguredCrashEmulator(seed uint64, instances, endpoints int, configuration string) *crashEmulator {
	c := &crashEmulator{
		emulator: newEmulator(seed, instances, 0), parts: make(map[string]*crashingPart), resetShare: make(map[string]float64),
	}
	c.store.set("config/main", configuration)
	c.wrapEndpoint = func(endpoint *emulatedEndpoint) http.Handler { return &crashHandler{emulator: c, endpoint: endpoint} }
	for i := range endpoints {
		c.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), "v1")
	}
	time.Sleep(2 * time.Second)
	c.start = time.Now()
	for _, in := range c.instances {
		c.absences = append(c.absences, absence{instance: in.name, from: in.started, until: in.started.Add(contactPeriod)})
	}
	return c
}

// note records an event for the log of a failed test.
func (c *crashEmulator) note(format string, args ...any) {
	text := fmt.Sprintf("%7.3f s ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...)
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	c.events = append(c.events, text)
}

// crashHandler serves the requests of an endpoint, which crashes on some of them.
type crashHandler struct {
	emulator *crashEmulator
	endpoint *emulatedEndpoint
}

// ServeHTTP implements http.Handler.
func (h *crashHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != h.endpoint.id {
		h.endpoint.ServeHTTP(w, r)
		return
	}
	intercepted := &interceptedWriter{ResponseWriter: w, begin: func(status int) { beginEarly(w, r, status) }}
	if part := h.emulator.recordArrival(h.endpoint, r); part != nil {
		intercepted.begin = func(int) { h.crash(w, part) }
	} else if h.emulator.resets(h.endpoint) {
		intercepted.begin = func(int) { h.reset(w) }
	}
	h.endpoint.ServeHTTP(intercepted, r)
}

// beginEarly sends the header of a response and waits until its first event is due.
func beginEarly(w http.ResponseWriter, r *http.Request, status int) {
	w.WriteHeader(status)
	w.(http.Flusher).Flush()
	lead := headerLead
	for _, id := range promptParts(r) {
		if id == slowDocument || id == newDocument {
			lead = slowHeaderLead
		}
	}
	pause(r.Context(), lead)
}

// crash ends the endpoint, usually after the header of a response.
func (h *crashHandler) crash(w http.ResponseWriter, part *crashingPart) {
	if !part.unanswered {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
	}
	if h.emulator.crashAndRestart(h.endpoint) {
		h.emulator.recordCrash(part, h.endpoint)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection of a request before or after the header of its response.
func (h *crashHandler) reset(w http.ResponseWriter) {
	if h.emulator.uniform() < 0.5 {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
	}
	panic(http.ErrAbortHandler)
}

// uniform returns a random number in [0, 1).
func (e *emulator) uniform() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// resets reports whether an endpoint resets the connection of its next request.
func (c *crashEmulator) resets(endpoint *emulatedEndpoint) bool {
	c.crashMu.Lock()
	share := c.resetShare[endpoint.id]
	c.crashMu.Unlock()
	return share > 0 && c.uniform() < share
}

// recordArrival records a request that is or has a crashing part, and returns the part, or nil if there is none.
func (c *crashEmulator) recordArrival(endpoint *emulatedEndpoint, r *http.Request) *crashingPart {
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	for _, id := range append(promptParts(r), r.URL.Path) {
		if part := c.parts[id]; part != nil {
			a := arrival{at: time.Now(), instance: r.RemoteAddr}
			part.arrivals = append(part.arrivals, partArrival{arrival: a, endpoint: endpoint.id, request: r.Header.Get("X-Request-Id")})
			return part
		}
	}
	return nil
}

// recordCrash records the crash of an endpoint by a part.
func (c *crashEmulator) recordCrash(part *crashingPart, endpoint *emulatedEndpoint) {
	c.crashMu.Lock()
	part.crashes = append(part.crashes, time.Now())
	n := len(part.crashes)
	close(part.crashed)
	part.crashed = make(chan struct{})
	c.crashMu.Unlock()
	c.note("%s crashes, the %d. of part %s", endpoint.id, n, part.id)
}

// crashAndRestart crashes an endpoint, and starts its next process at the same address some seconds later. It returns false
// if the endpoint had crashed before.
func (c *crashEmulator) crashAndRestart(endpoint *emulatedEndpoint) bool {
	if !c.crashEndpoint(endpoint) {
		return false
	}
	after := minRestart + time.Duration(c.uniform()*float64(maxRestart-minRestart))
	registration := time.Duration(c.uniform() * float64(maxRegistration))
	id := endpoint.id
	if c.uniform() >= sameIDShare {
		c.crashMu.Lock()
		c.restarts++
		id = fmt.Sprintf("i-%d", 1000+c.restarts)
		c.crashMu.Unlock()
	}
	c.work.Go(func() {
		time.Sleep(after)
		next := c.startUnregistered(id, endpoint.address, endpoint.version)
		time.Sleep(registration)
		c.store.set("servers/"+id, next.entry("ready"))
	})
	return true
}

// crashSome crashes the given number of serving endpoints at once.
func (c *crashEmulator) crashSome(n int) {
	c.mu.Lock()
	var victims []*emulatedEndpoint
	for _, i := range c.random.Perm(len(c.serving))[:min(n, len(c.serving))] {
		victims = append(victims, c.serving[i])
	}
	c.mu.Unlock()
	for _, endpoint := range victims {
		c.note("%s crashes", endpoint.id)
		c.crashAndRestart(endpoint)
	}
}

// beginAbsence records that an instance is not in touch from now on.
func (c *crashEmulator) beginAbsence(instance string) {
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	c.absences = append(c.absences, absence{instance: instance, from: time.Now(), until: time.Now().Add(time.Hour)})
}

// endAbsence records that nothing disturbs an instance any more: it is in touch after contactPeriod.
func (c *crashEmulator) endAbsence(instance string) {
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	for i := len(c.absences) - 1; i >= 0; i-- {
		if c.absences[i].instance == instance {
			c.absences[i].until = time.Now().Add(contactPeriod)
			return
		}
	}
}

// isInTouch reports whether an instance is in touch at a time.
func (c *crashEmulator) isInTouch(instance string, at time.Time) bool {
	for _, a := range c.absences {
		if a.instance == instance && !at.Before(a.from) && at.Before(a.until) {
			return false
		}
	}
	return true
}

// restartInstances kills instances and starts them again after some time.
func (c *crashEmulator) restartInstances(instances []*emulatedInstance, after time.Duration) {
	for _, in := range instances {
		c.note("%s is killed", in.name)
		c.beginAbsence(in.name)
		c.killInstance(in)
	}
	time.Sleep(after)
	for _, in := range instances {
		c.note("%s starts", in.name)
		c.startInstance(in)
		c.endAbsence(in.name)
	}
}

// cutFromStore cuts instances off from the store for some time.
func (c *crashEmulator) cutFromStore(instances []*emulatedInstance, d time.Duration) {
	set := func(in *emulatedInstance, cut bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		in.store.setCut(cut)
	}
	for _, in := range instances {
		c.note("%s is cut off from the store", in.name)
		c.beginAbsence(in.name)
		set(in, true)
	}
	time.Sleep(d)
	for _, in := range instances {
		c.note("%s reaches the store", in.name)
		set(in, false)
		c.endAbsence(in.name)
	}
}

// pickInstances returns the given number of instances.
func (c *crashEmulator) pickInstances(n int) (picked []*emulatedInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.random.Perm(len(c.instances))[:n] {
		picked = append(picked, c.instances[i])
	}
	return picked
}

// sendRandom sends requests at a rate until a time. next returns each request, and the instance to send it to or nil for any.
func (c *crashEmulator) sendRandom(rate float64, from, until time.Time, next func() (*promptRequest, *emulatedInstance)) {
	time.Sleep(time.Until(from))
	for {
		c.mu.Lock()
		pause := time.Duration(min(c.random.ExpFloat64(), maxRelativeGap) / rate * float64(time.Second))
		c.mu.Unlock()
		if time.Sleep(pause); !time.Now().Before(until) {
			return
		}
		request, in := next()
		if in == nil {
			c.mu.Lock()
			in = c.pickInstance()
			c.mu.Unlock()
		}
		c.work.Go(func() { c.runRequest(request, in) })
	}
}

// newRequest returns a request in a session.
func (c *crashEmulator) newRequest(route string, session int, between ...string) *promptRequest {
	c.crashMu.Lock()
	defer c.crashMu.Unlock()
	parts := append([]string{firstPart(session)}, between...)
	parts = append(parts, fmt.Sprintf("f%d", len(c.requests)))
	p := &promptRequest{
		stream: &stream{session: sessionPart(session)}, sentAt: time.Now(), route: route,
		key: session % keyCount, session: session, parts: parts,
	}
	p.stream.prepare = p.prepare
	c.requests = append(c.requests, p)
	return p
}

// soundRequest returns a request that crashes no endpoint.
func (c *crashEmulator) soundRequest() (*promptRequest, *emulatedInstance) {
	c.mu.Lock()
	route := []string{"plan", "draft"}[c.random.IntN(2)]
	session, hasDocument := c.random.IntN(sessionCount), c.random.Float64() < documentShare
	document := fmt.Sprintf("d%d", max(c.random.IntN(2*documentCount)-documentCount, 0))
	c.mu.Unlock()
	if hasDocument {
		return c.newRequest(route, session, document, sessionPart(session)), nil
	}
	return c.newRequest(route, session, sessionPart(session)), nil
}

// crashingRequest returns a request with a crashing part. Its key and session are those of other requests, and the key is the
// same in all of them, as the first part is unless it is the crashing one.
func (c *crashEmulator) crashingRequest(part *crashingPart) *promptRequest {
	c.mu.Lock()
	session := c.random.IntN(sessionCount/keyCount/keyCount) * keyCount * keyCount
	between := []string{part.id, sessionPart(session)}
	if c.random.IntN(2) == 0 {
		slices.Reverse(between)
	}
	c.mu.Unlock()
	if !part.isFirst {
		return c.newRequest(part.route, session, between...)
	}
	p := c.newRequest(part.route, session, sessionPart(session))
	p.parts[0] = part.id
	return p
}

// runRequest sends a request, repeats it if it brings no event and may be repeated, and resumes its stream if it is cut off.
func (c *crashEmulator) runRequest(p *promptRequest, in *emulatedInstance) {
	id := c.nextID()
	for repeat := range maxRepeats + 1 {
		c.sendAttempt(p.stream, in, id, "")
		last := p.attempts[len(p.attempts)-1]
		if last.events > 0 || repeat == maxRepeats || !mayRepeat(p.route, last.status) {
			break
		}
		time.Sleep(repeatDelay)
		c.mu.Lock()
		in = c.pickInstance()
		c.mu.Unlock()
		id = c.nextID()
	}
	for range maxResumptions {
		if p.complete || len(p.versions) == 0 || p.route != "plan" {
			return
		}
		time.Sleep(50 * time.Millisecond)
		c.mu.Lock()
		in = c.pickInstance()
		c.mu.Unlock()
		c.sendAttempt(p.stream, in, c.nextID(), id)
	}
}

// mayRepeat reports whether a caller sends a request again that has brought no event: after a status that promises that it was
// not run, and after any failure if the route's requests may be repeated.
func mayRepeat(route string, status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	case 0, http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return route == "plan"
	default:
		return false
	}
}

// refusals counts the attempts of selected requests that were refused, by status and title.
func (c *crashEmulator) refusals(selected func(*promptRequest) bool) map[string]int {
	refused := make(map[string]int)
	for _, p := range c.requests {
		if !selected(p) {
			continue
		}
		for _, a := range p.attempts {
			if a.status != 0 && a.status != http.StatusOK {
				refused[strconv.Itoa(a.status)+" "+a.problem]++
			}
		}
	}
	return refused
}

// timeline returns what happened, in order.
func (c *crashEmulator) timeline() string {
	sort.Strings(c.events)
	return strings.Join(c.events, "\n")
}
