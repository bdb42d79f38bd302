package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one request of a client and what came back.
type attempt struct {
	id, machine, key string
	sent, ended      time.Time
	status           int
	stamp            string
	events           int
	whole            bool
	body             string
	err              error
	// post is set if the request is a POST, which on the route for plain requests may run once.
	post bool
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5a00000000+lastID.Add(1)) }

func splitLines(s string) []string { return strings.Split(s, "\n") }

// clients send requests and keep what they got.
type clients struct {
	http *http.Client
	mu   sync.Mutex
	all  []*attempt
	wait sync.WaitGroup
}

func newClients() *clients {
	return &clients{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

type request struct {
	method, path, host, key, tokens, prefix string
	deadline                                time.Duration
	body                                    []byte
	header                                  map[string]string
}

// send sends one request to a machine and reads the whole answer.
func (c *clients) send(m *machine, r request) *attempt {
	a := &attempt{id: newID(), machine: m.name, key: r.key, sent: time.Now(), post: r.method == http.MethodPost}
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.front+r.path, bytes.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = r.host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	req.Header.Set("Api-Key", r.key)
	if r.tokens != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Counts", r.tokens)
		req.Header.Set("X-Prefix-Hash", r.prefix+","+a.id+":10")
	}
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.finish(a, func() { a.err = err })
		return a
	}
	defer resp.Body.Close()
	var out strings.Builder
	in, events := bufio.NewReader(resp.Body), 0
	for {
		line, err := in.ReadString('\n')
		out.WriteString(line)
		if line == "\n" {
			events++
		}
		if err != nil {
			c.finish(a, func() {
				a.status, a.stamp, a.events, a.body = resp.StatusCode, resp.Header.Get("X-Server-Stamp"), events, out.String()
				if a.whole = err == io.EOF; !a.whole {
					a.err = err
				}
			})
			return a
		}
	}
}

func (c *clients) finish(a *attempt, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	a.ended = time.Now()
}

// load sends requests at a rate until stop is closed or the time is over.
func (c *clients) load(perSecond float64, lasts time.Duration, stop <-chan struct{}, one func()) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	end := time.After(lasts)
	for {
		select {
		case <-tick.C:
			c.wait.Add(1)
			go func() {
				defer c.wait.Done()
				one()
			}()
		case <-end:
			return
		case <-stop:
			return
		}
	}
}

// list returns all attempts so far.
func (c *clients) list() []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*attempt(nil), c.all...)
}

// snapshot returns copies of all attempts so far.
func (c *clients) snapshot() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]attempt, 0, len(c.all))
	for _, a := range c.all {
		out = append(out, *a)
	}
	return out
}

// refused returns the number of attempts that were answered 402.
func (c *clients) refused() (n int) {
	for _, a := range c.snapshot() {
		if a.status == http.StatusPaymentRequired {
			n++
		}
	}
	return n
}
