package endpoint

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// watch calls a function when no progress was noted for a time.
type watch struct {
	timer clockwork.Timer
	limit atomic.Int64
	// paused says that the client itself keeps the other end waiting.
	paused atomic.Bool
}

func newWatch(clock clockwork.Clock, limit time.Duration, f func()) *watch {
	w := new(watch)
	w.limit.Store(int64(limit))
	started := make(chan struct{})
	w.timer = clock.AfterFunc(limit, func() {
		<-started
		if w.paused.Load() {
			w.progress()
			return
		}
		f()
	})
	close(started)
	return w
}

// pause runs f, whose time does not count.
func (w *watch) pause(f func()) {
	w.paused.Store(true)
	f()
	w.progress()
	w.paused.Store(false)
}

// setLimit changes the time and starts it anew.
func (w *watch) setLimit(limit time.Duration) {
	w.limit.Store(int64(limit))
	w.progress()
}

func (w *watch) progress() { w.timer.Reset(time.Duration(w.limit.Load())) }
func (w *watch) stop()     { w.timer.Stop() }

type watchedReader struct {
	r     io.Reader
	watch *watch
}

// Read implements io.Reader.
func (r *watchedReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.watch.progress()
	}
	return n, err
}
