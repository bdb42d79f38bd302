package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's object store. Kinds that the operator and the servers write survive a restoration,
// because their writers write them again.
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	era     uint64
	down    bool
	objects map[string]object
	history []change
	changed chan struct{}
	server  *http.Server
}

type metadata struct {
	Name           string   `json:"name"`
	Rev            uint64   `json:"rev"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// storeCopy is a copy of the store at one moment.
type storeCopy struct {
	at      time.Time
	rev     uint64
	objects map[string]object
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rev: 100, objects: make(map[string]object), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

// set writes an object as the operator or a server does.
func (s *store) set(key string, value any) {
	spec, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(key, object{Spec: spec}, false)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[key]; ok {
		s.change(key, o, true)
	}
}

// spec returns the spec of an object, or nil.
func (s *store) spec(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key].Spec
}

func (s *store) change(key string, o object, deleted bool) object {
	s.rev++
	kind, name, _ := strings.Cut(key, "/")
	created := s.rev
	if before, ok := s.objects[key]; ok {
		created = before.Metadata.CreateRevision
	}
	o.Metadata = metadata{Name: name, Rev: s.rev, CreateRevision: created, Finalizers: []string{}}
	if deleted {
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.history = append(s.history, change{kind: kind, rev: s.rev, Object: o, Deleted: deleted})
	s.notify()
	return o
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of all objects.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{at: time.Now(), rev: s.rev, objects: make(map[string]object)}
	for k, o := range s.objects {
		c.objects[k] = o
	}
	return c
}

// leave makes the store close all channels without an answer, until restore.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.notify()
}

// back ends leave without a loss.
func (s *store) back() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	s.notify()
}

// restore brings the store back from a copy. The operator and the servers write again what they had written.
func (s *store) restore(c storeCopy) { s.restoreWithout(c, "none") }

// restoreWithout does the same, but what begins with a prefix isn't written again yet.
func (s *store) restoreWithout(c storeCopy, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.objects
	s.rev, s.objects, s.history = c.rev, make(map[string]object), nil
	for k, o := range c.objects {
		s.objects[k] = o
	}
	for k := range s.objects {
		if _, ok := now[k]; !ok && written(k) && !strings.HasPrefix(k, prefix) {
			s.change(k, s.objects[k], true)
		}
	}
	for k, o := range now {
		if written(k) && !strings.HasPrefix(k, prefix) {
			s.change(k, object{Spec: o.Spec, Status: o.Status}, false)
		}
	}
	s.era++
	s.down = false
	s.notify()
}

// written reports whether an object is written by the operator or a server.
func written(key string) bool {
	return strings.HasPrefix(key, "config/") || strings.HasPrefix(key, "servers/")
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if name == "" {
			name = body.Metadata.Name
		}
	}
	if q := r.URL.Query(); r.Method == http.MethodGet && q.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.call(r, kind, name, body)
	era := s.era
	s.mu.Unlock()
	s.answer(w, era, status, answer)
}

func (s *store) answer(w http.ResponseWriter, era uint64, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func (s *store) call(r *http.Request, kind, name string, body object) (int, any) {
	key := kind + "/" + name
	current, exists := s.objects[key]
	expected := body.Metadata.Rev
	if text := r.URL.Query().Get("rev"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			items := []object{}
			for k, o := range s.objects {
				if strings.HasPrefix(k, kind+"/") {
					items = append(items, o)
				}
			}
			sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
			return http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.rev}
		}
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, current
	case http.MethodPost:
		if exists {
			return http.StatusConflict, current
		}
		return http.StatusOK, s.change(key, object{Spec: body.Spec, Status: body.Status}, false)
	case http.MethodPut:
		switch {
		case !exists:
			return http.StatusNotFound, nil
		case expected != 0 && expected != current.Metadata.Rev:
			return http.StatusConflict, current
		case string(body.Spec) == string(current.Spec):
			return http.StatusOK, current
		}
		return http.StatusOK, s.change(key, object{Spec: body.Spec, Status: current.Status}, false)
	case http.MethodDelete:
		switch {
		case !exists:
			return http.StatusNotFound, nil
		case expected != 0 && expected != current.Metadata.Rev:
			return http.StatusConflict, current
		}
		return http.StatusOK, s.change(key, current, true)
	}
	return http.StatusMethodNotAllowed, nil
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer limit.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for timedOut := false; ; {
		s.mu.Lock()
		if s.down || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.rev {
			s.mu.Unlock()
			s.answer(w, era, http.StatusGone, nil)
			return
		}
		events := []change{}
		for _, c := range s.history {
			if c.rev > after && c.kind == kind {
				events = append(events, c)
			}
		}
		asOf, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			s.answer(w, era, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}
