package budget

// Recent remembers the ids of requests settled lately, in two generations of bounded size. It is not safe for
// concurrent use.
type Recent struct {
	limit   int
	newer   map[string]struct{}
	older   map[string]struct{}
	rotated int64
	keepMs  int64
}

// NewRecent returns a memory of at least the last limit ids, or those of the last keepMs milliseconds if they are fewer.
func NewRecent(limit int, keepMs int64) *Recent { return &Recent{limit: limit, keepMs: keepMs} }

// Add remembers an id.
func (r *Recent) Add(id string, nowMs int64) {
	if len(r.newer) >= r.limit || nowMs-r.rotated >= r.keepMs {
		r.older, r.newer, r.rotated = r.newer, nil, nowMs
	}
	if r.newer == nil {
		r.newer = make(map[string]struct{})
	}
	r.newer[id] = struct{}{}
}

// Has says whether an id is remembered.
func (r *Recent) Has(id string) bool {
	if _, ok := r.newer[id]; ok {
		return true
	}
	_, ok := r.older[id]
	return ok
}
