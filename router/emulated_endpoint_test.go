package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// defaultSlots is the number of slots of an emulatedEndpoint.
const defaultSlots = 128

const (
	// streamEventCount and streamEventGap describe the streams of an emulatedEndpoint.
	streamEventCount = 12
	streamEventGap   = 60 * time.Millisecond
	// firstEventDelay is the time to the first event on an idle endpoint; each running request adds slowdownPerRequest.
	firstEventDelay    = 80 * time.Millisecond
	slowdownPerRequest = 4 * time.Millisecond
)

// arrival is one request that reached an endpoint.
type arrival struct {
	at       time.Time
	instance string
	// request is the ID of the request.
	request string
}

// namedLimit is a limit that an endpoint named from a time on; a negative rate means none.
type namedLimit struct {
	from time.Time
	rate float64
}

// emulatedEndpoint is one process of a model service. It streams events that show its version, and names a limit of its
// request rate while it has one.
type emulatedEndpoint struct {
	id, address, version string
	// domain is the failure domain, coldLeft the time for which the endpoint stays cold, as its entry says.
	domain   string
	coldLeft time.Duration
	// slots is the number of requests that it runs at once, as its entry says.
	slots   int
	started time.Time
	process *process
	server  *http.Server
	// respond writes a response. It must be set before the first request.
	respond http.HandlerFunc

	mu       sync.Mutex
	running  int
	arrivals []arrival
	limits   []namedLimit
	// told holds when each instance was first sent a response that names a limit.
	told map[string]time.Time
	// silences holds the times in which the endpoint sent nothing.
	silences []silence
	announcer
}

// startEndpoint starts an endpoint. It is not registered yet. The handlers that wrap returns serve its requests.
func startEndpoint(n *memoryNetwork, id, address, version string, wrap ...func(*emulatedEndpoint) http.Handler) *emulatedEndpoint {
	e := &emulatedEndpoint{
		id: id, address: address, version: version, domain: "hall-a", slots: defaultSlots, started: time.Now(), process: n.newProcess(id), told: make(map[string]time.Time),
	}
	e.respond = e.respondStream
	e.server = &http.Server{Handler: e, ConnContext: withConn}
	l, err := e.process.listen(context.Background(), "", address)
	if err != nil {
		panic(err)
	}
	for _, w := range wrap {
		e.server.Handler = w(e)
	}
	mux := http.NewServeMux()
	mux.Handle("/", e.server.Handler)
	mux.HandleFunc("GET /report", e.report)
	e.server.Handler = mux
	go func() { _ = e.server.Serve(l) }()
	return e
}

// crash ends the endpoint and cuts off its streams.
func (e *emulatedEndpoint) crash() {
	e.process.kill()
	_ = e.server.Close()
}

// entry returns the endpoint's entry in service discovery.
func (e *emulatedEndpoint) entry(state string) string {
	return fmt.Sprintf(`{"service":"model","address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"born":%d,"cold_left_ms":%d}`,
		e.address, e.domain, e.version, e.slots, state, e.started.UnixMilli(), e.coldLeft.Milliseconds())
}

// report says which process the endpoint is.
func (e *emulatedEndpoint) report(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("X-Expect-Instance") != e.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case e.pause(r.Context(), 0):
		_, _ = fmt.Fprintf(w, `{"running":%d,"born":%d}`, 0, e.started.UnixMilli())
	}
}

// nameLimit names a limit in all responses from now on. A negative rate withdraws it.
func (e *emulatedEndpoint) nameLimit(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits = append(e.limits, namedLimit{from: time.Now(), rate: rate})
}

// ServeHTTP implements http.Handler.
func (e *emulatedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The server notices that the client is gone once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if r.Header.Get("X-Expect-Instance") != e.id {
		if e.pause(r.Context(), 0) {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{at: time.Now(), instance: r.RemoteAddr, request: r.Header.Get("X-Request-Id")})
	e.running++
	running := e.running - 1
	delay := firstEventDelay + time.Duration(e.running)*slowdownPerRequest
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	if e.turnAway(w, r.RemoteAddr, running) {
		return
	}
	if e.pause(r.Context(), delay) {
		e.respond(w, r)
	}
}

// respondStream sends a stream, or the rest of one that is resumed.
func (e *emulatedEndpoint) respondStream(w http.ResponseWriter, r *http.Request) {
	e.writeHeader(w, r)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := first + 1; id <= streamEventCount; id++ {
		if _, err := io.WriteString(w, streamBody(e.version, id, id)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if !e.pause(r.Context(), streamEventGap) {
			return
		}
	}
}

// writeHeader writes the header of a stream, with the limit that is named now.
func (e *emulatedEndpoint) writeHeader(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Server-Stamp", e.id)
	h.Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	if n := len(e.limits); n > 0 && e.limits[n-1].rate >= 0 {
		h.Set("Server-Limit", strconv.FormatFloat(e.limits[n-1].rate, 'f', -1, 64))
		if _, ok := e.told[r.RemoteAddr]; !ok {
			e.told[r.RemoteAddr] = time.Now()
		}
	}
	e.mu.Unlock()
	e.announce(h, r.RemoteAddr)
	w.WriteHeader(http.StatusOK)
}

// pause waits and returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		// Several timers of 0 s at the same time crash the Go runtime (go1.26.8) in a synctest bubble under the race detector.
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// interceptedWriter calls begin in place of WriteHeader.
type interceptedWriter struct {
	http.ResponseWriter
	begin func(status int)
}

func (w *interceptedWriter) WriteHeader(status int) { w.begin(status) }

// Flush implements http.Flusher.
func (w *interceptedWriter) Flush() { w.ResponseWriter.(http.Flusher).Flush() }
