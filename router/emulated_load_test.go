package router_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// loadEvents is the number of events in a stream of a loadedEndpoint. The first comes after firstEventShare of the work.
const (
	loadEvents      = 4
	firstEventShare = 0.2
)

// loadedEndpoint is an endpoint that serves requests in slots for as long as their work takes, lets others wait, and reports its load
// in each response. An engine begins with the most urgent request, and a plain service serves in the order of arrival.
type loadedEndpoint struct {
	*emulatedEndpoint
	play *loadPlay
	// workTime is how long work takes, relative to the usual. An engine reports it.
	workTime float64

	mu      sync.Mutex
	running int
	waiting []*visit
	// visits holds all requests that came, in order.
	visits []*visit
}

// visit is a request at a loadedEndpoint.
type visit struct {
	request, instance string
	priority          int
	arrived           time.Time
	// begun is when its work began, zero if it never did. left is when it no longer took a slot or a place in the queue.
	begun, left time.Time
	rejected    bool
	// started is closed when its work begins.
	started chan struct{}
}

// ServeHTTP implements http.Handler.
func (l *loadedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != l.id {
		l.emulatedEndpoint.ServeHTTP(w, r)
		return
	}
	// The server notices that the client is gone once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	v := l.enter(r)
	if v.rejected {
		l.report(w.Header())
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer l.leave(v)
	select {
	case <-v.started:
	case <-r.Context().Done():
		return
	}
	work := time.Duration(float64(l.play.workOf(r)) * l.workTime)
	if !l.play.engine {
		if pause(r.Context(), work) {
			// The report does not count the request that ends.
			l.leave(v)
			l.report(w.Header())
			_, _ = io.WriteString(w, plainBody(v.request)+l.play.padding)
		}
		return
	}
	first := time.Duration(float64(work) * firstEventShare)
	if !pause(r.Context(), first) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	l.report(w.Header())
	w.WriteHeader(http.StatusOK)
	for id := 1; id <= loadEvents; id++ {
		if _, err := io.WriteString(w, streamBody(l.version, id, id)+l.play.eventPadding()); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if id < loadEvents && !pause(r.Context(), (work-first)/(loadEvents-1)) {
			return
		}
	}
}

// report sets the load report of a response.
func (l *loadedEndpoint) report(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf("%d,%d,%d", l.running, len(l.waiting), l.slots)
	if l.play.engine {
		text += fmt.Sprintf(",%.0f", 100*l.workTime)
	}
	h.Set("X-Server-Load", text)
}

// enter gives a request a slot or a place in the queue, or rejects it.
func (l *loadedEndpoint) enter(r *http.Request) *visit {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := &visit{request: r.Header.Get("X-Request-Id"), instance: r.RemoteAddr, arrived: time.Now(), started: make(chan struct{})}
	v.priority, _ = strconv.Atoi(r.Header.Get("X-Request-Priority"))
	l.visits = append(l.visits, v)
	switch {
	case l.running < l.slots:
		l.beginLocked(v)
	case l.play.maxQueue > 0 && len(l.waiting) >= l.play.maxQueue:
		v.rejected = true
	default:
		l.waiting = append(l.waiting, v)
	}
	return v
}

// beginLocked begins the work of a request. The caller holds the mutex.
func (l *loadedEndpoint) beginLocked(v *visit) {
	l.running++
	v.begun = time.Now()
	close(v.started)
}

// leave frees the slot or the place in the queue of a request. Further calls do nothing.
func (l *loadedEndpoint) leave(v *visit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !v.left.IsZero() {
		return
	}
	v.left = time.Now()
	if v.begun.IsZero() {
		l.waiting = slices.DeleteFunc(l.waiting, func(o *visit) bool { return o == v })
		return
	}
	l.running--
	if len(l.waiting) > 0 {
		next := 0
		for i, o := range l.waiting {
			if o.priority < l.waiting[next].priority {
				next = i
			}
		}
		v := l.waiting[next]
		l.waiting = slices.Delete(l.waiting, next, next+1)
		l.beginLocked(v)
	}
}

// admitted returns the requests that came to the selected endpoints in a time since the start, relative to what these complete, the
// share of the visits that they rejected, and the share of their slots that was taken. A request counts once, also if it was sent to
// another endpoint after a rejection.
func (p *loadPlay) admitted(selected func(*loadedEndpoint) bool, from, until time.Duration) (came, rejected, used float64) {
	var visits, turnedAway, slots int
	requests, busy := make(map[string]bool), 0.0
	for _, s := range p.servers {
		if !selected(s) {
			continue
		}
		slots += s.slots
		for _, v := range s.visits {
			if since := v.arrived.Sub(p.start); since >= from && since < until {
				requests[v.request] = true
				visits++
				if v.rejected {
					turnedAway++
				}
			}
			if !v.begun.IsZero() {
				begun, left := max(v.begun.Sub(p.start), from), min(v.left.Sub(p.start), until)
				busy += max((left - begun).Seconds(), 0)
			}
		}
	}
	seconds := (until - from).Seconds()
	return float64(len(requests)) / (p.capacity(selected) * seconds), float64(turnedAway) / float64(max(visits, 1)), busy / (float64(slots) * seconds)
}

// roomStep is the interval at which it is checked whether there was capacity for all.
const roomStep = 10 * time.Millisecond

// refusedWithRoom describes the refusals for want of room in a time since the start at which there had been capacity for all for
// reportsKnown: fewer than nine tenths of the slots of the selected endpoints were taken, or fewer than half of them had waiting requests
// (docs/design/hard-load.md, part 3).
func (p *loadPlay) refusedWithRoom(selected func(*loadedEndpoint) bool, from, until time.Duration) (refused []string) {
	steps := int(until/roomStep) + 2
	step := func(at time.Time) int { return min(max(int(at.Sub(p.start)/roomStep), 0), steps-1) }
	running, endpointsWaiting, slots, endpoints := make([]int, steps), make([]int, steps), 0, 0
	for _, s := range p.servers {
		if !selected(s) {
			continue
		}
		slots, endpoints = slots+s.slots, endpoints+1
		waits := make([]bool, steps)
		for _, v := range s.visits {
			begun := v.begun
			if begun.IsZero() {
				begun = v.left
			}
			for i := step(v.arrived); i < step(begun); i++ {
				waits[i] = true
			}
			for i := step(begun); i < step(v.left); i++ {
				running[i]++
			}
		}
		for i, w := range waits {
			if w {
				endpointsWaiting[i]++
			}
		}
	}
	roomSince, lackedAt := make([]time.Duration, steps), -time.Hour
	for i := range steps {
		if 10*running[i] >= 9*slots && 2*endpointsWaiting[i] >= endpoints {
			lackedAt = time.Duration(i) * roomStep
		}
		roomSince[i] = time.Duration(i)*roomStep - lackedAt
	}
	for _, q := range p.queries {
		for _, a := range q.answers {
			since := a.ended.Sub(p.start)
			if a.refused() && a.problem == "no-room" && since >= from && since < until && roomSince[step(a.ended)] > reportsKnown {
				refused = append(refused, fmt.Sprintf("request %s of %s at %s was refused at %.2f s, %v after there was capacity for all", a.request, q.kind.name, a.instance, since.Seconds(), roomSince[step(a.ended)]))
			}
		}
	}
	return refused
}

// partition cuts the instances and endpoints of a domain off from all others, and its instances from the store. Open connections hang.
func (p *loadPlay) partition(domain string) {
	inside := make(map[string]bool)
	for _, in := range p.instances {
		if in.domain() == domain {
			inside[in.name] = true
			in.store.setCut(true)
		}
	}
	for _, s := range p.servers {
		if s.domain == domain {
			inside[s.id] = true
		}
	}
	p.network.addCut(cut{process: domain, inside: inside, mode: cutDrops}, connsHang)
}

// heal ends the partition of a domain.
func (p *loadPlay) heal(domain string) {
	p.network.endCut(domain)
	for _, in := range p.instances {
		in.store.setCut(false)
	}
}
