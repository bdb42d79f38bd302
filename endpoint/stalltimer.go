package endpoint

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// stallTimer calls a function when no progress is recorded within a time limit.
type stallTimer struct {
	timer clockwork.Timer
	// limit is the time limit in nanoseconds.
	limit atomic.Int64
	// paused is set while the client itself, not the peer, causes the delay.
	paused atomic.Bool
}

func newStallTimer(clock clockwork.Clock, limit time.Duration, onStall func(*stallTimer)) *stallTimer {
	w := new(stallTimer)
	w.limit.Store(int64(limit))
	// started is closed once w.timer is set, which the callback uses.
	started := make(chan struct{})
	w.timer = clock.AfterFunc(limit, func() {
		<-started
		if w.paused.Load() {
			w.recordProgress()
			return
		}
		onStall(w)
	})
	close(started)
	return w
}

// pauseDuring runs f. The time that f takes does not count towards the limit.
func (w *stallTimer) pauseDuring(f func()) {
	w.paused.Store(true)
	f()
	w.recordProgress()
	w.paused.Store(false)
}

// setLimit changes the time limit and restarts the timer.
func (w *stallTimer) setLimit(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.recordProgress()
}

func (w *stallTimer) recordProgress() { w.timer.Reset(time.Duration(w.limit.Load())) }
func (w *stallTimer) stop()           { w.timer.Stop() }

// progressReader records progress on a stallTimer for each read of data.
type progressReader struct {
	r     io.Reader
	timer *stallTimer
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.timer.recordProgress()
	}
	return n, err
}
