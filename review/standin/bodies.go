package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["bodies"] = largeBodies }

const (
	memoryMB  = 284
	bodyBytes = 3_900_000
	// bodyRate is the rate of all clients together.
	bodyRate = 40
)

// largeBodies kills three of six machines. The clients of these open new channels to the others, and keep them.
func largeBodies(w *world) (bool, error) {
	w.store.set("config/main", config(7, -1))
	if err := w.addEngines("agro", 12, func() *engine {
		return &engine{slots: 128, stride: 4, firstEvent: 700 * time.Millisecond, eventPause: 65 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	if err := w.addMachines(6); err != nil {
		return false, err
	}
	if err := w.startAll(6); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	body := make([]byte, bodyBytes)
	var up atomic.Pointer[[]*machine]
	up.Store(&w.machines)
	stop := make(chan struct{})
	go w.clients.load(bodyRate, 60*time.Second, stop, func() {
		machines := *up.Load()
		w.clients.send(machines[rand.N(len(machines))], request{
			method: "POST", path: "/note/2f", host: host, key: streamKey, tokens: "628,292",
			prefix: fmt.Sprintf("5c1e07a2:119,91bd%04x:79", rand.N(200)), deadline: 15 * time.Second, body: body,
		})
	})
	w.note("load on all machines")
	over := make(map[*machine]time.Time)
	most := make(map[*machine]int)
	watch := func(lasts time.Duration) {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, m := range w.machines {
				if m.exited() {
					continue
				}
				rss := m.rssMB()
				most[m] = max(most[m], rss)
				if rss > memoryMB && over[m].IsZero() {
					over[m] = time.Now()
					w.note("%s uses %d MB of %d, the platform kills it", m.name, rss, memoryMB)
					m.signal(syscall.SIGKILL)
				}
			}
		}
	}
	watch(9 * time.Second)
	if w.trouble {
		for _, m := range w.machines[:3] {
			if !m.exited() {
				m.signal(syscall.SIGKILL)
				w.note("%s is killed", m.name)
			}
		}
		left := w.machines[3:]
		up.Store(&left)
		watch(2 * time.Second)
		for _, m := range w.machines[:3] {
			if err := m.start(w.program); err != nil {
				return false, err
			}
			w.note("%s is started again", m.name)
		}
	}
	watch(8 * time.Second)
	close(stop)
	w.clients.wait.Wait()
	ran, lost, cut := w.ran(), 0, 0
	for _, a := range w.clients.snapshot() {
		for m, at := range over {
			if a.machine != m.name || ran[a.id] == 0 || a.sent.After(at) || a.whole || a.ended.Before(at.Add(-time.Second)) {
				continue
			}
			if a.status == 0 {
				lost++
			} else {
				cut++
			}
		}
	}
	for _, m := range w.machines {
		w.note("%s used %d MB at most", m.name, most[m])
	}
	w.recordAttempts()
	w.note("at machines over their memory: %d requests were passed on and their channels closed without an answer, %d in the middle of it", lost, cut)
	return lost > 3, nil
}
