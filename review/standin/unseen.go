package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

func init() { cases["unseen"] = unseenRestart }

const (
	// heartbeat is heartbeat_ms: a server writes its entry about that often, and the entry is removed after three of silence.
	heartbeat = 1200 * time.Millisecond
	// quiet is how long no client sends a request.
	quiet = 6 * time.Second
	// firstFall is how long the server is down the first time, up how long it then serves before it falls again.
	firstFall = 1500 * time.Millisecond
	up        = 900 * time.Millisecond
)

// unseenRestart lets one of six servers go down and up by turns. It first falls while no client sends a request, and comes back as a newer
// version.
func unseenRestart(w *world) (bool, error) {
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
	one := func() {
		w.clients.send(w.machines[rand.N(len(w.machines))], request{
			method: "POST", path: "/plan/2f", host: host, key: streamKey, tokens: "2890,52",
			prefix: fmt.Sprintf("5c1e07a2:1500,91bd%04x:490", rand.N(300)), deadline: 5 * time.Second, body: []byte("{}"),
		})
	}
	time.Sleep(8 * time.Second)
	w.note("load")
	w.clients.load(20, 4*time.Second, nil, one)
	w.clients.wait.Wait()
	w.note("no client sends a request for %s", quiet)
	time.Sleep(quiet - firstFall)
	server := w.engines[0]
	last := time.Now()
	if w.trouble {
		server.crash()
		w.note("server %s falls", server.id)
	}
	time.Sleep(firstFall)
	if w.trouble {
		if err := server.startAgain("v2"); err != nil {
			return false, err
		}
		w.note("server %s is back as %s, and will write its entry in %s", server.id, server.version, heartbeat)
	}
	w.note("load")
	stop := make(chan struct{})
	go w.clients.load(90, 20*time.Second, stop, one)
	time.Sleep(up)
	if w.trouble {
		server.crash()
		w.note("server %s falls again", server.id)
	}
	time.Sleep(time.Until(last.Add(3 * heartbeat)))
	if w.trouble {
		w.store.remove("servers/" + server.id)
		w.note("the entry of server %s is removed", server.id)
	}
	time.Sleep(time.Second)
	close(stop)
	w.clients.wait.Wait()
	joined := 0
	for _, a := range w.clients.snapshot() {
		old, newer := strings.Count(a.body, " by v1"), strings.Count(a.body, " by v2")
		if old > 0 && newer > 0 {
			joined++
			w.note("%s: %d pieces of v2 and %d of v1 in one answer, status %d, whole %t", a.id, newer, old, a.status, a.whole)
		}
	}
	w.recordAttempts()
	w.note("%d streams hold events from servers of two software versions", joined)
	return joined > 2, nil
}
