package router_test

import (
	"context"
	"net/http"
	"time"
)

// silence is a time in which an endpoint sends nothing.
type silence struct{ from, until time.Time }

// fallSilent lets the endpoint send nothing for a while. It accepts connections and requests meanwhile, and then goes on where
// it was.
func (e *emulatedEndpoint) fallSilent(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.silences = append(e.silences, silence{from: now, until: now.Add(d)})
}

// remainingSilence returns how long the endpoint remains silent, or zero.
func (e *emulatedEndpoint) remainingSilence() (remaining time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.silences {
		remaining = max(remaining, time.Until(s.until))
	}
	return remaining
}

// pause waits, and longer if the endpoint is silent then. It returns false if the context ends first.
func (e *emulatedEndpoint) pause(ctx context.Context, d time.Duration) bool {
	for d = max(d, e.remainingSilence()); d > 0; d = e.remainingSilence() {
		if !pause(ctx, d) {
			return false
		}
	}
	return true
}

// respondByPath sends a stream, or a plain response to requests of the routes that have no streams.
func (e *emulatedEndpoint) respondByPath(w http.ResponseWriter, r *http.Request) {
	if !hasPlainResponse(r.URL.Path) {
		e.respondStream(w, r)
		return
	}
	e.respondPlain(w, r)
}

// respondPlain sends a response that is not a stream.
func (e *emulatedEndpoint) respondPlain(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", e.id)
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(plainBody(id)))
}
