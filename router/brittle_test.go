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
	// brittleSlots is the number of requests that a brittle endpoint runs at once, brittleQueue how many more may wait until it
	// has said for contactPeriod that it is brittle, and reducedQueue how many may afterwards.
	brittleSlots, brittleQueue, reducedQueue = 6, 4, 1
	// brittleRejections is the number of requests that it can turn away in a second without falling over.
	brittleRejections = 5
	brittleWork       = 200 * time.Millisecond
	// minSlotsUsed is the share of the slots that must be used meanwhile.
	minSlotsUsed = 0.5
	// brittleFrom and brittleUntil bound the time in which endpoints say that they are brittle.
	brittleFrom, brittleUntil = 3 * time.Second, 14 * time.Second
)

// brittleEndpoint serves requests in brittleSlots, and falls over if it has to turn too many away.
type brittleEndpoint struct {
	*emulatedEndpoint
	play *brittlePlay
	mu   sync.Mutex
	// running is the number of requests that run or wait, slots holds a value for each that runs.
	running  int
	slots    chan struct{}
	rejected []time.Time
}

// brittlePlay is an emulation of a service whose endpoints are brittle for a while, under more load than they bear.
type brittlePlay struct {
	*contentPlay
	from, until time.Time
	fallsMu     sync.Mutex
	falls       int
}

func (b *brittleEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	brittle := now.After(b.play.from) && now.Before(b.play.until)
	room := brittleSlots + brittleQueue
	if brittle && now.Sub(b.play.from) > contactPeriod {
		room = brittleSlots + reducedQueue
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if brittle {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleRejections))
	}
	if !b.enter(room, w) {
		if brittle && now.Sub(b.play.from) > contactPeriod && b.rejections(now) > brittleRejections {
			b.fall()
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
	if pause(r.Context(), brittleWork) {
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write([]byte(plainBody(b.id)))
	}
}

// enter takes a place, or turns the request away.
func (b *brittleEndpoint) enter(room int, w http.ResponseWriter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(b.running, brittleSlots), max(b.running-brittleSlots, 0), brittleSlots))
	if b.running < room {
		b.running++
		return true
	}
	b.rejected = append(b.rejected, time.Now())
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

func (b *brittleEndpoint) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// rejections returns the number of requests turned away in the last second.
func (b *brittleEndpoint) rejections(now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.rejected {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return n
}

// fall ends the endpoint, which starts again some seconds later.
func (b *brittleEndpoint) fall() {
	if b.play.crashAndRestart(b.emulatedEndpoint) {
		b.play.note("%s falls over", b.id)
		b.play.fallsMu.Lock()
		b.play.falls++
		b.play.fallsMu.Unlock()
	}
}

func playBrittle(seed uint64, instances, endpoints int, load float64) *brittlePlay {
	p := &brittlePlay{contentPlay: newContentPlay(contentScenario{}, instances, seed)}
	p.from, p.until = p.start.Add(brittleFrom), p.start.Add(brittleUntil)
	p.wrapEndpoint = func(e *emulatedEndpoint) http.Handler {
		e.slots = brittleSlots
		return &brittleEndpoint{emulatedEndpoint: e, play: p, slots: make(chan struct{}, brittleSlots)}
	}
	for i := range endpoints {
		p.addEndpoint(fmt.Sprintf("i-%03d", i), fmt.Sprintf("10.1.0.%d:80", i+1), "v1")
	}
	time.Sleep(time.Second)
	capacity := float64(endpoints*brittleSlots) / brittleWork.Seconds()
	p.sendPaths(load*capacity, 1, p.start.Add(time.Second), p.until, p.soundPath)
	p.stop()
	return p
}

// Endpoints that fall over if they have to turn too many requests away must not get so many.
func TestBrittleEndpointsDoNotFallOver(t *testing.T) {
	for _, size := range []struct{ instances, endpoints int }{{8, 3}, {8, 9}, {90, 12}} {
		for seed := range emulatorSeeds(size.instances) {
			t.Run(fmt.Sprintf("%d_instances_%d_endpoints/seed_%d", size.instances, size.endpoints, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					p := playBrittle(seed, size.instances, size.endpoints, 1.3)
					served := p.served(p.from.Add(contactPeriod), p.until)
					duration := p.until.Sub(p.from) - contactPeriod
					used := float64(served.began) / (float64(size.endpoints*brittleSlots) * duration.Seconds() / brittleWork.Seconds())
					t.Logf("%d falls, %.3f of %d attempts served, %.3f of the slots used", p.falls, served.share(), served.all, used)
					if allowed := 2 + size.endpoints/10; p.falls > allowed {
						t.Errorf("LIMIT: brittle endpoints fell over %d times, at most %d may", p.falls, allowed)
					}
					if used < minSlotsUsed {
						t.Errorf("%.3f of the slots were used, want %.2f", used, minSlotsUsed)
					}
				})
			})
		}
	}
}
