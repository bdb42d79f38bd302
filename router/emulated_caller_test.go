package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
)

const (
	// callTimeout is how long a caller waits for a complete response. It tells the instance a limit that is shorter by
	// callTimeoutMargin.
	callTimeout       = 6500 * time.Millisecond
	callTimeoutMargin = 500 * time.Millisecond
	// callerIdleTimeout is how long a caller keeps an idle connection.
	callerIdleTimeout = 5 * time.Second
)

// callConfiguration returns a version of the configuration with a route for each kind of request: streams that may be resumed,
// with and without further attempts, streams that may not, and plain responses. If added is set, it has one more.
func callConfiguration(version int, timeout time.Duration, added bool) string {
	route := func(name, mode string, attempts int, options string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a.example","path_prefix":"/%s/","mode":%q,"timeout_ms":%d,"slo_ms":500,"max_attempts":%d,
			"service":"model"%s}`, name, name, mode, timeout.Milliseconds(), attempts, options)
	}
	const stream = `,"sticky":true,"gap_aim_ms":250`
	routes := route("plan", "streaming", 3, stream+`,"resumable":true`) + "," +
		route("single", "streaming", 1, stream+`,"resumable":true`) + "," +
		route("once", "streaming", 1, stream) + "," +
		route("fetch", "idempotent", 3, "") + "," +
		route("order", "non_idempotent", 1, "")
	if added {
		routes += "," + route("added", "streaming", 3, stream+`,"resumable":true`)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"model","engine":{"slots":128,"kv_capacity":500000,"stride":4}}]}`,
		version, routes)
}

// hasPlainResponse reports whether the response to a path is not a stream.
func hasPlainResponse(path string) bool { return path == "/fetch/x" || path == "/order/x" }

// call is one request of a caller and what the caller got. A caller does not send it again.
type call struct {
	id, path, session string
	instance          string
	at, ended         time.Time
	// status is the status of the response, or 0 if there was none.
	status int
	stream bool
	body   []byte
	// err is why there was no response, or why its body ended early.
	err error
}

// outcome is how a call ended for the caller.
type outcome string

const (
	outcomeComplete outcome = "complete"
	// outcomeRefused is a response which states that the request did not run and will not.
	outcomeRefused outcome = "refused"
	// outcomeFailed is any other error response.
	outcomeFailed outcome = "failed"
	// outcomeTruncated is a response that ended visibly incomplete, outcomeClosed a connection without a response.
	outcomeTruncated outcome = "truncated"
	outcomeClosed    outcome = "closed"
)

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool { return c.path != "/order/x" && c.path != "/once/x" }

func (c *call) outcome() outcome {
	switch {
	case c.status == 0:
		return outcomeClosed
	case c.status == http.StatusTooManyRequests, c.status == http.StatusServiceUnavailable:
		return outcomeRefused
	case c.status != http.StatusOK:
		return outcomeFailed
	case c.err != nil:
		return outcomeTruncated
	default:
		return outcomeComplete
	}
}

// problem returns the title of a refusal, or an empty string.
func (c *call) problem() string {
	var p struct{ Title string }
	if c.status == http.StatusOK || json.Unmarshal(c.body, &p) != nil {
		return ""
	}
	return p.Title
}

// eventCount returns the number of complete events in the body of a stream.
func (c *call) eventCount() int { return bytes.Count(c.body, []byte("\n\n")) }

// contentFault returns what is wrong with the content of a response, or an empty string: events that are missing, come twice
// or in another order, bytes that no endpoint sent, or a part that is presented as the whole.
func (c *call) contentFault() string {
	if c.status != http.StatusOK {
		return ""
	}
	body := string(c.body)
	if !c.stream {
		if whole := plainBody(c.id); body != whole && (c.outcome() == outcomeComplete || !strings.HasPrefix(whole, body)) {
			return fmt.Sprintf("MIXED: response of %d bytes is not that of the endpoint, which has %d", len(body), len(whole))
		}
		return ""
	}
	if whole := streamBody("v1", 1, streamEventCount); !strings.HasPrefix(whole, body) {
		return fmt.Sprintf("ORDER: events are not those of one stream in order: %q", body)
	}
	if n := c.eventCount(); c.outcome() == outcomeComplete && n < streamEventCount {
		return fmt.Sprintf("ORDER: stream of %d events ends after %d as if it were complete", streamEventCount, n)
	}
	return ""
}

// streamBody returns the text of events of a stream from one to another.
func streamBody(version string, first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id, version)
	}
	return b.String()
}

// plainBody returns the body of a response that is not a stream.
func plainBody(request string) string { return strings.Repeat("result of "+request+"\n", 50) }

// callPath is a path that callers request, with its share of the calls.
type callPath struct {
	path  string
	share float64
}

// playCalls sends the given number of requests a second for a duration, and runs the steps. Half of the requests are sent on
// connections that are kept. The paths are chosen anew for each request.
func (e *emulator) playCalls(rate float64, duration time.Duration, steps map[time.Duration]func(), paths func() []callPath) []*call {
	start, sessions := time.Now(), sessionsPerInstance*len(e.instances)
	kept := &http.Client{Transport: &http.Transport{
		DialContext: e.callers.dial, DisableCompression: true, IdleConnTimeout: callerIdleTimeout,
	}}
	e.startSteps(steps)
	var calls []*call
	var sent sync.WaitGroup
	for time.Since(start) < duration {
		e.mu.Lock()
		pause := time.Duration(e.random.ExpFloat64() / rate * float64(time.Second))
		c := &call{session: fmt.Sprintf("%x", e.random.IntN(sessions)+1), path: pickPath(paths(), e.random.Float64())}
		client := []*http.Client{e.client, kept}[e.random.IntN(2)]
		in := e.pickInstance()
		e.mu.Unlock()
		c.id, c.instance = e.nextID(), in.name
		calls = append(calls, c)
		time.Sleep(pause)
		sent.Go(func() { c.send(client, in.address(80)) })
	}
	sent.Wait()
	kept.CloseIdleConnections()
	return calls
}

// pickPath returns a path by its share; random is uniformly distributed in [0, 1).
func pickPath(paths []callPath, random float64) string {
	total := 0.0
	for _, p := range paths {
		total += p.share
	}
	random *= total
	for _, p := range paths {
		if random -= p.share; random < 0 {
			return p.path
		}
	}
	return paths[len(paths)-1].path
}

// send sends the request and reads the response.
func (c *call) send(client *http.Client, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c.at = time.Now()
	defer func() { c.ended = time.Now() }()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+c.path, strings.NewReader("{}"))
	if err != nil {
		panic(err)
	}
	req.Host = "a.example"
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint((callTimeout - callTimeoutMargin).Milliseconds()))
	if !hasPlainResponse(c.path) {
		req.Header.Set("X-Token-Counts", "1600,48")
		req.Header.Set("X-Prefix-Hash", "c0:800,"+c.session+":600,"+strings.ReplaceAll(c.id, "id-", "f")+":200")
	}
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status, c.stream = resp.StatusCode, resp.Header.Get("Content-Type") == "text/event-stream"
	c.body, c.err = io.ReadAll(resp.Body)
}

// run is an arrival of a request at an endpoint.
type run struct {
	endpoint string
	at       time.Time
}

// runs returns the arrivals of each request at endpoints, in order.
func (e *emulator) runs() map[string][]run {
	runs := make(map[string][]run)
	for _, endpoint := range e.endpoints {
		for _, a := range endpoint.arrivals {
			runs[a.request] = append(runs[a.request], run{endpoint: endpoint.id, at: a.at})
		}
	}
	for _, r := range runs {
		slices.SortFunc(r, func(a, b run) int { return a.at.Compare(b.at) })
	}
	return runs
}

// requestLog records the log lines of instances by request. It implements log.Handler.
type requestLog struct {
	start time.Time
	mu    sync.Mutex
	lines map[string][]string
}

func newRequestLog() *requestLog {
	return &requestLog{start: time.Now(), lines: make(map[string][]string)}
}

// HandleLog implements log.Handler.
func (l *requestLog) HandleLog(entry *log.Entry) error {
	id, ok := entry.Fields["request_id"].(string)
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%.3f %s", time.Since(l.start).Seconds(), entry.Message)
	for _, name := range entry.Fields.Names() {
		if name != "request_id" {
			line += fmt.Sprintf(" %s=%v", name, entry.Fields[name])
		}
	}
	l.lines[id] = append(l.lines[id], line)
	return nil
}

// describe returns the course of a call, with its runs and the log lines of its instance.
func (l *requestLog) describe(c *call, runs []run) string {
	seconds := func(at time.Time) float64 { return at.Sub(l.start).Seconds() }
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s at %s from %.3f to %.3f s: %s, status %d %s, %d events, error %v", c.id, c.path, c.instance,
		seconds(c.at), seconds(c.ended), c.outcome(), c.status, c.problem(), c.eventCount(), c.err)
	for _, r := range runs {
		fmt.Fprintf(&b, "\n\treached %s at %.3f", r.endpoint, seconds(r.at))
	}
	for _, line := range l.lines[c.id] {
		fmt.Fprintf(&b, "\n\t%s", line)
	}
	return b.String()
}

// reportBroken reports the number of broken rules and describes the first few.
func reportBroken(t *testing.T, broken []string) {
	const described = 5
	if len(broken) > 0 {
		t.Errorf("%d responses broke a rule, such as:", len(broken))
	}
	for _, b := range broken[:min(len(broken), described)] {
		t.Log(b)
	}
}
