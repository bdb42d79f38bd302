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

// naiveGate is one process with one mutex and one map.
type naiveGate struct {
	mu   sync.Mutex
	keys map[claim.KeyHash]*naiveKey
}

type naiveKey struct {
	body    claim.BodyHash
	running bool
	outcome Outcome
}

func (g *naiveGate) Begin(_ context.Context, r Request) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.keys[r.Key]
	switch {
	case k == nil:
		g.keys[r.Key] = &naiveKey{body: r.Body, running: true}
		return Verdict{Decision: Run}
	case k.body != r.Body:
		return Verdict{Decision: Mismatch}
	case k.running:
		return Verdict{Decision: UnknownOutcome}
	default:
		return verdictOf(k.outcome, "")
	}
}

func (g *naiveGate) Finish(_ context.Context, key claim.KeyHash, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Kind == NotRun {
		delete(g.keys, key)
		return
	}
	g.keys[key].running, g.keys[key].outcome = false, o
}

// TestAgainstNaiveGate compares verdicts with all links healthy.
func TestAgainstNaiveGate(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		defer f.stop()
		keepers := []*Keeper{f.start("a"), f.start("b"), f.start("c")}
		naive := &naiveGate{keys: make(map[claim.KeyHash]*naiveKey)}
		owners := make(map[string]*Keeper)
		begin := func(t *rapid.T) {
			k := rapid.SampledFrom(keepers).Draw(t, "keeper")
			key := rapid.StringMatching("[a-f]").Draw(t, "key")
			r := dose(key, rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "body"))
			if owners[key] != nil {
				r.Wait = 20 * time.Millisecond
			}
			want := naive.Begin(ctx, r)
			got := k.Begin(ctx, r)
			running := owners[key] != nil && got.Decision == UnknownOutcome
			if got.Decision != want.Decision && !running {
				t.Fatalf("key %s: got %d, naive gate says %d", key, got.Decision, want.Decision)
			}
			if string(got.Outcome.Body) != string(want.Outcome.Body) {
				t.Fatalf("key %s: got answer %q, naive gate has %q", key, got.Outcome.Body, want.Outcome.Body)
			}
			if got.Decision == Run {
				owners[key] = k
			}
		}
		finish := func(t *rapid.T) {
			key := rapid.StringMatching("[a-f]").Draw(t, "key")
			if owners[key] == nil {
				t.Skip("not running")
			}
			o := rapid.SampledFrom([]Outcome{answered("1 " + key), answered("2 " + key), {Kind: NotRun}, {Kind: Unknown}}).Draw(t, "outcome")
			hash := claim.HashKey("al-wusta", key)
			naive.Finish(ctx, hash, o)
			owners[key].Finish(ctx, hash, o)
			delete(owners, key)
		}
		t.Repeat(map[string]func(*rapid.T){"begin": begin, "beginMore": begin, "finish": finish})
	})
}

// engineLog judges what ran.
type engineLog struct {
	mu   sync.Mutex
	next int
	runs map[claim.KeyHash][]string
}

// run records one run and returns its answer, which no other run has.
func (l *engineLog) run(r Request) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	answer := fmt.Sprintf("answer %d", l.next)
	l.runs[r.Key] = append(l.runs[r.Key], answer)
	return answer
}

// faultStep breaks or mends something of a fleet.
func faultStep(rnd *rand.Rand, f *fleet, keepers []*Keeper) {
	victim := keepers[rnd.IntN(len(keepers))]
	switch rnd.IntN(6) {
	case 0:
		f.objects.SetFaults(standin.Faults{Down: true})
	case 1:
		f.objects.SetFaults(standin.Faults{LoseAnswer: func(string) bool { return rand.IntN(2) == 0 }})
	case 2:
		f.objects.SetFaults(standin.Faults{Cut: func(caller string) bool { return caller == victim.cfg.Self.GetName() }})
	case 3:
		f.lose(victim, rnd.IntN(2) == 0)
	default:
		f.objects.SetFaults(standin.Faults{})
		f.mend()
	}
}

// TestFaults lets callers repeat their requests at any instance while links, the platform and the view fail. The engines'
// log says what ran.
func TestFaults(t *testing.T) {
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
	keepers := []*Keeper{f.start("a", policy), f.start("b", policy), f.start("c", policy)}
	log := &engineLog{runs: make(map[claim.KeyHash][]string)}
	ctx := context.Background()
	var work sync.WaitGroup
	for n := range callers {
		seed := rnd.Uint64()
		work.Go(func() { callRepeatedly(ctx, t, rand.New(rand.NewPCG(seed, uint64(n))), keepers, log, n, attempts) })
	}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				faultStep(rnd, f, keepers)
			}
		}
	})
	work.Wait()
	close(stop)
	faults.Wait()
	f.objects.SetFaults(standin.Faults{})
	f.mend()
	for key, ids := range log.runs {
		if len(ids) > 1 {
			t.Errorf("key %x ran %d times: %v", key[:4], len(ids), ids)
		}
	}
}

// callRepeatedly is one caller that repeats its request with the same key until it has an answer.
func callRepeatedly(ctx context.Context, t *testing.T, rnd *rand.Rand, keepers []*Keeper, log *engineLog, n, attempts int) {
	key := fmt.Sprintf("key-%d", n)
	switch n % 3 {
	case 1:
		key = keepers[rnd.IntN(len(keepers))].Issue("al-wusta", 1)[0]
	case 2:
		key = claim.StatedPrefix + key
	}
	for attempt := range attempts {
		r := dose(key, "body")
		r.FirstAttempt = attempt == 0
		r.Wait = 200 * time.Millisecond
		k := keepers[rnd.IntN(len(keepers))]
		v := k.Begin(ctx, r)
		switch v.Decision {
		case Run:
			finishSomehow(ctx, rnd, k, log, r)
		case Recorded:
			checkRecorded(t, log, r, v)
		}
	}
}

func finishSomehow(ctx context.Context, rnd *rand.Rand, k *Keeper, log *engineLog, r Request) {
	time.Sleep(time.Duration(rnd.IntN(10)) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	switch rnd.IntN(4) {
	case 0:
		k.Finish(ctx, r.Key, Outcome{Kind: NotRun})
	case 1:
		log.run(r)
		k.Finish(ctx, r.Key, Outcome{Kind: Unknown})
	default:
		k.Finish(ctx, r.Key, answered(log.run(r)))
	}
}

func checkRecorded(t *testing.T, log *engineLog, r Request, v Verdict) {
	log.mu.Lock()
	defer log.mu.Unlock()
	ran := log.runs[r.Key]
	if v.Outcome.Kind == Answered && (len(ran) != 1 || ran[0] != string(v.Outcome.Body)) {
		t.Errorf("%s recorded, but %v ran", v.Outcome.Body, ran)
	}
	if v.Outcome.Kind == NotRun && len(ran) > 0 {
		t.Errorf("said not to have run, but %v ran", ran)
	}
}
