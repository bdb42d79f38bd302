package quarantine

import (
	"slices"
	"time"

	"pumiceshelf/registry"
)

const (
	// maxStatedCrashes and maxStatedVerdicts bound a State.
	maxStatedCrashes  = 64
	maxStatedVerdicts = 64
	// loneRequestPeriod is how long a whole request that was lost in one crash only is passed on. Most are never lost again.
	loneRequestPeriod = 5 * time.Second
	// minRemaining is how long a verdict of another instance must still last. It may have just ended here.
	minRemaining = 5 * time.Second
)

// State is what one instance knows, as it passes it on.
type State struct {
	Crashes     []Crash
	Begun       []Begun
	Quarantined []Quarantined
}

// Crash is the crash of an endpoint with the parts that may have caused it.
type Crash struct {
	Endpoint registry.Endpoint
	Age      time.Duration
	Parts    []string
	// FirstParts holds those of the parts that are the first of a prompt.
	FirstParts []string
	// StoredParts holds those of the parts that the store has with the crash.
	StoredParts []string
	// Unchecked is set if it is not known yet whether the endpoint has ended.
	Unchecked bool
}

// Begun is a part with which an answer began.
type Begun struct {
	Part string
	Age  time.Duration
}

// Quarantined is a part in quarantine.
type Quarantined struct {
	Verdict
	LastRequestAge time.Duration
	// Stored is set if the store has the verdict.
	Stored bool
	// DecidedBy is the name of the instance that decided and may let a request pass, Untried the time until it may.
	DecidedBy string
	Untried   time.Duration
}

// Statements returns all that other instances should know.
func (t *Tracker) Statements(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	return t.state(now, func(*crash) bool { return true }, func(*verdict) bool { return true })
}

// News returns what this instance observed or decided since the last call.
func (t *Tracker) News(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	s := t.state(now, func(c *crash) bool { return c.unsent }, func(v *verdict) bool { return v.unsent })
	for _, c := range t.crashes {
		c.unsent = false
	}
	for _, v := range t.verdicts {
		v.unsent = false
	}
	for _, part := range slices.Concat(t.withdrawn, t.answersToTell) {
		s.Begun = append(s.Begun, Begun{Part: part, Age: now.Sub(t.begunAt(part))})
	}
	t.withdrawn, t.answersToTell = nil, nil
	return s
}

// Reply returns what another instance should know that passed on a state: all, or only what concerns the parts in it. In
// either case, it contains when answers to those parts began.
func (t *Tracker) Reply(s State, now time.Time, onlyNamed bool) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	named := make(map[string]bool)
	for _, c := range s.Crashes {
		for _, part := range c.Parts {
			named[part] = true
		}
	}
	for _, q := range s.Quarantined {
		named[q.Part] = true
	}
	var out State
	if !onlyNamed {
		out = t.state(now, func(*crash) bool { return true }, func(*verdict) bool { return true })
		for _, b := range out.Begun {
			delete(named, b.Part)
		}
	}
	for part := range named {
		if v := t.verdicts[part]; v != nil && onlyNamed {
			out.Quarantined = append(out.Quarantined, v.state(part, now))
		}
	}
	out.Begun = append(out.Begun, t.begunState(named, now)...)
	return out
}

// begunState returns when answers to the parts began.
func (t *Tracker) begunState(parts map[string]bool, now time.Time) []Begun {
	var out []Begun
	for part := range parts {
		if at := t.begunAt(part); !at.IsZero() {
			out = append(out, Begun{Part: part, Age: now.Sub(at)})
		}
	}
	return out
}

func (v *verdict) state(part string, now time.Time) Quarantined {
	return Quarantined{Verdict: v.export(part, now), LastRequestAge: now.Sub(v.lastRequest), Stored: v.stored,
		DecidedBy: v.decidedBy, Untried: v.triedFrom.Sub(now)}
}

// state returns the newest crashes and verdicts that are selected, and when answers to their parts began.
func (t *Tracker) state(now time.Time, crashes func(*crash) bool, verdicts func(*verdict) bool) State {
	var out State
	named, lost := make(map[string]bool), t.requestCrashes()
	for _, c := range slices.Backward(t.crashes) {
		if len(out.Crashes) == maxStatedCrashes {
			break
		}
		stated := Crash{Endpoint: c.endpoint, Age: now.Sub(c.at)}
		for part, member := range c.parts {
			if t.acquits(c, part) || !t.counts(c, part) {
				continue
			}
			if IsRequestPart(part) && lost[part] == 1 && now.Sub(c.at) > loneRequestPeriod {
				continue
			}
			stated.Parts = append(stated.Parts, part)
			if member.first {
				stated.FirstParts = append(stated.FirstParts, part)
			}
			if member.stored {
				stated.StoredParts = append(stated.StoredParts, part)
			}
		}
		if len(stated.Parts) == 0 || now.Sub(c.at) > evidenceMemory || !crashes(c) {
			continue
		}
		slices.Sort(stated.Parts)
		out.Crashes = append(out.Crashes, stated)
		for _, part := range stated.Parts {
			named[part] = true
		}
	}
	for part, v := range t.verdicts {
		if len(out.Quarantined) < maxStatedVerdicts && verdicts(v) {
			out.Quarantined = append(out.Quarantined, v.state(part, now))
			named[part] = true
		}
	}
	out.Begun = t.begunState(named, now)
	return out
}

// requestCrashes returns the number of crashes in which each whole request was lost.
func (t *Tracker) requestCrashes() map[string]int {
	out := make(map[string]int)
	for _, c := range t.crashes {
		for part := range c.parts {
			if IsRequestPart(part) {
				out[part]++
			}
		}
	}
	return out
}

// Merge applies what another instance passed on.
func (t *Tracker) Merge(s State, now time.Time) { t.merge(s, now, false) }

// MergeStored applies what the store has.
func (t *Tracker) MergeStored(s State, now time.Time) { t.merge(s, now, true) }

func (t *Tracker) merge(s State, now time.Time, fromStore bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range s.Begun {
		at := now.Add(-max(b.Age, 0))
		known := t.begunAt(b.Part)
		if known.IsZero() || at.Sub(known) > minAdvance {
			t.setBegun(b.Part, at)
		}
		if known.IsZero() && !fromStore {
			t.tellAnswer(b.Part)
		}
	}
	for _, stated := range s.Crashes[:min(len(s.Crashes), maxStatedCrashes)] {
		switch {
		case stated.Age > evidenceMemory:
		case stated.Unchecked:
			t.mergeLoss(stated, now)
		default:
			t.mergeCrash(stated, now, fromStore)
		}
	}
	for _, q := range s.Quarantined[:min(len(s.Quarantined), maxStatedVerdicts)] {
		t.mergeVerdict(q, now, fromStore)
	}
	t.explain()
	t.scheduleJudge(now)
	t.judge(now)
}

func (t *Tracker) mergeCrash(stated Crash, now time.Time, fromStore bool) {
	c := t.crashOf(stated.Endpoint, now.Add(-max(stated.Age, 0)))
	for _, part := range stated.Parts[:min(len(stated.Parts), 2*maxPartsPerCrash)] {
		t.addSuspect(c, part, suspect{
			first: slices.Contains(stated.FirstParts, part), stored: fromStore || slices.Contains(stated.StoredParts, part), knownAt: now,
		})
	}
}

func (t *Tracker) mergeVerdict(q Quarantined, now time.Time, fromStore bool) {
	lastRequest, lastCrash := now.Add(-max(q.LastRequestAge, 0)), now.Add(-max(q.LastCrashAge, 0))
	if fromStore {
		// The store does not learn of later requests.
		lastRequest = now
	}
	if v := t.verdicts[q.Part]; v != nil {
		v.stored = v.stored || q.Stored || fromStore
		// Of several instances that decided at the same time, all choose the same one.
		v.decidedBy = min(v.decidedBy, q.DecidedBy)
		if !fromStore && lastRequest.Sub(v.lastRequest) > minAdvance {
			v.lastRequest = lastRequest
		}
		return
	}
	if t.begunAt(q.Part).After(lastCrash) || QuietPeriod-now.Sub(lastRequest) < minRemaining || q.Remaining < minRemaining {
		return
	}
	v := &verdict{
		lastRequest: lastRequest, lastCrash: lastCrash, until: now.Add(min(q.Remaining, maxDuration)), stored: q.Stored || fromStore,
		storeAfter: now.Add(t.takeoverDelay()), endpoints: q.Endpoints[:min(len(q.Endpoints), maxEndpointsKept)],
		decidedBy: q.DecidedBy, triedFrom: now.Add(q.Untried),
	}
	t.setVerdict(q.Part, v)
	t.changed(Change{Verdict: v.export(q.Part, now), FromInstance: true})
}
