package quarantine

import (
	"slices"
	"time"
)

const (
	// minStoredCrashes is the number of crashes from which the evidence against a part belongs in the store.
	minStoredCrashes = 2
	// takeoverPeriod is how long evidence may be missing in the store before another instance than the one that observed the
	// latest crash writes it.
	takeoverPeriod = 2 * time.Second
)

// takeoverDelay returns how long this instance leaves it to another one to write evidence to the store.
func (t *Tracker) takeoverDelay() time.Duration {
	if t.config.TakeoverDelay == nil {
		return takeoverPeriod
	}
	return takeoverPeriod + t.config.TakeoverDelay()
}

// StoreDue reports whether this instance should write to the store: it lacks a verdict, or a crash with a part of which two or
// more are known, or it has a verdict that proved wrong.
func (t *Tracker) StoreDue(now time.Time) bool {
	if !t.inUse.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	if t.storedWithdrawn {
		return true
	}
	for _, v := range t.verdicts {
		if !v.stored && !now.Before(v.storeAfter) {
			return true
		}
	}
	for _, s := range t.suspicions(now) {
		if s.crashes < minStoredCrashes {
			continue
		}
		latest := s.entries[len(s.entries)-1]
		due := latest.storeAfter
		if member := latest.parts[s.part]; member.own {
			due = member.knownAt.Add(replyPeriod)
		}
		missing := slices.ContainsFunc(s.entries, func(c *crash) bool { return !c.parts[s.part].stored })
		if missing && !now.Before(due) {
			return true
		}
	}
	return false
}

// StoreState returns what the store should have: the verdicts, and the crashes with parts of which two or more are known.
func (t *Tracker) StoreState(now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	relevant := make(map[string]bool)
	for _, s := range t.suspicions(now) {
		relevant[s.part] = s.crashes >= minStoredCrashes
	}
	relevantCrash := func(c *crash) bool { return c.explainedBy == "" || IsRequestPart(c.explainedBy) }
	all := t.state(now, relevantCrash, func(*verdict) bool { return true })
	out, named := State{Quarantined: all.Quarantined}, make(map[string]bool)
	for _, c := range all.Crashes {
		kept := Crash{Endpoint: c.Endpoint, Age: c.Age}
		for _, part := range c.Parts {
			if relevant[part] {
				kept.Parts = append(kept.Parts, part)
				named[part] = true
			}
		}
		for _, part := range c.FirstParts {
			if relevant[part] {
				kept.FirstParts = append(kept.FirstParts, part)
			}
		}
		if len(kept.Parts) > 0 {
			out.Crashes = append(out.Crashes, kept)
		}
	}
	out.Begun = t.storedAnswers(named, now)
	return out
}

// Stored records that the store has a state that StoreState returned. Other instances are told, so that they do not write it.
func (t *Tracker) Stored(s State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storedWithdrawn = false
	for _, q := range s.Quarantined {
		if v := t.verdicts[q.Part]; v != nil {
			v.stored, v.unsent = true, true
		}
	}
	for _, stated := range s.Crashes {
		for _, c := range t.crashes {
			if !c.endpoint.SameProcess(stated.Endpoint) || (now.Sub(c.at)-stated.Age).Abs() > sameCrashPeriod {
				continue
			}
			for _, part := range stated.Parts {
				if member := c.parts[part]; member != nil {
					member.stored, c.unsent = true, true
				}
			}
		}
	}
	t.signal()
}
