package quarantine

import (
	"slices"
	"time"
)

// awaitPeriod is how long a request waits for the verdict on it: until other instances have replied to the one that observed the latest
// crash, and the verdict was passed on.
const awaitPeriod = replyPeriod + 200*time.Millisecond

// Awaited returns how long a request waits before it is sent, because it is known to be in enough crashes for a verdict, and only the
// replies of other instances are awaited that may know of an answer. It is zero for most requests, and for prompt parts, because many
// callers' requests would wait.
func (t *Tracker) Awaited(parts []string, now time.Time) time.Duration {
	if !t.inUse.Load() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judge(now)
	for _, part := range parts {
		if wait := t.latestKnown(part).Add(awaitPeriod).Sub(now); IsRequestPart(part) && wait > 0 && t.sufficient(part, now) {
			return wait
		}
	}
	return 0
}

// latestKnown returns when this instance learned of the latest crash of a part, zero if there is none.
func (t *Tracker) latestKnown(part string) (latest time.Time) {
	for _, c := range t.crashes {
		if s := c.parts[part]; s != nil && s.knownAt.After(latest) {
			latest = s.knownAt
		}
	}
	return latest
}

// sufficient reports whether the known crashes convict a part if no reply tells of an answer.
func (t *Tracker) sufficient(part string, now time.Time) bool {
	list := t.suspicions(now)
	for i := range list {
		list[i].settled = list[i].crashes
	}
	return slices.ContainsFunc(convictable(list), func(s suspicion) bool { return s.part == part })
}
