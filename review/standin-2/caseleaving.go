package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

// workTime is the longest that the plain service works on a request on the site.
const workTime = 110 * time.Millisecond

// lastWords is how long after the first late request the leaving server ends: more than drain_ms after it began to leave.
const lastWords = 60 * time.Millisecond

// leaving: a server leaves while the store is down, and an instance that was partitioned from all servers has passed on its answers.
func leaving(f *fleet, trouble bool) error {
	f.ownPaths = true
	if err := f.setUp(-1); err != nil {
		return err
	}
	a := f.instances[0]
	var gone *server
	for _, s := range f.servers {
		if s.service == "wuno96b" && s.zone == a.zone {
			gone = s
		}
	}
	var mu sync.Mutex
	leaves := false
	passed := time.Time{}
	sentAt := map[string]time.Time{}
	var late []string
	lost := map[string]answer{}
	for _, s := range f.servers {
		if s.service == "wuno96b" {
			s.firstEvent = workTime
		}
		if s != gone {
			continue
		}
		s.hook = func(s *server, w http.ResponseWriter, r *http.Request, body []byte) bool {
			mu.Lock()
			defer mu.Unlock()
			if leaves {
				w.Header().Set("Server-Leaving", "1")
			}
			id := r.Header.Get("X-Request-Id")
			if !passed.IsZero() && sentAt[id].Sub(passed) > 2*time.Second {
				if late = append(late, id); len(late) == 1 {
					time.AfterFunc(lastWords, func() {
						f.rec.line("%s ends", s.id)
						s.close()
					})
				}
				f.rec.line("late: %s reaches %s %d ms after the instance has passed on an answer with Server-Leaving", id, s.id, sentAt[id].Sub(passed).Milliseconds())
			}
			return false
		}
	}
	n := 0
	ask := func(in *instance) answer {
		mu.Lock()
		n++
		id := fmt.Sprintf("q%d", n)
		mu.Unlock()
		c := call{id: id, method: "POST", host: host, path: "/pule252/2f", key: keyOne, body: "claim", timeout: 3 * time.Second}
		mu.Lock()
		sentAt[c.id] = time.Now()
		mu.Unlock()
		f.rec.line("send %s to %s", c.id, in.name)
		got := c.send(in)
		f.rec.line("answer %s: %s by %q, Server-Leaving %q", c.id, got, got.header.Get("X-Server-Stamp"), got.header.Get("Server-Leaving"))
		mu.Lock()
		defer mu.Unlock()
		if got.header.Get("Server-Leaving") != "" && passed.IsZero() {
			passed = time.Now()
		}
		if slices.Contains(late, c.id) && got.status != http.StatusOK {
			lost[c.id] = got
			f.rec.line("lost: %s", c.id)
		}
		return got
	}
	spell := func(d time.Duration) {
		var callers sync.WaitGroup
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			callers.Add(1)
			go func() {
				defer callers.Done()
				ask(a)
			}()
		}
		callers.Wait()
	}
	spell(2 * time.Second)
	if trouble {
		f.rec.line("the store is down, and %s is partitioned from all servers", a.name)
		f.store.setMode(storeAway)
		for _, p := range f.viewOfFirst.paths {
			p.cut()
		}
	}
	mu.Lock()
	leaves = true
	mu.Unlock()
	f.rec.line("%s leaves", gone.id)
	if !trouble {
		f.store.set("servers/"+gone.id, gone.entry("draining"))
		time.AfterFunc(3*time.Second, func() {
			f.rec.line("%s ends", gone.id)
			gone.close()
		})
	}
	spell(2700 * time.Millisecond)
	if trouble {
		f.rec.line("the partition ends")
		for _, p := range f.viewOfFirst.paths {
			if err := p.heal(); err != nil {
				return err
			}
		}
	}
	spell(1000 * time.Millisecond)
	if trouble {
		f.store.remove("servers/" + gone.id)
		f.store.setMode(storeUp)
		f.rec.line("the store is back, %s is not listed", gone.id)
	}
	spell(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(late) > 0 {
		return broken{fmt.Sprintf("DRAIN: %d requests reached the leaving server too late, %d of them are lost: %s", len(late), len(lost), strings.Join(late, " "))}
	}
	return nil
}
