package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["released"] = releasedTokens }

const (
	releasedPrepaid = 36_000_000
	// firstRate is the rate of the tenant's requests while they come at two of nine machines, laterRate that while they come at four others.
	firstRate, laterRate = 80, 400
)

// releasedTokens plays a drill in which the store comes back from a copy. Before, the tenant's clients move from two machines to four others,
// which use up its tokens.
func releasedTokens(w *world) (bool, error) {
	w.store.set("config/main", config(7, releasedPrepaid))
	if err := w.addEngines("agro", 9, func() *engine {
		return &engine{slots: 128, stride: restoreStride, firstEvent: 30 * time.Millisecond, eventPause: 10 * time.Millisecond}
	}); err != nil {
		return false, err
	}
	if err := w.addMachines(9); err != nil {
		return false, err
	}
	if err := w.startAll(9); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	one := func(machines []*machine) func() {
		return func() {
			w.clients.send(machines[rand.N(len(machines))], request{
				method: "POST", path: "/plan/2f", host: host, key: streamKey, tokens: fmt.Sprintf("%d,%d", restorePrompt, restoreOutput),
				prefix: fmt.Sprintf("5c1e07a2:2520,91bd%04x:3780", rand.N(300)), deadline: 5 * time.Second, body: []byte("{}"),
			})
		}
	}
	first, others := w.machines[:2], w.machines[2:6]
	ledger := func() string { return string(w.store.spec("pumiceshelf-prepaid/ledger")) }
	w.note("load on %s and %s", first[0].name, first[1].name)
	w.clients.load(firstRate, 8*time.Second, nil, one(first))
	w.note("the load moves to the other machines, %d tokens of %d are spent, ledger %s", w.spent(), releasedPrepaid, ledger())
	stop := make(chan struct{})
	go w.clients.load(laterRate, 60*time.Second, stop, one(others))
	var copies []storeCopy
	for w.clients.refused() < 20 {
		if time.Since(w.began) > 60*time.Second {
			return false, fmt.Errorf("the tokens aren't used up after a minute")
		}
		copies = append(copies, w.store.copy())
		time.Sleep(100 * time.Millisecond)
	}
	copied := copies[0]
	for _, c := range copies {
		if time.Since(c.at) >= copyAge {
			copied = c
		}
	}
	w.note("%d tokens of %d are spent, ledger %s", w.spent(), releasedPrepaid, ledger())
	if w.trouble {
		w.store.leave()
		w.note("the store is away")
	}
	close(stop)
	stop = make(chan struct{})
	go w.clients.load(laterRate, 60*time.Second, stop, one(w.machines))
	time.Sleep(storeAway)
	if w.trouble {
		w.store.restore(copied)
		w.note("the store is back from a copy that is %.1f s old", time.Since(copied.at).Seconds())
	}
	time.Sleep(8 * time.Second)
	close(stop)
	w.clients.wait.Wait()
	spent := w.spent()
	w.note("ledger %s", ledger())
	w.recordAttempts()
	w.note("in the end %d tokens of %d are spent", spent, releasedPrepaid)
	return spent > releasedPrepaid, nil
}
