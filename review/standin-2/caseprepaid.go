package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["prepaid-copy"] = prepaidCopy }

// spending counts the tokens that a tenant got.
type spending struct {
	mu     sync.Mutex
	tokens int64
	served int
}

// generate sends a request of the tenant and counts what it got.
func (f *fleet) generate(in *instance, s *spending, id string, prompt, output int) answer {
	c := call{
		id: id, method: "POST", host: host, path: "/lohu930/2f", key: keyOne, tokens: fmt.Sprintf("%d,%d", prompt, output),
		prefix: fmt.Sprintf("5c1e07a2:%d,%s:100", prompt-100, id), body: "prompt " + id, timeout: 6 * time.Second,
	}
	f.rec.line("send %s to %s: %d tokens in, %d out", id, in.name, prompt, output)
	a := c.send(in)
	got := int64(0)
	if a.status == 200 && a.complete {
		got = int64(prompt + output)
		s.mu.Lock()
		s.tokens += got
		s.served++
		s.mu.Unlock()
	}
	f.rec.line("answer %s: %s; the tenant got %d tokens", id, a, got)
	return a
}

// prepaidCopy: an instance is stopped as planned, and the store comes back from a copy meanwhile.
func prepaidCopy(f *fleet, trouble bool) error {
	const prepaid = 200_000
	if err := f.setUp(prepaid); err != nil {
		return err
	}
	var s spending
	a := f.instances[0]
	// A few requests at each instance: all have leases.
	for i, in := range f.instances {
		f.generate(in, &s, fmt.Sprintf("warm%d", i), 1000, 40)
	}
	time.Sleep(4 * time.Second)
	copied := f.store.copy()
	f.rec.line("the store's copy is made: ledger %s", f.store.get("pumiceshelf-prepaid/ledger"))
	// Planned work, with the disruption and without it. The instance still takes requests for 2.5 s.
	a.signal(syscall.SIGTERM)
	var wait sync.WaitGroup
	for i := range 3 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			// The largest prompts on the site have 39,600 tokens.
			f.generate(a, &s, fmt.Sprintf("burst%d", i), 39_000, 40)
		}()
	}
	wait.Wait()
	f.rec.line("after the burst: %d tokens, ledger %s", s.tokens, f.store.get("pumiceshelf-prepaid/ledger"))
	if trouble {
		f.store.setMode(storeAway)
		f.rec.line("the store is away")
	}
	<-a.done
	if trouble {
		time.Sleep(500 * time.Millisecond)
		f.store.restore(copied)
		f.store.set("config/main", configuration(7, prepaid))
		f.beat()
		f.store.setMode(storeUp)
		f.rec.line("the store is back from the copy")
	}
	if err := f.start(a); err != nil {
		return err
	}
	if err := a.awaitReady(10 * time.Second); err != nil {
		return err
	}
	// Beyond the time in which a machine is in touch again.
	time.Sleep(7 * time.Second)
	refused := 0
	for i := 0; i < 60 && refused < 9; i++ {
		got := f.generate(f.instances[i%3], &s, fmt.Sprintf("later%d", i), 4000, 40)
		if got.status != 200 {
			refused++
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.rec.line("the tenant got %d tokens of %d prepaid", s.tokens, prepaid)
	f.rec.line("ledger %s", f.store.get("pumiceshelf-prepaid/ledger"))
	if s.tokens > prepaid {
		return broken{fmt.Sprintf("BUDGET: the tenant got %d tokens, %d more than its prepaid %d", s.tokens, s.tokens-prepaid, prepaid)}
	}
	return nil
}
