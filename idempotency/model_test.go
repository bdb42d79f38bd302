package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceshelf/claim"
	"pumiceshelf/internal/standin"
)

// referenceModel is a Deduplicator for a single process, with one mutex and one map.
type referenceModel struct {
	mu   sync.Mutex
	keys map[claim.KeyHash]*modelKey
}

type modelKey struct {
	body    claim.BodyHash
	running bool
	outcome Outcome
}

func (m *referenceModel) Begin(_ context.Context, r Request) BeginResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.keys[r.Key]
	switch {
	case k == nil:
		m.keys[r.Key] = &modelKey{body: r.Body, running: true}
		return BeginResult{Decision: Run}
	case k.body != r.Body:
		return BeginResult{Decision: BodyMismatch}
	case k.running:
		return BeginResult{Decision: UnknownOutcome}
	default:
		return resultOf(k.outcome, "")
	}
}

func (m *referenceModel) Finish(_ context.Context, key claim.KeyHash, o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Kind == NotRun {
		delete(m.keys, key)
		return
	}
	m.keys[key].running, m.keys[key].outcome = false, o
}

// TestAgainstReferenceModel compares the results of three instances without faults to those of the reference model.
func TestAgainstReferenceModel(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		defer f.stop()
		managers := []*Manager{f.start("a"), f.start("b"), f.start("c")}
		model := &referenceModel{keys: make(map[claim.KeyHash]*modelKey)}
		owners := make(map[string]*Manager)
		begin := func(t *rapid.T) {
			m := rapid.SampledFrom(managers).Draw(t, "keeper")
			key := rapid.StringMatching("[a-f]").Draw(t, "key")
			r := newRequest(key, rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "body"))
			if owners[key] != nil {
				r.MaxWait = 20 * time.Millisecond
			}
			want := model.Begin(ctx, r)
			got := m.Begin(ctx, r)
			stillRunning := owners[key] != nil && got.Decision == UnknownOutcome
			if got.Decision != want.Decision && !stillRunning {
				t.Fatalf("key %s: got decision %d, the reference model returns %d", key, got.Decision, want.Decision)
			}
			if string(got.Outcome.Body) != string(want.Outcome.Body) {
				t.Fatalf("key %s: got response %q, the reference model returns %q", key, got.Outcome.Body, want.Outcome.Body)
			}
			if got.Decision == Run {
				owners[key] = m
			}
		}
		finish := func(t *rapid.T) {
			key := rapid.StringMatching("[a-f]").Draw(t, "key")
			if owners[key] == nil {
				t.Skip("not running")
			}
			o := rapid.SampledFrom([]Outcome{completed("1 " + key), completed("2 " + key), {Kind: NotRun}, {Kind: Unknown}}).Draw(t, "outcome")
			hash := claim.HashKey("al-wusta", key)
			model.Finish(ctx, hash, o)
			owners[key].Finish(ctx, hash, o)
			delete(owners, key)
		}
		t.Repeat(map[string]func(*rapid.T){"begin": begin, "beginMore": begin, "finish": finish})
	})
}

// runLog records the runs of each key with their responses.
type runLog struct {
	mu   sync.Mutex
	next int
	runs map[claim.KeyHash][]string
}

// run records one run and returns its response, which is unique.
func (l *runLog) run(r Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	response := fmt.Sprintf("response %d", l.next)
	l.runs[r.Key] = append(l.runs[r.Key], response)
	return response
}

// injectRandomFault injects a fault into a fleet or ends all faults.
func injectRandomFault(rnd *rand.Rand, f *fleet, managers []*Manager) {
	victim := managers[rnd.IntN(len(managers))]
	switch rnd.IntN(6) {
	case 0:
		f.objects.SetFaults(standin.Faults{Unavailable: true})
	case 1:
		f.objects.SetFaults(standin.Faults{LoseResponse: func(string) bool { return rand.IntN(2) == 0 }})
	case 2:
		f.objects.SetFaults(standin.Faults{Partitioned: func(caller string) bool { return caller == victim.cfg.Self.GetName() }})
	case 3:
		f.disconnect(victim, rnd.IntN(2) == 0)
	default:
		f.objects.SetFaults(standin.Faults{})
		f.heal()
	}
}

// TestAtMostOnceUnderFaults lets callers retry their requests at any instance while connections, the object store and the
// views of live instances fail. No key may run twice, and a recorded response must be that of the key's only run.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runFaults(t, seed) })
	}
}

func runFaults(t *testing.T, seed uint64) {
	const callers, attempts = 48, 6
	rnd := rand.New(rand.NewPCG(seed, 1))
	f := newFleet()
	defer f.stop()
	policy := func(c *Config) { c.Policy = Policy(seed % 3) }
	managers := []*Manager{f.start("a", policy), f.start("b", policy), f.start("c", policy)}
	runs := &runLog{runs: make(map[claim.KeyHash][]string)}
	ctx := context.Background()
	var wg sync.WaitGroup
	for n := range callers {
		seed := rnd.Uint64()
		wg.Go(func() { retryingCaller(ctx, t, rand.New(rand.NewPCG(seed, uint64(n))), managers, runs, n, attempts) })
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				injectRandomFault(rnd, f, managers)
			}
		}
	})
	wg.Wait()
	close(stop)
	faults.Wait()
	f.objects.SetFaults(standin.Faults{})
	f.heal()
	for key, responses := range runs.runs {
		if len(responses) > 1 {
			t.Errorf("key %x ran %d times: %v", key[:4], len(responses), responses)
		}
	}
}

// retryingCaller sends a request several times with the same key, each time to a random instance.
func retryingCaller(ctx context.Context, t *testing.T, rnd *rand.Rand, managers []*Manager, runs *runLog, n, attempts int) {
	key := fmt.Sprintf("key-%d", n)
	switch n % 3 {
	case 1:
		key = managers[rnd.IntN(len(managers))].Issue("al-wusta", 1)[0]
	case 2:
		key = claim.StatedPrefix + key
	}
	for attempt := range attempts {
		r := newRequest(key, "body")
		r.FirstAttempt = attempt == 0
		r.MaxWait = 200 * time.Millisecond
		m := managers[rnd.IntN(len(managers))]
		result := m.Begin(ctx, r)
		switch result.Decision {
		case Run:
			finishRandomly(ctx, rnd, m, runs, r)
		case Recorded:
			checkRecorded(t, runs, r, result)
		}
	}
}

func finishRandomly(ctx context.Context, rnd *rand.Rand, m *Manager, runs *runLog, r Request) {
	time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	switch rnd.IntN(4) {
	case 0:
		m.Finish(ctx, r.Key, Outcome{Kind: NotRun})
	case 1:
		runs.run(r)
		m.Finish(ctx, r.Key, Outcome{Kind: Unknown})
	default:
		m.Finish(ctx, r.Key, completed(runs.run(r)))
	}
}

func checkRecorded(t *testing.T, runs *runLog, r Request, result BeginResult) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	responses := runs.runs[r.Key]
	if result.Outcome.Kind == Completed && (len(responses) != 1 || responses[0] != string(result.Outcome.Body)) {
		t.Errorf("%s is recorded, but the runs returned %v", result.Outcome.Body, responses)
	}
	if result.Outcome.Kind == NotRun && len(responses) > 0 {
		t.Errorf("recorded as not run, but the runs returned %v", responses)
	}
}
