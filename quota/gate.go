package quota

import (
	"errors"
	"sync"
	"time"
)

// gateLongest is the longest time between two tries while the platform does not answer.
const gateLongest = time.Second

var errGated = errors.New("quota: the platform did not answer a moment ago")

// gate holds back calls to the platform for a moment after one failed, so that requests are answered at once in an
// outage and calls stay few. It is safe for concurrent use.
type gate struct {
	first time.Duration

	mu     sync.Mutex
	pause  time.Duration
	openAt time.Time
}

// enter returns errGated while calls are held back. One call at a time is let through to try.
func (g *gate) enter(now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pause == 0 {
		return nil
	}
	if now.Before(g.openAt) {
		return errGated
	}
	g.openAt = now.Add(g.pause)
	return nil
}

// closed says whether calls are held back and several in a row have failed, so that waiting for the next is no use.
func (g *gate) closed(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pause >= gateLongest && now.Before(g.openAt)
}

// failed notes that the platform did not answer a call.
func (g *gate) failed(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = min(max(2*g.pause, g.first), gateLongest)
	g.openAt = now.Add(g.pause)
}

// answered notes that the platform answered a call.
func (g *gate) answered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pause = 0
}
