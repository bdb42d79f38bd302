package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// engineSlots and engineQueue are the requests that an engine runs and lets wait, plainSlots and plainQueue those of an endpoint
	// of the plain service. An endpoint rejects any further ones. The plain service is the one of docs/design/hard-load-proof.md.
	engineSlots, engineQueue = 16, 24
	plainSlots, plainQueue   = 6, 24
	// slowEngine is the work time of a slow engine relative to that of the others, as in docs/design/hard-load-proof.md.
	slowEngine = 2.4
	// firstEventTime and eventTime are the work before the first event and between events of a stream, plainTime that of a plain
	// response. Callers get about the load of the emulations in package router.
	firstEventTime, eventTime, plainTime = 60 * time.Millisecond, 40 * time.Millisecond, 120 * time.Millisecond
	// streamEvents is the number of events of a stream, tokensPerEvent the number of tokens in each.
	streamEvents, tokensPerEvent = 12, 4
	// coldTime is how long an endpoint that starts cold stays so. In any one second of it, it gets at most coldPerSecond x coldOverage
	// + coldSlack requests. The last two are settings of instances.
	coldTime                              = 5 * time.Second
	coldPerSecond, coldOverage, coldSlack = 4.0, 1.5, 5.0
)

// Services of the deployment.
const (
	engineService = "model"
	plainService  = "desk"
)

// arrival is one request that reached an endpoint.
type arrival struct {
	at        time.Time
	endpoint  *endpoint
	instance  string
	request   string
	rejected  bool
	misrouted bool
	// ranAt is when the endpoint began to work on the request, zero if it never did. endedAt is when it ended.
	ranAt, endedAt time.Time
}

// endpoint is one process of a service: it sleeps for as long as the work takes. Requests reach it through a proxy.
type endpoint struct {
	id, service, domain, version string
	// speed is the work time relative to the usual one.
	speed        float64
	slots, queue int
	started      time.Time
	// cold is how long the endpoint stays cold after its start.
	cold time.Duration

	server *http.Server
	proxy  *proxy
	free   *semaphore.Weighted

	mu               sync.Mutex
	running, waiting int
	arrivals         []*arrival
	// leftAt is when the store acknowledged the entry that says that the endpoint leaves.
	leftAt time.Time
	// announcesLeaving is set if the endpoint says in its responses that it leaves, besides in its entry.
	announcesLeaving bool
	// maxWaiting is the largest number of requests that waited at once.
	maxWaiting int
}

// start lets the endpoint listen, behind a proxy at the given address.
func (e *endpoint) start(address string, linkOf func(*net.TCPConn) *link) error {
	e.started = time.Now()
	e.free = semaphore.NewWeighted(int64(e.slots))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("soak: endpoint %s: %w", e.id, err)
	}
	if e.proxy, err = startProxy(address, l.Addr().String(), linkOf); err != nil {
		return errors.Join(err, l.Close())
	}
	e.server = &http.Server{Handler: e}
	// Serve returns when the endpoint ends.
	go func() { _ = e.server.Serve(l) }()
	return nil
}

// end ends the process at once. Its connections are reset.
func (e *endpoint) end() {
	e.proxy.close()
	// All connections end with an error, as intended.
	_ = e.server.Close()
}

// entry returns the entry of the endpoint in service discovery.
func (e *endpoint) entry(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.proxy.address(), "zone": e.domain, "version": e.version, "slots": e.slots, "state": state,
		"born": e.started.UnixMilli(), "cold_left_ms": e.cold.Milliseconds(),
	}
}

// report says which process the endpoint is.
func (e *endpoint) report(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// A caller that has left gets none.
	_, _ = fmt.Fprintf(w, `{"born":%d}`, e.started.UnixMilli())
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/report" {
		e.report(w, r)
		return
	}
	// The proxy registers a connection before it passes on any byte.
	from, _ := e.proxy.sources.Load(r.RemoteAddr)
	a := &arrival{at: time.Now(), endpoint: e, instance: from.(*link).instance, request: r.Header.Get("X-Request-Id")}
	a.misrouted = r.Header.Get("X-Expect-Instance") != e.id
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	w.Header().Set("X-Request-Id", a.request)
	switch {
	case a.misrouted:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil || !e.begin(r.Context(), a):
		return
	case a.rejected:
		e.describe(w.Header())
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.finish(a)
	if e.service == plainService {
		e.respondPlain(w, r, string(body))
	} else {
		e.respondStream(w, r, string(body))
	}
}

// begin waits for a free slot, or rejects the request. It returns false if its sender has gone.
func (e *endpoint) begin(ctx context.Context, a *arrival) bool {
	e.mu.Lock()
	if e.running+e.waiting >= e.slots+e.queue {
		a.rejected = true
		e.mu.Unlock()
		return true
	}
	e.waiting++
	e.maxWaiting = max(e.maxWaiting, e.running+e.waiting-e.slots)
	e.mu.Unlock()
	begun := e.free.Acquire(ctx, 1) == nil
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if begun {
		e.running++
		a.ranAt = time.Now()
	}
	return begun
}

func (e *endpoint) finish(a *arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	a.endedAt = time.Now()
	e.free.Release(1)
}

// describe adds the load report and the announcements of the endpoint to the header of a response. Only engines report work times.
func (e *endpoint) describe(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := fmt.Sprintf("%d,%d,%d", e.running, e.waiting, e.slots)
	if e.service == engineService {
		load += fmt.Sprintf(",%.0f", 100*e.speed)
		h.Set("X-Cold-Ms", strconv.FormatInt(max(e.cold-time.Since(e.started), 0).Milliseconds(), 10))
	}
	h.Set("X-Server-Load", load)
	if e.announcesLeaving && !e.leftAt.IsZero() {
		h.Set("Server-Leaving", "1")
	}
}

// work sleeps for as long as work of the usual time takes. It returns false if the sender has gone.
func (e *endpoint) work(ctx context.Context, usual time.Duration) bool {
	return sleep(ctx, time.Duration(float64(usual)*e.speed))
}

func (e *endpoint) respondPlain(w http.ResponseWriter, r *http.Request, key string) {
	if !e.work(r.Context(), plainTime) {
		return
	}
	e.describe(w.Header())
	body := plainBody(key)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// An error means that the sender has gone.
	_, _ = io.WriteString(w, body)
}

func (e *endpoint) respondStream(w http.ResponseWriter, r *http.Request, key string) {
	if !e.work(r.Context(), firstEventTime) {
		return
	}
	e.describe(w.Header())
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		var err error
		if first, err = strconv.Atoi(text); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
	for id := first + 1; id <= streamEvents; id++ {
		if _, err := io.WriteString(w, eventText(e.version, key, id)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if id < streamEvents && !e.work(r.Context(), eventTime) {
			return
		}
	}
}

// plainBody returns the response to a plain request with the given body.
func plainBody(key string) string { return strings.Repeat("result of "+key+"\n", 30) }

// eventText returns one event of the stream of the request with the given body.
func eventText(version, key string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", id, version, key, id)
}
