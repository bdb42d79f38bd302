package router_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// brokenShare is the share of responses that endpoints break off.
	brokenShare = 0.4
	// versionsKnownDelay is how long after their start instances know all software versions that may have begun a stream.
	versionsKnownDelay = 32 * time.Second
	// plainPieceCount is the number of pieces in which an endpoint sends a plain response.
	plainPieceCount = 5
)

// breakOff is how an endpoint ends a response.
type breakOff string

const (
	// notBroken ends the response after the last byte by closing the connection.
	notBroken breakOff = "sound"
	// endedEmpty closes the connection without an event, because the caller has all of the stream. It looks like an endpoint that
	// broke off before its first event.
	endedEmpty breakOff = "ended without an event"
	// brokenByClose closes the connection within an event.
	brokenByClose breakOff = "closed within an event"
	// brokenByReset resets the connection within an event, between two, before the first or after the last.
	brokenByReset breakOff = "reset"
)

// unframedResponse is a response of an endpoint that has neither a length nor chunks.
type unframedResponse struct {
	kind breakOff
	// pieces is the number of complete pieces that are sent, bytes the number of bytes of the next one.
	pieces, bytes int
}

// unframedEndpoints makes endpoints send responses that end with the connection, and records them.
type unframedEndpoints struct {
	seed uint64
	mu   sync.Mutex
	// responses holds the responses to each request in order.
	responses map[string][]unframedResponse
}

// respondWith returns an emulatedEndpoint.respond.
func (u *unframedEndpoints) respondWith(e *emulatedEndpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		pieces := u.pieces(e, r)
		resp := u.newResponse(r, pieces)
		// The server of net/http drops this header, and then sends neither chunks nor a length.
		w.Header().Set("Transfer-Encoding", "identity")
		if hasPlainResponse(r.URL.Path) {
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
			w.Header().Set("X-Server-Stamp", e.id)
			w.Header().Set("Content-Type", "text/plain")
			w.WriteHeader(http.StatusOK)
		} else {
			e.writeHeader(w, r)
		}
		for _, piece := range pieces[:resp.pieces] {
			if !sendPiece(w, piece) || !e.pause(r.Context(), streamEventGap) {
				return
			}
		}
		if resp.bytes > 0 && !sendPiece(w, pieces[resp.pieces][:resp.bytes]) {
			return
		}
		switch resp.kind {
		case notBroken, endedEmpty:
		case brokenByClose:
			panic(http.ErrAbortHandler)
		case brokenByReset:
			w.(http.Flusher).Flush()
			resetConn(r.Context())
		}
	}
}

// pieces returns the complete response to a request in the pieces that are sent at once: events, or parts of a plain body.
func (u *unframedEndpoints) pieces(e *emulatedEndpoint, r *http.Request) (pieces []string) {
	if hasPlainResponse(r.URL.Path) {
		body := plainBody(r.Header.Get("X-Request-Id"))
		for i := range plainPieceCount {
			pieces = append(pieces, body[len(body)*i/plainPieceCount:len(body)*(i+1)/plainPieceCount])
		}
		return pieces
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= streamEventCount; id++ {
		pieces = append(pieces, streamBody(e.version, id, id))
	}
	return pieces
}

// newResponse chooses and records how the response to a request ends. The end of a plain response that is closed early does
// not show, so that these are sound or reset.
func (u *unframedEndpoints) newResponse(r *http.Request, pieces []string) unframedResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	// The responses to a request do not depend on the order in which requests arrive.
	random := rand.New(rand.NewPCG(u.seed, xxhash.Sum64String(id)+uint64(len(u.responses[id]))))
	resp := unframedResponse{kind: notBroken, pieces: len(pieces)}
	if len(pieces) == 0 {
		resp.kind = endedEmpty
	}
	if random.Float64() < brokenShare {
		resp.kind = brokenByReset
		resp.pieces = random.IntN(len(pieces) + 1)
		if resp.pieces < len(pieces) {
			resp.bytes = random.IntN(len(pieces[resp.pieces]))
		}
		if resp.bytes > 0 && !hasPlainResponse(r.URL.Path) && random.IntN(2) == 0 {
			resp.kind = brokenByClose
		}
	}
	u.responses[id] = append(u.responses[id], resp)
	return resp
}

func sendPiece(w http.ResponseWriter, piece string) bool {
	_, err := io.WriteString(w, piece)
	w.(http.Flusher).Flush()
	return err == nil
}

// unframedResult is what one emulation shows about responses that end with the connection.
type unframedResult struct {
	outcomes  map[outcome]int
	responses map[breakOff]int
	// resumed is the number of streams that callers got complete although a response was broken off.
	resumed int
	broken  []string
}

// playUnframed plays one emulation in which endpoints send responses without a length or chunks, and break some of them off.
func playUnframed(t *testing.T, seed uint64, instances, endpoints int, rate float64) unframedResult {
	e := newEmulator(seed, 0, endpoints)
	// The retry budget does not keep any request from being sent again.
	e.settings = map[string]any{"retryRatio": 1, "retrySlack": 10000}
	logs := newRequestLog()
	e.logs = logs
	u := &unframedEndpoints{seed: seed, responses: make(map[string][]unframedResponse)}
	for _, endpoint := range e.endpoints {
		endpoint.respond = u.respondWith(endpoint)
	}
	e.store.set("config/main", callConfiguration(1, 6*time.Second, false))
	e.addInstances(instances)
	time.Sleep(versionsKnownDelay)
	e.checkUnframed(t)
	paths := []callPath{{"/plan/x", 4}, {"/single/x", 1}, {"/once/x", 1}, {"/fetch/x", 2}, {"/order/x", 1}}
	calls := e.playCalls(rate, 10*time.Second, nil, func() []callPath { return paths })
	e.stop()

	result := unframedResult{outcomes: make(map[outcome]int), responses: make(map[breakOff]int)}
	runs := e.runs()
	for _, c := range calls {
		responses := u.responses[c.id]
		result.outcomes[c.outcome()]++
		for _, resp := range responses {
			result.responses[resp.kind]++
		}
		if c.stream && c.outcome() == outcomeComplete && len(responses) > 1 {
			result.resumed++
		}
		if fault := c.unframedFault(responses); fault != "" {
			result.broken = append(result.broken, fmt.Sprintf("%s: responses %+v: %s", fault, responses, logs.describe(c, runs[c.id])))
		}
	}
	return result
}

// checkUnframed checks that endpoints send neither a length nor chunks.
func (e *emulator) checkUnframed(t *testing.T) {
	req, err := http.NewRequest("POST", "http://"+e.endpoints[0].address+"/order/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Expect-Instance", e.endpoints[0].id)
	resp, err := e.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || !resp.Close {
		t.Fatalf("endpoint sends length %d, transfer encoding %v, close %v", resp.ContentLength, resp.TransferEncoding, resp.Close)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
}

// unframedFault returns which rule the response to a call broke, or an empty string.
func (c *call) unframedFault(responses []unframedResponse) string {
	if fault := c.contentFault(); fault != "" {
		return fault
	}
	complete := c.outcome() == outcomeComplete
	if len(responses) == 0 {
		return map[bool]string{true: "MIXED: complete response without an endpoint"}[complete]
	}
	last := responses[len(responses)-1].kind
	attempts := map[string]int{"/plan/x": 3, "/fetch/x": 3}[c.path]
	for _, earlier := range responses[:len(responses)-1] {
		if earlier.kind == notBroken {
			return "TWICE: request was sent again after a sound response"
		}
	}
	switch {
	case !c.repeatable() && len(responses) > 1:
		return "TWICE: request that is not idempotent was sent again"
	case len(responses) > max(attempts, 1):
		return "BUDGET: request was sent more often than its route allows"
	case last == notBroken && !complete:
		return "LOST: sound response did not reach the caller complete"
	case last != notBroken && complete:
		return "MIXED: response that was broken off is presented as complete"
	case last != notBroken && len(responses) < attempts:
		return "LOST: request was not sent again although its route allows it"
	default:
		return ""
	}
}

func TestResponsesThatEndWithTheConnectionStayWholeOrVisiblyBroken(t *testing.T) {
	for _, size := range []struct {
		instances, endpoints int
		rate                 float64
	}{{8, 9, 60}, {90, 40, 200}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances/seed_%d", size.instances, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playUnframed(t, seed, size.instances, size.endpoints, size.rate)
					t.Logf("calls %v, responses %v, %d streams resumed", r.outcomes, r.responses, r.resumed)
					reportBroken(t, r.broken)
					if r.resumed == 0 {
						t.Error("no stream was resumed, the test shows nothing about resumptions")
					}
				})
			})
		}
	}
}

// TestStreamWithoutEventsReachesTheCallerOnce guards against taking the end of a chunked stream for a broken one, such as that of
// a stream that is resumed after its last event.
func TestStreamWithoutEventsReachesTheCallerOnce(t *testing.T) {
	const instances, endpoints = 2, 4
	synctest.Test(t, func(t *testing.T) {
		e := newEmulator(0, 0, endpoints)
		logs := newRequestLog()
		e.logs = logs
		for _, endpoint := range e.endpoints {
			endpoint.respond = func(w http.ResponseWriter, r *http.Request) {
				endpoint.writeHeader(w, r)
				w.(http.Flusher).Flush()
			}
		}
		e.store.set("config/main", callConfiguration(1, 6*time.Second, false))
		e.addInstances(instances)
		time.Sleep(versionsKnownDelay)
		calls := e.playCalls(10, time.Second, nil, func() []callPath { return []callPath{{"/plan/x", 1}} })
		e.stop()
		runs := e.runs()
		var broken []string
		for _, c := range calls {
			if c.outcome() != outcomeComplete || len(c.body) > 0 || len(runs[c.id]) != 1 {
				broken = append(broken, logs.describe(c, runs[c.id]))
			}
		}
		reportBroken(t, broken)
	})
}

func TestMemoryConnTellsResetFromClose(t *testing.T) {
	for _, c := range []struct {
		end  func(*memoryConn)
		want error
	}{
		{func(c *memoryConn) { _ = c.Close() }, io.EOF},
		{(*memoryConn).reset, syscall.ECONNRESET},
	} {
		local, accepted := newMemoryConns("caller", "10.0.0.1:80")
		c.end(accepted)
		if _, err := local.Read(make([]byte, 1)); !errors.Is(err, c.want) {
			t.Errorf("read error is %v, want %v", err, c.want)
		}
	}
}
