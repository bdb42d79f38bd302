package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	requestsPerSecond = 3
	// parkedPrepaid covers 42 s of the traffic.
	parkedPrepaid = 42 * requestsPerSecond * (promptTokens + outputTokens)
	// recoveryTime is recovery_s of the deployments.
	recoveryTime = 12 * time.Second
)

// playParked kills all instances at once, twice in the middle and once at the end, while the prepaid tokens of a tenant cover all its requests.
func playParked(r *record, trouble bool) verdict {
	f, all, err := newPrepaidFleet(r, 6, parkedPrepaid)
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer f.stop()
	// Traffic starts 10 s after the machines do.
	time.Sleep(8 * time.Second)
	begun := time.Now()
	var mu sync.Mutex
	var before, after, afterServed, beforeServed int
	var backAt time.Time
	var spent total
	var calls sync.WaitGroup
	stop := make(chan struct{})
	calls.Go(func() {
		ticker := time.NewTicker(time.Second / requestsPerSecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			to, sentAt := f.instances[n%len(f.instances)], time.Now()
			calls.Go(func() {
				a := sendShop(to)
				spent.add(r, to, a)
				mu.Lock()
				defer mu.Unlock()
				served := 0
				if a.status == http.StatusOK && a.err == nil && a.events == eventsPerStream {
					served = 1
				}
				switch {
				case backAt.IsZero():
					before, beforeServed = before+1, beforeServed+served
				case sentAt.Sub(backAt) > recoveryTime:
					after, afterServed = after+1, afterServed+served
				}
			})
		}
	})
	killAll := func(final bool) bool {
		r.line("all instances are killed; ledger: %s", f.store.text(ledgerKey))
		var ends sync.WaitGroup
		for _, i := range f.instances {
			ends.Go(i.kill)
		}
		ends.Wait()
		time.Sleep(time.Second)
		for _, i := range f.instances {
			if err := i.start(); err != nil {
				r.line("%v", err)
				return false
			}
		}
		if final {
			mu.Lock()
			backAt = time.Now()
			mu.Unlock()
		}
		r.line("all instances are started again")
		return true
	}
	for n, at := range []time.Duration{6 * time.Second, 13 * time.Second, 20 * time.Second} {
		time.Sleep(time.Until(begun.Add(at)))
		if trouble && !killAll(n == 2) {
			return couldNot
		}
	}
	if !trouble {
		mu.Lock()
		backAt = time.Now()
		mu.Unlock()
	}
	mu.Lock()
	until := backAt.Add(recoveryTime + 5*time.Second)
	mu.Unlock()
	time.Sleep(time.Until(until))
	close(stop)
	calls.Wait()
	r.line("ledger: %s", f.store.text(ledgerKey))
	r.line("the tenant got %d tokens of %d prepaid; runs at the servers: %d", spent.tokens, int64(parkedPrepaid), len(all.all()))
	r.line("before the last kill %d of %d requests were served", beforeServed, before)
	r.line("later than %v after the machines were back %d of %d were served; a quarter is the least", recoveryTime, afterServed, after)
	if 4*beforeServed >= before && 4*afterServed < after {
		return broken
	}
	return held
}
