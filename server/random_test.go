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

// attempt is one request of a randomised run and what its caller got.
type attempt struct {
	model  string
	stream bool
	key    string
	prompt string
	// raw replaces the body that the fields above make.
	raw string
	got reply
}

func (a *attempt) body() string {
	if a.raw != "" {
		return a.raw
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":%q}]}`, a.model, a.stream, a.prompt)
}

func (a *attempt) send(r *rig) {
	req, err := http.NewRequest("POST", r.front.URL+chatPath, strings.NewReader(a.body()))
	if err != nil {
		a.got.err = err
		return
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if a.key != "" {
		req.Header.Set(headerKey, a.key)
	}
	res, err := r.caller.RoundTrip(req)
	if err != nil {
		a.got.err = err
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	a.got = reply{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// whole says whether the caller can take what it got for a whole answer.
func (a *attempt) whole() bool {
	if a.got.err != nil || a.got.status != http.StatusOK {
		return false
	}
	return !a.stream || strings.HasSuffix(a.got.body, "data: [DONE]\n\n")
}

// right says whether a whole answer has the right tokens. An engine that goes past the cap gives more of them.
func (a *attempt) right() bool {
	_, prompt, _, _ := standin.ParsePrompt([]byte(a.body()))
	text := textOf(a.got)
	n := len(strings.Fields(text))
	return n >= modelCap && text == strings.TrimSpace(standin.Answer(a.model, prompt, n))
}

func drawFaults(rt *rapid.T) standin.EngineFaults {
	all := []standin.EngineFaults{
		{}, {Busy: true}, {Reject: true}, {Error: true}, {Crossed: true}, {CrossedBody: true}, {BreakAfter: 2}, {BreakAfter: 1, BreakResumes: true},
		{BreakAfter: 3, Forget: true}, {NoEnd: true}, {NoUsage: true}, {Duplicate: true}, {Gap: 2}, {Truncate: true},
		{TruncateQuiet: true}, {Truncate: true, Forget: true}, {OverCap: 3},
	}
	f := rapid.SampledFrom(all).Draw(rt, "fault")
	share := rapid.IntRange(1, 3).Draw(rt, "share")
	var asked atomic.Int64
	f.Pick = func(string) bool { return asked.Add(1)%int64(share) == 0 }
	return f
}

func drawAttempts(rt *rapid.T) []*attempt {
	var out []*attempt
	for i := range rapid.IntRange(1, 6).Draw(rt, "requests") {
		a := &attempt{
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

func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig()
		defer r.close()
		budget := r.keeper.left
		attempts := drawAttempts(rt)
		for _, e := range r.engines {
			e.SetFaults(drawFaults(rt))
		}
		// Each keyed request is sent twice, one after the other, as a caller does that asks again.
		var wg sync.WaitGroup
		for _, a := range attempts {
			wg.Go(func() {
				a.send(r)
				if a.key != "" {
					again := *a
					again.send(r)
				}
			})
		}
		wg.Wait()
		until(func() bool { return r.server.InProgress() == 0 })
		for _, a := range attempts {
			checkAttempt(rt, r, a)
		}
		checkBills(rt, r, uint64(budget))
	})
}

func checkAttempt(rt *rapid.T, r *rig, a *attempt) {
	runs := 0
	for _, run := range r.runs() {
		if run.Model == a.model && strings.HasSuffix(run.Prompt, a.prompt+"\n") {
			runs++
		}
	}
	notRun := strings.Contains(a.got.body, `"outcome":"not_run"`)
	switch {
	case a.whole() && !a.right():
		rt.Fatalf("wrong answer %q to %+v", a.got.body, a)
	case a.model == "dose" && runs > 1:
		rt.Fatalf("non-idempotent request ran %d times: %+v", runs, a)
	case notRun && a.key == "" && runs > 0:
		rt.Fatalf("not run, but ran: %+v", a)
	case !a.whole() && a.got.err == nil && !notRun && !strings.Contains(a.got.body, `"outcome":"unknown"`):
		rt.Fatalf("end without an outcome: %+v", a.got)
	}
}

// checkBills compares the bills with the engines' log.
func checkBills(rt *rapid.T, r *rig, budget uint64) {
	var billed, ran uint64
	seen := make(map[string]quota.Usage)
	for _, u := range r.keeper.bills() {
		if seen[u.RequestID].Ran {
			rt.Fatalf("%s billed twice", u.RequestID)
		}
		seen[u.RequestID] = u
		billed += uint64(u.Prompt + u.Generated)
	}
	for _, run := range r.runs() {
		ran += uint64(run.PromptTokens + run.Generated)
		if u := seen[run.RequestID]; !u.Ran {
			rt.Fatalf("run %s was not billed", run.RequestID)
		}
	}
	overCap := slices.ContainsFunc(r.runs(), func(run standin.Run) bool { return run.Generated > run.CapTokens })
	if ran > billed && !overCap {
		rt.Fatalf("%d tokens ran, %d billed", ran, billed)
	}
	if len(r.keeper.open) > 0 || uint64(r.keeper.left)+billed != budget {
		rt.Fatalf("left %d + billed %d != %d, open %v", r.keeper.left, billed, budget, r.keeper.open)
	}
	if r.admit.open != 0 {
		rt.Fatalf("%d places not given back", r.admit.open)
	}
}
