package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["resume"] = resumeAfterOutage }

const (
	outage = 4500 * time.Millisecond
	// contact is the bound contact_ms. Machines are in touch again that long after the store is back.
	contact = 3 * time.Second
)

// stream is a stream as a client sees it, over its two tries.
type stream struct {
	ids      [2]string
	sent     time.Time
	retried  time.Time
	machines [2]string
	status   [2]int
	reason   [2]string
	events   [2]int
	last     int
	whole    bool
}

// resumeAfterOutage crashes two of twelve servers shortly after an outage of the store. Clients take up again the streams that were broken.
func resumeAfterOutage(w *world) (bool, error) {
	w.store.set("config/main", config(7, -1))
	if err := w.addEngines("agro", 12, func() *engine {
		return &engine{slots: 128, stride: 4, firstEvent: 40 * time.Millisecond, eventPause: 200 * time.Millisecond}
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
	var mu sync.Mutex
	var all []*stream
	stop := make(chan struct{})
	go w.clients.load(45, 40*time.Second, stop, func() {
		s := &stream{}
		mu.Lock()
		all = append(all, s)
		mu.Unlock()
		w.playStream(s, &mu)
	})
	w.note("load")
	time.Sleep(4 * time.Second)
	back := time.Now()
	if w.trouble {
		w.store.leave()
		w.note("the store is away")
		time.Sleep(outage)
		w.store.back()
		back = time.Now()
		w.note("the store is back")
	}
	time.Sleep(contact + 200*time.Millisecond)
	for _, i := range []int{0, 4} {
		w.engines[i].crash()
		w.note("server %s crashes", w.engines[i].id)
		w.store.remove("servers/" + w.engines[i].id)
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	w.clients.wait.Wait()
	var taken, went, begun, first int
	for _, s := range all {
		if s.sent.After(back.Add(contact)) {
			first++
			if s.events[0] > 0 {
				begun++
			}
		}
		if !s.retried.IsZero() && s.retried.After(back.Add(contact)) && s.events[0] > 0 {
			taken++
			if s.events[1] > 0 {
				went++
			}
		}
		w.note("%s at %.3f s to %s: status %d, %d events, %s; again %s at %.3f s to %s: status %d, %d events, %s; whole %t", s.ids[0], s.sent.Sub(w.began).Seconds(),
			s.machines[0], s.status[0], s.events[0], s.reason[0], s.ids[1], max(s.retried.Sub(w.began).Seconds(), 0), s.machines[1], s.status[1], s.events[1], s.reason[1], s.whole)
	}
	w.note("in touch: %d of %d new streams began, %d of %d went on that clients took up again", begun, first, went, taken)
	if taken < 12 {
		if !w.trouble {
			return false, nil
		}
		return false, fmt.Errorf("only %d streams were taken up again", taken)
	}
	return float64(went)/float64(taken) < 0.5*float64(begun)/float64(max(first, 1)), nil
}

// playStream sends a stream, and takes it up again once if its channel breaks.
func (w *world) playStream(s *stream, mu *sync.Mutex) {
	deadline := time.Now().Add(5 * time.Second)
	key := fmt.Sprintf("%016x", rand.Uint64())
	at := rand.N(len(w.machines))
	for try := range 2 {
		m := w.machines[(at+try)%len(w.machines)]
		id := newID()
		mu.Lock()
		s.ids[try], s.machines[try] = id, m.name
		if try == 0 {
			s.sent = time.Now()
		} else {
			s.retried = time.Now()
		}
		mu.Unlock()
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+m.front+"/plan/2f", bytes.NewReader([]byte("{}")))
		req.Host = host
		for k, v := range map[string]string{
			"X-Request-Id": id, "X-Model": "m", "X-Token-Counts": "2890,52", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:1500,91bd%04x:490,%s:900", rand.N(300), key),
			"X-Deadline-Ms": fmt.Sprint(time.Until(deadline).Milliseconds()), "Api-Key": streamKey,
		} {
			req.Header.Set(k, v)
		}
		if try > 0 {
			req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
			req.Header.Set("Resumes", s.ids[0])
		}
		resp, err := w.clients.http.Do(req)
		if err != nil {
			mu.Lock()
			s.reason[try] = err.Error()
			mu.Unlock()
			cancel()
			continue
		}
		in := bufio.NewReader(resp.Body)
		var text strings.Builder
		for {
			line, err := in.ReadString('\n')
			text.WriteString(line)
			mu.Lock()
			s.status[try] = resp.StatusCode
			if n, ok := strings.CutPrefix(line, "id: "); ok {
				s.last, _ = strconv.Atoi(strings.TrimSpace(n))
				s.events[try]++
			}
			mu.Unlock()
			if err != nil {
				mu.Lock()
				s.whole = err == io.EOF && resp.StatusCode == 200
				s.reason[try] = err.Error()
				if resp.StatusCode != 200 {
					s.reason[try] = strings.TrimSpace(text.String())
				}
				mu.Unlock()
				break
			}
		}
		resp.Body.Close()
		cancel()
		if s.whole {
			return
		}
	}
}
