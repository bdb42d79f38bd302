package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	noteEvents = 73
	// drainTime is drain_ms of the deployments.
	drainTime = 2 * time.Second
	// serviceAfterReport is how long a leaving server goes on serving: drain_ms "and a little longer (at times many seconds)".
	serviceAfterReport = 5200 * time.Millisecond
)

// playLeaving lets a server leave, and the store come back from a copy that was made shortly before. The server writes its entry again with its
// next heartbeat.
func playLeaving(r *record, trouble bool) verdict {
	f, err := newFleet(r, 3, []string{"a", "b", "c"})
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer f.stop()
	var all runs
	for n, zone := range []string{"a", "b", "c"} {
		s := &server{
			id: fmt.Sprintf("i-%d", n+1), service: "model", zone: zone, version: "1", slots: 128, events: noteEvents, stride: stride,
			eventPause: 20 * time.Millisecond, runs: &all,
		}
		f.servers = append(f.servers, s)
		if err := s.start(f.store); err != nil {
			r.line("%v", err)
			return couldNot
		}
	}
	f.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "note", "host": "note.example", "path_prefix": "/note/", "mode": "streaming", "timeout_ms": 15000, "slo_ms": 800, "gap_aim_ms": 250,
			"priority": 1, "service": "model", "max_attempts": 1, "sticky": true, "resumable": false, "public": false,
		}},
		"services": []any{map[string]any{
			"name": "model", "max_conns": 630, "health_path": "/healthz", "engine": map[string]any{"slots": 128, "kv_capacity": 500000, "stride": stride},
		}},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-of-the-shop"}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := f.start(); err != nil {
		r.line("%v", err)
		return couldNot
	}
	r.line("%d instances are ready", len(f.instances))
	stop := make(chan struct{})
	var calls sync.WaitGroup
	var answers sync.Map
	calls.Go(func() {
		ticker := time.NewTicker(40 * time.Millisecond)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			to := f.instances[n%len(f.instances)]
			calls.Go(func() {
				a := request{
					to: to.caller, method: http.MethodPost, host: "note.example", path: "/note/" + newID(), key: "key-of-the-shop", body: []byte("prompt"),
					tokens: fmt.Sprintf("%d,%d", 826, noteEvents*stride), prefix: fmt.Sprintf("%s:198,%s:628", newID()[:8], newID()[:8]), deadline: 15 * time.Second,
				}.send()
				r.line("request %s at %s: status %d, %d of %d events, leaving %q, %v", a.id, to.name, a.status, a.events, noteEvents, a.header.Get("Server-Leaving"), a.err)
				answers.Store(a.id, a)
			})
		}
	})
	time.Sleep(6 * time.Second)
	leaver := f.servers[0]
	drillCopy, copiedAt := f.store.copyNow(), time.Now()
	r.line("the store makes its copy, at revision %d", drillCopy.rev)
	time.Sleep(500 * time.Millisecond)
	leaver.leaving.Store(true)
	leaver.register()
	acknowledged := time.Now()
	r.line("the store has accepted that server %s is draining", leaver.id)
	time.Sleep(time.Until(copiedAt.Add(3500 * time.Millisecond)))
	if trouble {
		f.store.leave()
		r.line("the store is away")
		time.Sleep(500 * time.Millisecond)
		f.store.comeBack(&drillCopy)
		r.line("the store is back from its copy; entry of the server: %s", f.store.text("servers/"+leaver.id))
	}
	time.Sleep(time.Until(acknowledged.Add(serviceAfterReport)))
	f.store.remove("servers", leaver.id)
	leaver.stop()
	r.line("server %s has ended", leaver.id)
	time.Sleep(time.Second)
	close(stop)
	calls.Wait()
	late, cut := 0, 0
	for _, x := range all.all() {
		after := x.at.Sub(acknowledged)
		if x.server != leaver.id || after <= 0 {
			continue
		}
		v, _ := answers.Load(x.id)
		a, _ := v.(reply)
		r.line("server %s runs request %s %v after the store accepted that it is draining; the client got %d of %d events", x.server, x.id, after.Round(time.Millisecond), a.events, noteEvents)
		if after > drainTime {
			late++
			if a.events < noteEvents {
				cut++
			}
		}
	}
	r.line("runs at the servers: %d; at the leaving server later than %v: %d, of which %d were cut", len(all.all()), drainTime, late, cut)
	if late > 0 {
		return broken
	}
	return held
}
