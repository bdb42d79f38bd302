package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

func init() { cases["hangup"] = hangupWhileDraining }

// hangupWhileDraining stops a machine by SIGTERM, and sends it SIGHUP while it still serves what it has taken.
func hangupWhileDraining(w *world) (bool, error) {
	w.store.set("config/main", config(7, -1))
	if err := w.addEngines("agro", 12, func() *engine {
		return &engine{slots: 128, stride: 4, firstEvent: 40 * time.Millisecond, eventPause: 30 * time.Millisecond}
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
	m := w.machines[0]
	stop := make(chan struct{})
	w.note("load on %s", m.name)
	go w.clients.load(10, 20*time.Second, stop, func() {
		w.clients.send(m, request{
			method: "POST", path: "/note/2f", host: host, key: streamKey, tokens: "628,292",
			prefix: fmt.Sprintf("5c1e07a2:119,91bd%04x:79", rand.N(200)), deadline: 15 * time.Second, body: []byte("{}"),
		})
	})
	time.Sleep(4 * time.Second)
	term := time.Now()
	m.signal(syscall.SIGTERM)
	w.note("SIGTERM to %s", m.name)
	time.Sleep(time.Second)
	// Clients get no new channels to the machine after two answers of its readiness other than 200.
	close(stop)
	if w.trouble {
		m.signal(syscall.SIGHUP)
		w.note("SIGHUP to %s", m.name)
	}
	select {
	case <-m.done:
	case <-time.After(8*time.Second - time.Since(term)):
		m.signal(syscall.SIGKILL)
	}
	w.note("%s has ended %.3f s after SIGTERM: %s", m.name, time.Since(term).Seconds(), m.process.ProcessState)
	w.clients.wait.Wait()
	ran, lost := w.ran(), 0
	for _, a := range w.clients.snapshot() {
		// The last sixth of grace_s is not counted.
		if ran[a.id] > 0 && a.status == 200 && !a.whole && a.ended.Before(term.Add(8*time.Second*5/6)) {
			lost++
		}
	}
	w.recordAttempts()
	w.note("%d requests were passed on to a server, and their channels ended without a complete answer", lost)
	return lost > 0, nil
}
