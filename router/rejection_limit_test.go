package router_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// limitedSlots is the number of requests that an endpoint runs at once, limitedQueue how many more may wait until it
	// has named its limit for contactPeriod, and reducedQueue how many may afterwards.
	limitedSlots, limitedQueue, reducedQueue = 6, 4, 1
	// maxRejections is the number of requests that it can reject in a second without ending.
	maxRejections = 5
	limitedWork   = 200 * time.Millisecond
	// minSlotsUsed is the share of the slots that must be used meanwhile.
	minSlotsUsed = 0.5
	// rejectionLimitFrom and rejectionLimitUntil bound the time in which endpoints name the limit.
	rejectionLimitFrom, rejectionLimitUntil = 3 * time.Second, 14 * time.Second
)

// rejectingEndpoint serves requests in limitedSlots, and ends if it has to reject too many.
type rejectingEndpoint struct {
	*emulatedEndpoint
	play *rejectionPlay
	mu   sync.Mutex
	// running is the number of requests that run or wait, slots holds a value for each that runs.
	running  int
	slots    chan struct{}
	rejected []time.Time
}

// rejectionPlay is an emulation of a service whose endpoints have a rejection limit for a while, under more load than they bear.
type rejectionPlay struct {
	*contentPlay
	from, until time.Time
	endedMu     sync.Mutex
	ended       int
}

func (b *rejectingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	limited := now.After(b.play.from) && now.Before(b.play.until)
	room := limitedSlots + limitedQueue
	if limited && now.Sub(b.play.from) > contactPeriod {
		room = limitedSlots + reducedQueue
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if limited {
		w.Header().Set("Server-Brittle", strconv.Itoa(maxRejections))
	}
	if !b.enter(room, w) {
		if limited && now.Sub(b.play.from) > contactPeriod && b.rejections(now) > maxRejections {
			b.end()
		}
		return
	}
	defer b.leave()
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	if pause(r.Context(), limitedWork) {
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte(plainBody(b.id)))
	}
}

// enter takes a place, or rejects the request.
func (b *rejectingEndpoint) enter(room int, w http.ResponseWriter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(b.running, limitedSlots), max(b.running-limitedSlots, 0), limitedSlots))
	if b.running < room {
		b.running++
		return true
	}
	b.rejected = append(b.rejected, time.Now())
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

func (b *rejectingEndpoint) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// rejections returns the number of requests rejected in the last second.
func (b *rejectingEndpoint) rejections(now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.rejected {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return n
}

// end ends the endpoint, which starts again some seconds later.
func (b *rejectingEndpoint) end() {
	if b.play.crashAndRestart(b.emulatedEndpoint) {
		b.play.note("%s ends", b.id)
		b.play.endedMu.Lock()
		b.play.ended++
		b.play.endedMu.Unlock()
	}
}

func playRejectionLimit(seed uint64, instances, endpoints int, load float64) *rejectionPlay {
	p := &rejectionPlay{contentPlay: newContentPlay(contentScenario{}, instances, seed)}
	p.from, p.until = p.start.Add(rejectionLimitFrom), p.start.Add(rejectionLimitUntil)
	p.wrapEndpoint = func(e *emulatedEndpoint) http.Handler {
		e.slots = limitedSlots
		return &rejectingEndpoint{emulatedEndpoint: e, play: p, slots: make(chan struct{}, limitedSlots)}
	}
	for i := range endpoints {
		p.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), "v1")
	}
	time.Sleep(time.Second)
	capacity := float64(endpoints*limitedSlots) / limitedWork.Seconds()
	p.sendPaths(load*capacity, 1, p.start.Add(time.Second), p.until, p.soundPath)
	p.stop()
	return p
}

// Endpoints that end if they have to reject too many requests must not get so many.
func TestEndpointsWithRejectionLimitDoNotEnd(t *testing.T) {
	for _, size := range []struct{ instances, endpoints int }{{8, 3}, {8, 9}, {90, 12}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances_%d_endpoints/seed_%d", size.instances, size.endpoints, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := playRejectionLimit(seed, size.instances, size.endpoints, 1.3)
					served := p.served(p.from.Add(contactPeriod), p.until)
					duration := p.until.Sub(p.from) - contactPeriod
					used := float64(served.began) / (float64(size.endpoints*limitedSlots) * duration.Seconds() / limitedWork.Seconds())
					t.Logf("%d ended, %.3f of %d attempts served, %.3f of the slots used", p.ended, served.share(), served.all, used)
					if allowed := 2 + size.endpoints/10; p.ended > allowed {
						t.Errorf("LIMIT: endpoints ended %d times, at most %d may", p.ended, allowed)
					}
					if used < minSlotsUsed {
						t.Errorf("%.3f of the slots were used, want %.2f", used, minSlotsUsed)
					}
				})
			})
		}
	}
}
