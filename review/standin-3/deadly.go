package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	deadlyPart = "dead0001"
	// contactTime is contact_ms of the deployments.
	contactTime = 3 * time.Second
	// backAfter is how long a crashed server is away: "back after some seconds".
	backAfter = 3 * time.Second
	// crashesToLearn is the number of crashes after which the rule bounds further requests.
	crashesToLearn  = 5
	maxLateRequests = 3
)

// crashes are the crashes of all servers.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add(r *record, s *server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	r.line("server %s crashes, crash %d", s.id, len(c.at))
}

// after returns when the nth crash was, if there was one.
func (c *crashes) after(n int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < n {
		return time.Time{}, false
	}
	return c.at[n-1], true
}

// playDeadly sends requests with a part that crashes each server which begins to write an answer on it. The server has then written two events of 13;
// with TROUBLE=one it has written one, with TROUBLE=early none.
func playDeadly(r *record, trouble bool) verdict {
	eventsBefore := 2
	switch os.Getenv("TROUBLE") {
	case "early":
		eventsBefore = 0
	case "one":
		eventsBefore = 1
	}
	return playCrashingPart(r, trouble, eventsBefore, time.Second, 1)
}

// playPulses is playDeadly with several such requests at once, every few seconds. The servers crash before their first event. With TROUBLE=spread as
// many requests come one after the other.
func playPulses(r *record, trouble bool) verdict {
	const pause, size = 4 * time.Second, 6
	if os.Getenv("TROUBLE") == "spread" {
		return playCrashingPart(r, trouble, 0, pause/size, 1)
	}
	return playCrashingPart(r, trouble, 0, pause, size)
}

// playCrashingPart sends so many requests with the part at a time, with a pause in between.
func playCrashingPart(r *record, trouble bool, eventsBefore int, pause time.Duration, size int) verdict {
	f, err := newFleet(r, 3, []string{"a", "b", "c"})
	if err != nil {
		r.line("%v", err)
		return couldNot
	}
	defer f.stop()
	var all runs
	var crashed crashes
	for n := range 9 {
		s := &server{
			id: fmt.Sprintf("i-%d", n+1), service: "model", zone: []string{"a", "b", "c"}[n%3], version: "1", slots: 128, events: eventsPerStream, stride: stride,
			eventPause: 20 * time.Millisecond, runs: &all,
		}
		s.answer = func(w http.ResponseWriter, q *http.Request) bool {
			if !trouble || !strings.Contains(q.Header.Get("X-Prefix-Hash"), deadlyPart) {
				return false
			}
			after := 0
			_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &after)
			w.Header().Set("Content-Type", "text/event-stream")
			control := http.NewResponseController(w)
			time.Sleep(s.eventPause)
			for n := after + 1; n <= after+eventsBefore; n++ {
				fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, s.id, n)
				_ = control.Flush()
				time.Sleep(s.eventPause)
			}
			if s.crash(backAfter) {
				crashed.add(r, s)
			}
			panic(http.ErrAbortHandler)
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
			"name": "chat", "host": "chat.example", "path_prefix": "/chat/", "mode": "streaming", "timeout_ms": 5000, "slo_ms": 500, "gap_aim_ms": 250,
			"priority": 0, "service": "model", "max_attempts": 2, "sticky": true, "resumable": true, "public": false,
		}},
		"services": []any{map[string]any{
			"name": "model", "max_conns": 610, "health_path": "/healthz", "engine": map[string]any{"slots": 128, "kv_capacity": 500000, "stride": stride},
		}},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": []string{"key-of-the-shop"}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := f.start(); err != nil {
		r.line("%v", err)
		return couldNot
	}
	r.line("%d instances are ready", len(f.instances))
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	var calls sync.WaitGroup
	var mu sync.Mutex
	deadly := make(map[string]bool)
	var sound, soundWhole int
	send := func(to *instance, part string, isDeadly bool) {
		path := "/chat/" + newID()
		if isDeadly {
			mu.Lock()
			deadly[path] = true
			mu.Unlock()
		}
		a := request{
			to: to.caller, method: http.MethodPost, host: "chat.example", path: path, key: "key-of-the-shop", body: []byte(path),
			tokens: fmt.Sprintf("%d,%d", promptTokens, outputTokens), prefix: fmt.Sprintf("%s:1000,bbbb%04d:1000,%s:890", part, rand.IntN(40), newID()[:8]),
			deadline: 5 * time.Second,
		}.send()
		mu.Lock()
		defer mu.Unlock()
		if !isDeadly {
			if sound++; a.status == http.StatusOK && a.err == nil && a.events == eventsPerStream {
				soundWhole++
				return
			}
		}
		r.line("request %s (deadly part: %t) at %s: status %d, %d of %d events, %v", a.id, isDeadly, to.name, a.status, a.events, eventsPerStream, a.err)
	}
	every := func(pause time.Duration, size int, part func() string, isDeadly bool) {
		calls.Go(func() {
			ticker := time.NewTicker(pause)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				for range size {
					calls.Go(func() { send(f.instances[rand.IntN(len(f.instances))], part(), isDeadly) })
				}
			}
		})
	}
	every(100*time.Millisecond, 1, func() string { return fmt.Sprintf("aaaa000%d", rand.IntN(4)) }, false)
	time.Sleep(4 * time.Second)
	r.line("requests with the part %s begin", deadlyPart)
	every(pause, size, func() string { return deadlyPart }, true)
	time.Sleep(24 * time.Second)
	close(stop)
	calls.Wait()
	fifth, ok := crashed.after(crashesToLearn)
	late := 0
	for _, x := range all.all() {
		mu.Lock()
		isLate := deadly[x.path] && ok && x.at.Sub(fifth) > contactTime
		mu.Unlock()
		if isLate {
			late++
			r.line("server %s gets a request with the part %v after the fifth crash, at %s", x.server, x.at.Sub(fifth).Round(time.Millisecond), x.path)
		}
	}
	crashed.mu.Lock()
	r.line("crashes of servers: %d; sound requests: %d, of which %d got a whole answer", len(crashed.at), sound, soundWhole)
	crashed.mu.Unlock()
	r.line("requests with the part that reached servers later than %v after the fifth crash: %d; at most %d may", contactTime, late, maxLateRequests)
	if late > maxLateRequests {
		return broken
	}
	return held
}

// crash ends the server as a crash of its process does: its channels are reset, and nothing listens at its address. It starts again under its
// id after a time. It returns false if the server is away already.
func (s *server) crash(away time.Duration) bool {
	s.mu.Lock()
	if s.isAway {
		s.mu.Unlock()
		return false
	}
	s.isAway = true
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(s.conns)
	s.mu.Unlock()
	time.AfterFunc(away, func() {
		select {
		case <-s.stopped:
			return
		default:
		}
		if err := s.listen(s.address); err == nil {
			s.register()
		}
	})
	return true
}
