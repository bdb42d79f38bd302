package quarantine

import "time"

// Peek returns what Quarantined would return, without a change of state: the request that is asked about was not sent.
func (t *Tracker) Peek(parts []string, now time.Time) (Verdict, bool) {
	if !t.inUse.Load() {
		return Verdict{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if v := t.verdicts[part]; v != nil && t.endReason(part, v, now) == "" && !t.mayTry(v, now) {
			return v.export(part, now), true
		}
	}
	return Verdict{}, false
}
