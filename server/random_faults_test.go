package server

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"pumiceshelf/internal/standin"
	"pumiceshelf/quota"
)

// callerRequest is one request of a randomized test and its response.
type callerRequest struct {
	model  string
	stream bool
	key    string
	prompt string
	// rawBody, if set, is sent instead of a body built from the fields above.
	rawBody  string
	response callerResponse
}

func (a *callerRequest) body() string {
	if a.rawBody != "" {
		return a.rawBody
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, a.model, a.stream, a.prompt)
}

func (a *callerRequest) send(r *harness) {
	req, err := http.NewRequest("POST", r.callerServer.URL+chatPath, strings.NewReader(a.body()))
	if err != nil {
		a.response.err = err
		return
	}
	req.Header.Set("Authorization", "Bearer "+customerToken)
	if a.key != "" {
		req.Header.Set(headerIdempotencyKey, a.key)
	}
	res, err := r.callerTransport.RoundTrip(req)
	if err != nil {
		a.response.err = err
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a.response = callerResponse{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// isComplete reports whether the response looks complete to the caller.
func (a *callerRequest) isComplete() bool {
	if a.response.err != nil || a.response.status != http.StatusOK {
		return false
	}
	return !a.stream || strings.HasSuffix(a.response.body, "data: [DONE]\n\n")
}

// isCorrect reports whether a complete response has the expected text. An engine that ignores the token cap generates
// more of the same text.
func (a *callerRequest) isCorrect() bool {
	_, prompt, _, _ := standin.ParsePrompt([]byte(a.body()))
	text := responseText(a.response)
	n := len(strings.Fields(text))
	return n >= modelCapTokens && text == strings.TrimSpace(standin.Answer(a.model, prompt, n))
}

// drawFaults draws a fault that affects every request, every second or every third.
func drawFaults(rt *rapid.T) standin.EngineFaults {
	candidates := []standin.EngineFaults{
		{}, {Busy: true}, {Reject: true}, {Error: true}, {SwapResponse: true}, {SwapBody: true}, {AbortAfter: 2}, {AbortAfter: 1, AbortResumed: true},
		{AbortAfter: 3, ForgetRequests: true}, {OmitEnd: true}, {OmitUsage: true}, {DuplicateEvents: true}, {SkipEvent: 2}, {Truncate: true},
		{TruncateSilently: true}, {Truncate: true, ForgetRequests: true}, {TokensOverCap: 3},
	}
	f := rapid.SampledFrom(candidates).Draw(rt, "fault")
	period := rapid.IntRange(1, 3).Draw(rt, "share")
	var requestCount atomic.Int64
	f.Match = func(string) bool { return requestCount.Add(1)%int64(period) == 0 }
	return f
}

func drawRequests(rt *rapid.T) []*callerRequest {
	var out []*callerRequest
	for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
		a := &callerRequest{
			model: rapid.SampledFrom([]string{"price", "dose"}).Draw(rt, "model"), stream: rapid.Bool().Draw(rt, "stream"),
			prompt: fmt.Sprint("item ", i),
		}
		if rapid.Bool().Draw(rt, "keyed") {
			a.key = fmt.Sprint("key-", i)
		}
		out = append(out, a)
	}
	return out
}

// TestRandomFaults checks under random engine faults that responses are correct, that outcomes match what the engines
// ran and that each run is charged exactly once.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newHarness()
		defer r.close()
		initialBudget := r.quota.available
		requests := drawRequests(rt)
		for _, e := range r.engines {
			e.SetFaults(drawFaults(rt))
		}
		// Each keyed request is sent twice in sequence, as by a caller that retries.
		var wg sync.WaitGroup
		for _, a := range requests {
			wg.Go(func() {
				a.send(r)
				if a.key != "" {
					retry := *a
					retry.send(r)
				}
			})
		}
		wg.Wait()
		waitFor(func() bool { return r.server.InProgress() == 0 })
		for _, a := range requests {
			checkRequest(rt, r, a)
		}
		checkSettlements(rt, r, uint64(initialBudget))
	})
}

func checkRequest(rt *rapid.T, r *harness, a *callerRequest) {
	runs := 0
	for _, run := range r.engineRuns() {
		if run.Model == a.model && strings.HasSuffix(run.Prompt, a.prompt+"\n") {
			runs++
		}
	}
	notRun := strings.Contains(a.response.body, `"outcome":"not_run"`)
	switch {
	case a.isComplete() && !a.isCorrect():
		rt.Fatalf("wrong response %q to %+v", a.response.body, a)
	case a.model == "dose" && runs > 1:
		rt.Fatalf("non-idempotent request ran %d times: %+v", runs, a)
	case notRun && a.key == "" && runs > 0:
		rt.Fatalf("reported as not run, but an engine ran it: %+v", a)
	case !a.isComplete() && a.response.err == nil && !notRun && !strings.Contains(a.response.body, `"outcome":"unknown"`):
		rt.Fatalf("incomplete response without an outcome: %+v", a.response)
	}
}

// checkSettlements compares the settled usage with the runs of the engines.
func checkSettlements(rt *rapid.T, r *harness, initialBudget uint64) {
	var charged, ran uint64
	settled := make(map[string]quota.Usage)
	for _, u := range r.quota.settledUsages() {
		if settled[u.RequestID].Ran {
			rt.Fatalf("run %s charged twice", u.RequestID)
		}
		settled[u.RequestID] = u
		charged += uint64(u.Prompt + u.Generated)
	}
	for _, run := range r.engineRuns() {
		ran += uint64(run.PromptTokens + run.Generated)
		if u := settled[run.RequestID]; !u.Ran {
			rt.Fatalf("run %s not charged", run.RequestID)
		}
	}
	overCap := slices.ContainsFunc(r.engineRuns(), func(run standin.Run) bool { return run.Generated > run.CapTokens })
	if ran > charged && !overCap {
		rt.Fatalf("engines used %d tokens, charged %d", ran, charged)
	}
	if len(r.quota.open) > 0 || uint64(r.quota.available)+charged != initialBudget {
		rt.Fatalf("available %d + charged %d != initial budget %d, open reservations %v", r.quota.available, charged, initialBudget, r.quota.open)
	}
	if r.admitter.admittedCount != 0 {
		rt.Fatalf("%d admitted requests never released", r.admitter.admittedCount)
	}
}
