package route

import (
	"sync/atomic"
	"time"
)

const (
	// silentIntervals is how many report intervals without any word end the trust in what is known of endpoints: the
	// reports of several sources must fail side by side, as in a freeze.
	silentIntervals = 3
	// silentPatience is how many looks, one each followInterval, an instance that hears nobody holds requests back. Then
	// it goes on with what it knows: it is alone rather than woken from a freeze. The looks make 5 s.
	silentPatience = 50
)

// hearing notes when the instance last heard how endpoints are: from the platform, from a peer, or from every endpoint of
// its domain. An instance that was frozen has missed that endpoints leave, and must hear before it sends them new work. It is safe for
// concurrent use.
type hearing struct {
	limit time.Duration
	// last is in Unix nanoseconds, zero until the first word.
	last atomic.Int64
	// looks counts the looks since the last word that found it too old.
	looks atomic.Int64
}

// heard notes a word and returns whether requests were held back until now.
func (h *hearing) heard(now time.Time) bool {
	held := h.silent(now)
	h.last.Store(now.UnixNano())
	h.looks.Store(0)
	return held
}

// look counts the time that the instance runs without a word.
func (h *hearing) look(now time.Time) {
	if h.old(now) {
		h.looks.Add(1)
	}
}

// silent says whether requests are to be held back.
func (h *hearing) silent(now time.Time) bool { return h.old(now) && h.looks.Load() < silentPatience }

func (h *hearing) old(now time.Time) bool {
	last := h.last.Load()
	return last != 0 && now.UnixNano()-last > int64(h.limit)
}
