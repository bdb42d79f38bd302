package quarantine

import (
	"slices"
	"time"
)

// suspicion is the evidence against one part.
type suspicion struct {
	part string
	// crashes is the number of separate crashes that count against the part, and settled the number of those up to the last
	// one that no verdict explains and after which other instances had time to say what they know of the part.
	crashes, settled int
	// entries holds the crashes in order, groupStart the time from which those of a whole request count as one.
	entries    []*crash
	groupStart time.Time
	// share is set if the part is in enough of the crashes since its first one, unexplained if it is in one that no verdict explains.
	share, unexplained bool
	// begun is set if an answer with the part ever began.
	begun bool
	// former is set if the part was in quarantine before, tied if it is convicted together with others of as much evidence.
	former, tied bool
}

// Judge puts parts in quarantine and ends quarantines. Requests do the same on their way, so it is only needed for verdicts to
// be passed on without them.
func (t *Tracker) Judge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
}

// UntilJudged returns how long to wait until evidence will be complete, or false if there is none to wait for.
func (t *Tracker) UntilJudged(now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judgeAt.Sub(now), !t.judgeAt.IsZero()
}

func (t *Tracker) scheduleJudge(at time.Time) {
	if t.judgeAt.IsZero() || at.Before(t.judgeAt) {
		t.judgeAt = at
	}
}

func (t *Tracker) judge(now time.Time) {
	t.endVerdicts(now)
	if t.judgeAt.IsZero() || now.Before(t.judgeAt) {
		return
	}
	t.judgeAt = time.Time{}
	t.forget(now)
	t.explain()
	for {
		convicted := convictable(t.suspicions(now))
		if len(convicted) == 0 {
			break
		}
		for _, s := range convicted {
			t.convict(s, now)
		}
		t.explain()
	}
	for _, c := range t.crashes {
		for _, s := range c.parts {
			if due := s.settlesAt(); due.After(now) {
				t.scheduleJudge(due)
			}
		}
		t.scheduleJudge(c.at.Add(evidenceMemory + time.Second))
	}
}

// forget drops what is too old to count.
func (t *Tracker) forget(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceMemory })
	for part, until := range t.former {
		if now.After(until) {
			delete(t.former, part)
		}
	}
	t.inUse.Store(len(t.crashes) > 0 || len(t.verdicts) > 0 || t.storedWithdrawn)
}

// endReason returns why the quarantine of a part is over, or "" if it is not.
func (t *Tracker) endReason(part string, v *verdict, now time.Time) string {
	switch {
	case t.begunAt(part).After(v.lastCrash):
		return EndedBegun
	case now.Sub(v.lastRequest) > QuietPeriod:
		return EndedQuiet
	case now.After(v.until):
		return EndedExpired
	}
	return ""
}

// endVerdicts ends the quarantines that are over.
func (t *Tracker) endVerdicts(now time.Time) {
	for part, v := range t.verdicts {
		reason := t.endReason(part, v, now)
		if reason == "" {
			continue
		}
		delete(t.verdicts, part)
		if reason == EndedBegun {
			// The crashes have another cause.
			for _, c := range t.crashes {
				if c.explainedBy == part {
					c.explainedBy = ""
				}
			}
			t.scheduleJudge(now)
			if v.withdraws && len(t.withdrawn) < maxVerdicts {
				t.withdrawn, t.storedWithdrawn = append(t.withdrawn, part), t.storedWithdrawn || v.stored
				t.signal()
			}
		} else if len(t.former) < maxFormer {
			t.former[part] = now.Add(formerMemory)
		}
		t.changed(Change{Verdict: v.export(part, now), Ended: reason})
	}
}

// suspicions returns the evidence against each part, strongest first.
func (t *Tracker) suspicions(now time.Time) []suspicion {
	slices.SortStableFunc(t.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	var groupStart time.Time
	groups := 0
	byPart := make(map[string]*suspicion)
	lastGroup, firstGroup := make(map[string]int), make(map[string]int)
	for _, c := range t.crashes {
		if now.Sub(c.at) > evidenceMemory {
			continue
		}
		if c.explainedBy == "" && t.hasSuspectPart(c) && (groups == 0 || c.at.Sub(groupStart) > groupPeriod) {
			groups++
			groupStart = c.at
		}
		for part, member := range c.parts {
			convicted := c.explainedBy == part || c.explainedBy != "" && t.verdicts[part] != nil
			if !t.counts(c, part) || t.acquits(c, part) || convicted {
				continue
			}
			s := byPart[part]
			if s == nil {
				s = &suspicion{part: part, begun: !t.begunAt(part).IsZero(), former: now.Before(t.former[part])}
				byPart[part], firstGroup[part] = s, groups
			}
			switch {
			case IsRequestPart(part):
				if !s.begun || len(s.entries) == 0 || c.at.Sub(s.groupStart) > groupPeriod {
					s.crashes, s.groupStart = s.crashes+1, c.at
				}
			case lastGroup[part] != groups:
				lastGroup[part] = groups
				s.crashes++
			}
			s.entries = append(s.entries, c)
			if c.explainedBy != "" {
				continue
			}
			s.unexplained = true
			if !now.Before(member.settlesAt()) {
				s.settled = s.crashes
			}
		}
	}
	var out []suspicion
	for part, s := range byPart {
		s.share = IsRequestPart(part) || s.crashes*minCrashShare >= groups-firstGroup[part]+1
		out = append(out, *s)
	}
	slices.SortFunc(out, func(a, b suspicion) int { return b.crashes - a.crashes })
	return out
}

// hasSuspectPart reports whether a crash counts against some prompt part.
func (t *Tracker) hasSuspectPart(c *crash) bool {
	for part := range c.parts {
		if !IsRequestPart(part) && t.counts(c, part) {
			return true
		}
	}
	return false
}

// acquits reports whether a crash does not count against a part because a verdict on another one explains it. A verdict on a whole
// request does not acquit other whole requests, unless it never had an answer and the other one had: then it is more likely the cause.
// They count again once they are in a crash that no verdict explains: if the instance that observed one of the crashes ended, the
// cause has less evidence than a sound request that was lost with it.
func (t *Tracker) acquits(c *crash, part string) bool {
	switch {
	case c.explainedBy == "" || c.explainedBy == part:
		return false
	case IsRequestPart(c.explainedBy) && IsRequestPart(part):
		return t.begunAt(c.explainedBy).IsZero() && !t.begunAt(part).IsZero()
	}
	return true
}

// counts reports whether a crash counts against one of its parts: no answer with the part began since. The first part of a
// prompt does not count if an answer with it ever began. It is shared by so many requests that answers begin whenever an
// endpoint is sound, and a verdict on it would refuse most requests of a service.
func (t *Tracker) counts(c *crash, part string) bool {
	begun := t.begunAt(part)
	return c.at.After(begun) && !(c.parts[part].first && !begun.IsZero())
}

// settlesAt returns when other instances have had time to say what they know of the part.
func (s *suspect) settlesAt() time.Time {
	if s.own {
		return s.knownAt.Add(replyPeriod)
	}
	return s.knownAt.Add(relayPeriod)
}

// threshold returns the number of crashes that convict the part.
func (s *suspicion) threshold() int {
	switch {
	case s.former:
		return 1
	case s.begun:
		return minCrashesBegun
	}
	return minCrashes
}

// convicts reports whether the evidence against a part is sufficient, apart from that against others, if a number of further
// crashes is needed.
func (s *suspicion) convicts(further int) bool { return s.share && s.settled >= s.threshold()+further }

// convictable returns the parts of a list to put in quarantine next. Those with which no answer ever began come first, because an answer
// shows that endpoints survived the other ones, and whole requests come before the prompt parts that they have.
func convictable(list []suspicion) []suspicion {
	var requests, parts, begunRequests, begunParts []suspicion
	for _, s := range list {
		isRequest := IsRequestPart(s.part)
		switch {
		case s.former && s.convicts(0):
			return []suspicion{s}
		case s.begun && isRequest:
			begunRequests = append(begunRequests, s)
		case s.begun:
			begunParts = append(begunParts, s)
		case isRequest:
			requests = append(requests, s)
		default:
			parts = append(parts, s)
		}
	}
	for _, list := range [][]suspicion{requests, parts, begunRequests, begunParts} {
		if out := strongest(list); len(out) > 0 {
			return out
		}
	}
	return nil
}

// strongest returns the parts with the most evidence if it convicts them. If there are several, each of them may be the cause,
// and another crash is needed to tell them apart. Not so for a few whole requests: a wrong verdict on one affects nobody else, and
// the first repeat that is let through ends it.
func strongest(list []suspicion) []suspicion {
	list = slices.DeleteFunc(list, func(s suspicion) bool { return !s.share || !s.unexplained })
	var tied []suspicion
	for _, s := range list {
		if s.crashes == list[0].crashes {
			tied = append(tied, s)
		}
	}
	further := 0
	switch {
	case len(tied) > fewTied:
		further = 2
	case len(tied) > 1 && !IsRequestPart(tied[0].part):
		further = 1
	}
	// If only some were convicted, they would explain the crashes that the others cause.
	if slices.ContainsFunc(tied, func(s suspicion) bool { return !s.convicts(further) }) {
		return nil
	}
	for i := range tied {
		tied[i].tied = len(tied) > 1
	}
	return tied
}

// convict puts a part in quarantine.
func (t *Tracker) convict(s suspicion, now time.Time) {
	v := &verdict{
		lastRequest: now, until: now.Add(maxDuration), unsent: true, withdraws: true, storeAfter: now,
		decidedBy: t.config.Self, triedFrom: now.Add(trialDelay),
	}
	switch {
	case s.tied && IsRequestPart(s.part):
		v.triedFrom = now.Add(trialDelayTied)
	case s.begun:
		v.triedFrom = now.Add(trialDelayBegun)
	}
	for _, c := range s.entries {
		v.lastCrash = c.at
		v.endpoints = append(v.endpoints, c.endpoint.ID)
	}
	v.endpoints = v.endpoints[max(0, len(v.endpoints)-maxEndpointsKept):]
	t.setVerdict(s.part, v)
	t.changed(Change{Verdict: v.export(s.part, now)})
	t.signal()
}

func (t *Tracker) setVerdict(part string, v *verdict) {
	if len(t.verdicts) >= maxVerdicts {
		oldest := ""
		for p, other := range t.verdicts {
			if oldest == "" || other.lastRequest.Before(t.verdicts[oldest].lastRequest) {
				oldest = p
			}
		}
		delete(t.verdicts, oldest)
	}
	delete(t.former, part)
	t.verdicts[part] = v
	t.inUse.Store(true)
}

// explain attributes crashes to the parts in quarantine that were lost with them. A later crash is evidence of the verdict.
func (t *Tracker) explain() {
	for _, c := range t.crashes {
		for part := range c.parts {
			if v := t.verdicts[part]; v != nil && c.at.After(t.begunAt(part)) {
				c.explainedBy = part
				if c.at.After(v.lastCrash) {
					v.lastCrash = c.at
				}
			}
		}
		t.doubt(c)
	}
}

// doubt lets a whole request be tried soon if another one in quarantine was lost in the same crash and in a later one. The later
// crash needs another cause than the first verdict.
func (t *Tracker) doubt(c *crash) {
	var latest time.Time
	for part := range c.parts {
		if v := t.verdicts[part]; v != nil && IsRequestPart(part) && v.lastCrash.After(latest) {
			latest = v.lastCrash
		}
	}
	for part := range c.parts {
		if v := t.verdicts[part]; v != nil && IsRequestPart(part) && v.lastCrash.Before(latest) && v.triedFrom.After(latest.Add(trialDelayTied)) {
			v.triedFrom = latest.Add(trialDelayTied)
		}
	}
}

func (t *Tracker) changed(c Change) {
	if t.config.OnChange != nil {
		t.config.OnChange(c)
	}
}
