package main

import (
	"fmt"
	"time"
)

func init() { cases["restore"] = restoredStore }

const (
	restorePrepaid = 8_000_000
	restorePrompt  = 9190
	restoreOutput  = 52
	restoreStride  = 4
	restoreRate    = 60
	// copyAge is how old the copy is when the store leaves, and storeAway how long it is away.
	copyAge   = 5 * time.Second
	storeAway = 800 * time.Millisecond
)

// restoredStore plays a drill in which the store comes back from a copy, while a machine is added. The tenant's tokens are used up then.
func restoredStore(w *world) (bool, error) {
	w.store.set("config/main", config(7, restorePrepaid))
	if err := w.addEngines("agro", 6, func() *engine {
		return &engine{slots: 128, stride: restoreStride, firstEvent: 30 * time.Millisecond, eventPause: 10 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	if err := w.addMachines(3); err != nil {
		return false, err
	}
	if err := w.startAll(2); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	one := func(m *machine) func() {
		return func() {
			w.clients.send(m, request{
				method: "POST", path: "/plan/2f", host: host, key: streamKey, tokens: fmt.Sprintf("%d,%d", restorePrompt, restoreOutput),
				prefix: "5c1e07a2:2520,91bd3f06:3780", deadline: 5 * time.Second, body: []byte("{}"),
			})
		}
	}
	first, added := w.machines[0], w.machines[2]
	w.note("load on %s", first.name)
	stop := make(chan struct{})
	go w.clients.load(restoreRate, 60*time.Second, stop, one(first))
	// The load ends when the tokens are used up.
	var copies []storeCopy
	for w.clients.refused() < 5 {
		if time.Since(w.began) > 60*time.Second {
			return false, fmt.Errorf("the tokens aren't used up after a minute")
		}
		copies = append(copies, w.store.copy())
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	w.clients.wait.Wait()
	copied := copies[0]
	for _, c := range copies {
		if time.Since(c.at) >= copyAge {
			copied = c
		}
	}
	w.note("load on %s ends, %d tokens of %d are spent, ledger %s", first.name, w.spent(), restorePrepaid, w.store.spec("pumiceshelf-prepaid/ledger"))
	if w.trouble {
		w.store.leave()
		w.note("the store is away")
	}
	time.Sleep(storeAway)
	if w.trouble {
		w.store.restore(copied)
		w.note("the store is back from a copy that is %.1f s old, ledger %s", time.Since(copied.at).Seconds(), w.store.spec("pumiceshelf-prepaid/ledger"))
	}
	w.note("%s is added", added.name)
	if err := added.start(w.program); err != nil {
		return false, err
	}
	if err := added.awaitReady(5 * time.Second); err != nil {
		return false, err
	}
	w.note("%s is ready, load on it", added.name)
	w.clients.load(restoreRate, 8*time.Second, nil, one(added))
	w.clients.wait.Wait()
	spent := w.spent()
	w.note("ledger %s", w.store.spec("pumiceshelf-prepaid/ledger"))
	w.recordAttempts()
	w.note("in the end %d tokens of %d are spent", spent, restorePrepaid)
	return spent > restorePrepaid, nil
}

// spent returns the tokens that the tenant has got: the prompt of each request that ran, once, and the pieces that clients received.
func (w *world) spent() int64 {
	ran, sum := w.ran(), int64(0)
	for _, a := range w.clients.snapshot() {
		if ran[a.id] > 0 {
			sum += restorePrompt
		}
		if a.status == 200 {
			sum += min(int64(a.events)*restoreStride, restoreOutput)
		}
	}
	return sum
}

// recordAttempts writes each attempt with what it got.
func (w *world) recordAttempts() {
	ran := w.ran()
	for _, a := range w.clients.snapshot() {
		w.note("%s sent at %.3f s to %s: status %d, %d events, whole %t, ran %d times, error %v", a.id, a.sent.Sub(w.began).Seconds(), a.machine, a.status, a.events, a.whole, ran[a.id], a.err)
	}
}
