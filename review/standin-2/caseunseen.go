package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unseen"] = unseen }

const (
	// heartbeat is heartbeat_ms of the site: a server's entry is up to as old, and is removed after three of silence.
	heartbeat = 1200 * time.Millisecond
	// firstFall is how long the server is down the first time, up how long it then serves before it falls again.
	firstFall, up = 1500 * time.Millisecond, 900 * time.Millisecond
	// answersLost is x of answer_lost on the site: the share of the requests that the server runs whose answers are lost.
	answersLost = 0.3
	rounds      = 7
)

// crash ends the server's process.
func (s *server) crash() {
	s.rec.line("%s falls", s.id)
	s.close()
}

// startAgain starts the server under its id and address.
func (s *server) startAgain(version string) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.version, s.born = version, time.Now().UnixMilli()
	s.mu.Unlock()
	s.http = &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	s.rec.line("%s is back as version %s, born %d", s.id, version, s.born)
	return nil
}

// unseen: a server falls in a quiet time, is back as another version and loses some answers, and falls again before its entry says so.
func unseen(f *fleet, trouble bool) error {
	// One of four engines falls: srv_crash on the site has a share of 0.25.
	f.moreEngines = 1
	if err := f.setUp(-1); err != nil {
		return err
	}
	var engine *server
	for _, s := range f.servers {
		if s.stride > 0 {
			s.firstEvent, s.gap = 40*time.Millisecond, 80*time.Millisecond
			engine = s
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	n, joined, whole := 0, 0, 0
	one := func() {
		defer clients.Done()
		mu.Lock()
		n++
		id := fmt.Sprintf("u%d", n)
		mu.Unlock()
		c := call{
			id: id, method: "POST", host: host, path: "/lohu930/2f", key: keyOne, tokens: "2890,52",
			prefix: fmt.Sprintf("5c1e07a2:1500,91bd%04x:490,%s:900", rand.N(300), id), body: "{}", timeout: 5 * time.Second,
		}
		a := c.send(f.instances[rand.N(len(f.instances))])
		old, other := strings.Count(a.body, "data: v1 "), strings.Count(a.body, "data: v2 ")
		f.rec.line("answer %s: %s; %d events of v1, %d of v2", id, a, old, other)
		mu.Lock()
		defer mu.Unlock()
		if a.complete && a.status == http.StatusOK {
			whole++
		}
		if old > 0 && other > 0 {
			joined++
			f.rec.line("joined: %s has events of two software versions", id)
		}
	}
	load := func(perSecond int, d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
			clients.Add(1)
			go one()
		}
	}
	load(20, 2*time.Second)
	for range rounds {
		clients.Wait()
		f.rec.line("no client sends a request for 6 s")
		time.Sleep(6*time.Second - firstFall)
		listed := time.Now()
		if trouble {
			engine.crash()
		}
		time.Sleep(firstFall)
		if trouble {
			if err := engine.startAgain("v2"); err != nil {
				return err
			}
			engine.setLost(answersLost)
		}
		loaded := make(chan struct{})
		go func() {
			load(90, 2*time.Second)
			close(loaded)
		}()
		time.Sleep(up)
		if trouble {
			engine.crash()
		}
		<-loaded
		time.Sleep(time.Until(listed.Add(3 * heartbeat)))
		if trouble {
			f.store.remove("servers/" + engine.id)
			time.Sleep(200 * time.Millisecond)
			engine.setLost(0)
			if err := engine.startAgain("v1"); err != nil {
				return err
			}
			f.store.set("servers/"+engine.id, engine.entry("ready"))
		}
		load(20, time.Second)
	}
	clients.Wait()
	f.rec.line("%d of %d streams whole, %d joined from two software versions", whole, n, joined)
	if joined > 2 {
		return broken{fmt.Sprintf("ORDER: %d streams hold events from servers of two software versions", joined)}
	}
	return nil
}
