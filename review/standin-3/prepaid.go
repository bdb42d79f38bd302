package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	stride          = 4
	eventsPerStream = 13
	promptTokens    = 2890
	outputTokens    = eventsPerStream * stride
	prepaidTokens   = 60_000
)

// ledgerKey is the object in which the instances record who may use how many prepaid tokens.
const ledgerKey = "pumiceshelf-prepaid/ledger"

// playPrepaid lets one tenant use up its prepaid tokens at one instance. That instance is killed while the store comes back from a copy that was
// made before. It counts what the tenant gets in all. With TROUBLE=kill or TROUBLE=drill only one of the two happens.
func playPrepaid(r *record, trouble bool) verdict {
	f, all, err := newPrepaidFleet(r, 3, prepaidTokens)
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer f.stop()
	var reads readTimes
	f.store.mu.Lock()
	f.store.calls = reads.record
	f.store.mu.Unlock()
	first, others := f.instances[0], f.instances[1:]
	time.Sleep(6 * time.Second)

	// The copy is made while the other instances have just read the ledger, so that they do not read it again for a while.
	for limit := time.Now().Add(30 * time.Second); !reads.lately(others, 1100*time.Millisecond); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			r.line("the instances do not read the ledger as expected")
			return couldNot
		}
	}
	drillCopy, copiedAt := f.store.copyNow(), time.Now()
	r.line("the store makes its copy, at revision %d", drillCopy.rev)

	var spent total
	send := func(to *instance, n int) {
		var calls sync.WaitGroup
		for range n {
			calls.Go(func() { spent.add(r, to, sendShop(to)) })
		}
		calls.Wait()
	}
	send(first, 24)
	r.line("got %d tokens of %d prepaid; ledger: %s", spent.tokens, prepaidTokens, f.store.text(ledgerKey))
	kill, drill := trouble && os.Getenv("TROUBLE") != "drill", trouble && os.Getenv("TROUBLE") != "kill"
	// The copy is some seconds old when the store comes back.
	time.Sleep(time.Until(copiedAt.Add(1500 * time.Millisecond)))
	if kill {
		first.kill()
		r.line("instance %s is killed", first.name)
	}
	if drill {
		f.store.leave()
		r.line("the store is away")
		time.Sleep(600 * time.Millisecond)
		f.store.comeBack(&drillCopy)
		r.line("the store is back from its copy; ledger: %s", f.store.text(ledgerKey))
	}
	if kill {
		if err := first.start(); err != nil {
			r.line("%v", err)
			return couldNot
		}
		if !first.awaitReady(10 * time.Second) {
			r.line("instance %s is not ready", first.name)
			return couldNot
		}
		r.line("instance %s is back", first.name)
	}
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(500 * time.Millisecond) {
		for _, i := range f.instances {
			send(i, 2)
		}
	}
	for _, i := range f.instances {
		i.signal(syscall.SIGTERM)
	}
	r.line("the tenant got %d tokens, %d are prepaid", spent.tokens, prepaidTokens)
	r.line("runs at the servers: %d", len(all.all()))
	if spent.tokens > prepaidTokens {
		return broken
	}
	return held
}

// newPrepaidFleet starts instances before model servers, with one tenant that has so many prepaid tokens.
func newPrepaidFleet(r *record, instances int, prepaid int64) (*fleet, *runs, error) {
	zones := []string{"a", "b", "c"}
	f, err := newFleet(r, instances, zones)
	if err != nil {
		return nil, nil, err
	}
	all := new(runs)
	for n, zone := range zones {
		s := &server{
			id: fmt.Sprintf("i-%d", n+1), service: "model", zone: zone, version: "1", slots: 128, events: eventsPerStream, stride: stride,
			eventPause: 10 * time.Millisecond, runs: all,
		}
		f.servers = append(f.servers, s)
		if err := s.start(f.store); err != nil {
			f.stop()
			return nil, nil, err
		}
	}
	f.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "chat", "host": "chat.example", "path_prefix": "/chat/", "mode": "streaming", "timeout_ms": 6000, "slo_ms": 500, "gap_aim_ms": 250,
			"priority": 0, "service": "model", "max_attempts": 2, "sticky": true, "resumable": true, "public": false,
		}},
		"services": []any{map[string]any{
			"name": "model", "max_conns": 630, "health_path": "/healthz", "engine": map[string]any{"slots": 128, "kv_capacity": 500000, "stride": stride},
		}},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-of-the-shop"}, "prepaid": prepaid}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := f.start(); err != nil {
		f.stop()
		return nil, nil, err
	}
	r.line("%d instances are ready; the tenant has %d prepaid tokens", instances, prepaid)
	return f, all, nil
}

func sendShop(to *instance) reply {
	return request{
		to: to.caller, method: http.MethodPost, host: "chat.example", path: "/chat/" + newID(), key: "key-of-the-shop",
		tokens: fmt.Sprintf("%d,%d", promptTokens, outputTokens), prefix: fmt.Sprintf("5c1e07a2:2000,%s:890", newID()[:8]), deadline: 5 * time.Second,
		body: []byte("prompt"),
	}.send()
}

// total is what a tenant got: input tokens once per request, and the output tokens that were delivered.
type total struct {
	mu     sync.Mutex
	tokens int64
}

func (t *total) add(r *record, to *instance, a reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.status == http.StatusOK {
		t.tokens += promptTokens + int64(a.events*stride)
	}
	r.line("request %s at %s: status %d, %d events, %v, %v; %d tokens in all", a.id, to.name, a.status, a.events, a.err, a.took.Round(time.Millisecond), t.tokens)
}

// readTimes tells when instances last read or wrote the ledger.
type readTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (t *readTimes) record(instance, _, path string) {
	if path != "/objects/"+ledgerKey {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = make(map[string]time.Time)
	}
	t.at[instance] = time.Now()
}

// lately reports whether all instances have read it within a time.
func (t *readTimes) lately(list []*instance, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range list {
		if time.Since(t.at[i.name]) > within {
			return false
		}
	}
	return true
}
