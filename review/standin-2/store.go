package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Rev            uint64   `json:"rev"`
	CreateRevision uint64   `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type change struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// storeMode is how the store treats calls.
type storeMode int

const (
	storeUp storeMode = iota
	// storeAway resets the channel of each call, and does nothing.
	storeAway
)

// store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	address string
	server  *http.Server
	log     *record

	mu      sync.Mutex
	mode    storeMode
	era     uint64
	rev     uint64
	objects map[string]object
	history []change
	// oldest is the revision before the first change in history.
	oldest  uint64
	changed chan struct{}
}

// storeCopy is a copy of the store's content at a time.
type storeCopy struct {
	rev     uint64
	objects map[string]object
}

func newStore(log *record) (*store, error) {
	l, err := net.Listen("tcp4", loopback())
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), log: log, era: 1, rev: 1, oldest: 1, objects: make(map[string]object), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// set writes an object as the operator or a server does.
func (s *store) set(key string, spec any) uint64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changeLocked(key, object{Spec: raw}, false).Metadata.Rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[key]; ok {
		s.changeLocked(key, o, true)
	}
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns a copy of the present content.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rev: s.rev, objects: maps.Clone(s.objects)}
}

// restore replaces the content by a copy, in a new era. Revisions go back, and the history is gone.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev, s.objects, s.history, s.oldest = c.rev, maps.Clone(c.objects), nil, c.rev
}

// get returns the spec of an object, or nil.
func (s *store) get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key].Spec
}

func (s *store) changeLocked(key string, o object, deleted bool) object {
	kind, name, _ := strings.Cut(key, "/")
	s.rev++
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
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	away := s.mode == storeAway
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	var status int
	var reply any
	if r.Method == http.MethodGet && name == "" && q.Has("watch") {
		status, reply = s.watch(r.Context(), kind, q.Get("watch"), q.Get("wait_ms"))
	} else {
		status, reply = s.call(r.Method, kind, name, q.Get("after"), q.Get("rev"), body)
	}
	s.mu.Lock()
	away = s.mode == storeAway
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	text := []byte("null")
	if reply != nil {
		if text, err = json.Marshal(reply); err != nil {
			panic(err)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) call(method, kind, name, after, rev string, body []byte) (int, any) {
	var sent object
	if method == http.MethodPost || method == http.MethodPut {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, nil
		}
		if name == "" {
			name = sent.Metadata.Name
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	current, exists := s.objects[key]
	switch method {
	case http.MethodGet:
		if name == "" {
			return http.StatusOK, s.listLocked(kind, after)
		}
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, current
	case http.MethodPost:
		if exists {
			return http.StatusConflict, current
		}
	case http.MethodPut:
		if !exists {
			return http.StatusNotFound, nil
		}
		if sent.Metadata.Rev != 0 && sent.Metadata.Rev != current.Metadata.Rev {
			return http.StatusConflict, current
		}
		if string(sent.Spec) == string(current.Spec) {
			return http.StatusOK, current
		}
	case http.MethodDelete:
		if !exists {
			return http.StatusNotFound, nil
		}
		if rev != "" && rev != strconv.FormatUint(current.Metadata.Rev, 10) {
			return http.StatusConflict, current
		}
		return http.StatusOK, s.changeLocked(key, current, true)
	default:
		return http.StatusMethodNotAllowed, nil
	}
	return http.StatusOK, s.changeLocked(key, object{Spec: sent.Spec}, false)
}

func (s *store) listLocked(kind, after string) any {
	items := []object{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		k, name, _ := strings.Cut(key, "/")
		if k != kind || name <= after {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		items = append(items, s.objects[key])
	}
	return map[string]any{"items": items, "has_more": more, "as_of": s.rev}
}

func (s *store) watch(ctx context.Context, kind, fromText, waitText string) (int, any) {
	from, err := strconv.ParseUint(fromText, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := strconv.ParseUint(waitText, 10, 32)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	defer timeout.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if from < s.oldest || from > s.rev || s.era != era {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.rev > from {
				events = append(events, c)
			}
		}
		reply, changed, away := map[string]any{"events": events, "as_of": s.rev}, s.changed, s.mode == storeAway
		s.mu.Unlock()
		if len(events) > 0 || away {
			return http.StatusOK, reply
		}
		select {
		case <-changed:
		case <-timeout.C:
			return http.StatusOK, reply
		case <-ctx.Done():
			return http.StatusOK, reply
		}
	}
}

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
