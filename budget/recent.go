package budget

// RecentIDs records the IDs of recently settled requests in two generations of bounded size. It is not safe for
// concurrent use.
type RecentIDs struct {
	limit         int
	newer         map[string]struct{}
	older         map[string]struct{}
	rotatedUnixMs int64
	keepMs        int64
}

// NewRecentIDs returns a set that keeps at least the last limit IDs, or those of the last keepMs milliseconds if they are
// fewer.
func NewRecentIDs(limit int, keepMs int64) *RecentIDs {
	return &RecentIDs{limit: limit, keepMs: keepMs}
}

// Add records an ID.
func (r *RecentIDs) Add(id string, nowUnixMs int64) {
	if len(r.newer) >= r.limit || nowUnixMs-r.rotatedUnixMs >= r.keepMs {
		r.older, r.newer, r.rotatedUnixMs = r.newer, nil, nowUnixMs
	}
	if r.newer == nil {
		r.newer = make(map[string]struct{})
	}
	r.newer[id] = struct{}{}
}

// Contains reports whether an ID is recorded.
func (r *RecentIDs) Contains(id string) bool {
	if _, ok := r.newer[id]; ok {
		return true
	}
	_, ok := r.older[id]
	return ok
}
