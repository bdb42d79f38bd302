package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

func init() { cases["entries"] = restoredEntries }

const (
	// updateAge is how long before the drill the servers were updated, entriesCopyAge how old the copy is when the store leaves.
	updateAge      = 7 * time.Second
	entriesCopyAge = 8 * time.Second
	// fallAfter is how long after the return of the store one server crashes.
	fallAfter = 700 * time.Millisecond
)

// restoredEntries updates three of six servers in place, and plays a drill in which the store comes back from a copy that is older than the
// update. Each server writes its entry again with its next liveness report. One of the servers that were not updated crashes meanwhile.
func restoredEntries(w *world) (bool, error) {
	w.store.set("config/main", config(7, -1))
	if err := w.addEngines("agro", 6, func() *engine {
		return &engine{slots: 128, stride: 4, firstEvent: 40 * time.Millisecond, eventPause: 80 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	if err := w.addMachines(3); err != nil {
		return false, err
	}
	if err := w.startAll(3); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	w.note("load")
	stop := make(chan struct{})
	go w.clients.load(90, 60*time.Second, stop, func() {
		w.clients.send(w.machines[rand.N(len(w.machines))], request{
			method: "POST", path: "/plan/2f", host: host, key: streamKey, tokens: "2890,52",
			prefix: fmt.Sprintf("5c1e07a2:1500,91bd%04x:490", rand.N(300)), deadline: 5 * time.Second, body: []byte("{}"),
		})
	})
	time.Sleep(3 * time.Second)
	copied := w.store.copy()
	w.note("the copy of the store is made")
	time.Sleep(entriesCopyAge - updateAge)
	for _, e := range w.engines[3:] {
		// The entry leaves the store first, and a server that takes no more requests ends.
		w.store.remove("servers/" + e.id)
	}
	time.Sleep(2 * time.Second)
	for _, e := range w.engines[3:] {
		e.crash()
		if err := e.startAgain("v2"); err != nil {
			return false, err
		}
		w.store.set("servers/"+e.id, e.entry())
		w.note("server %s was updated in place to %s", e.id, e.version)
	}
	time.Sleep(time.Until(copied.at.Add(entriesCopyAge)))
	if w.trouble {
		w.store.leave()
		w.note("the store is away")
	}
	time.Sleep(storeAway)
	if w.trouble {
		w.store.restoreWithout(copied, "servers/")
		w.note("the store is back from a copy that is %.1f s old", time.Since(copied.at).Seconds())
	}
	back := time.Now()
	falls := w.engines[0]
	for i, e := range w.engines {
		if e == falls {
			continue
		}
		// Their liveness reports are spread over heartbeat.
		time.AfterFunc(heartbeat*time.Duration(i+1)/time.Duration(len(w.engines)), func() {
			w.store.set("servers/"+e.id, e.entry())
			w.note("server %s writes its entry: %s", e.id, e.version)
		})
	}
	time.Sleep(time.Until(back.Add(fallAfter)))
	falls.crash()
	w.note("server %s crashes", falls.id)
	time.Sleep(2 * time.Second)
	close(stop)
	w.clients.wait.Wait()
	joined := 0
	for _, a := range w.clients.snapshot() {
		old, newer := strings.Count(a.body, " by v1"), strings.Count(a.body, " by v2")
		if old > 0 && newer > 0 {
			joined++
			w.note("%s, sent %.3f s after the return: %d pieces of v1 and %d of v2 in one answer, status %d, whole %t", a.id, a.sent.Sub(back).Seconds(), old, newer, a.status, a.whole)
		}
	}
	w.recordAttempts()
	w.note("%d streams hold events from servers of two software versions", joined)
	return joined > 2, nil
}
