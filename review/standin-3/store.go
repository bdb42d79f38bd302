package main

import (
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

// storedObject is one object of the platform's store.
type storedObject struct {
	Name, Kind  string
	Spec        json.RawMessage
	Rev, Create uint64
}

func (o storedObject) json() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.Name, "rev": o.Rev, "create_revision": o.Create, "finalizers": []string{}, "deleting": false},
		"spec":     o.Spec,
		"status":   nil,
	}
}

// storeEvent is a change of an object.
type storeEvent struct {
	object  storedObject
	deleted bool
	at      time.Time
}

// storeCopy is what the store comes back from in a drill.
type storeCopy struct {
	rev     uint64
	objects map[string]storedObject
}

// store is a stand-in of the platform's metadata store. It follows PROTOCOL.md, "The platform's metadata store", and the passage "The store
// from an older copy" of the news.
type store struct {
	record *record

	mu      sync.Mutex
	rev     uint64
	era     uint64
	objects map[string]storedObject
	events  []storeEvent
	// oldest is the revision from which the history is complete.
	oldest  uint64
	changed chan struct{}
	away    bool
	conns   map[net.Conn]bool
}

func newStore(r *record) *store {
	return &store{record: r, rev: 100, oldest: 100, objects: make(map[string]storedObject), changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
}

// listen serves the store on an address.
func (s *store) listen() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(s.serve),
		ConnState: func(c net.Conn, state http.ConnState) {
			s.mu.Lock()
			defer s.mu.Unlock()
			switch state {
			case http.StateNew:
				s.conns[c] = true
			case http.StateClosed:
				delete(s.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, text)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) uint64 {
	key := kind + "/" + name
	o, ok := s.objects[key]
	if ok && string(o.Spec) == string(spec) {
		return o.Rev
	}
	s.rev++
	if !ok {
		o = storedObject{Kind: kind, Name: name, Create: s.rev}
	}
	o.Spec, o.Rev = spec, s.rev
	s.objects[key] = o
	s.recordLocked(storeEvent{object: o})
	return s.rev
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind + "/" + name)
}

func (s *store) removeLocked(key string) {
	o, ok := s.objects[key]
	if !ok {
		return
	}
	s.rev++
	o.Rev = s.rev
	delete(s.objects, key)
	s.recordLocked(storeEvent{object: o, deleted: true})
}

func (s *store) recordLocked(e storeEvent) {
	e.at = time.Now()
	s.events = append(s.events, e)
	for len(s.events) > 0 && time.Since(s.events[0].at) > 20*time.Second {
		s.oldest = s.events[0].object.Rev
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow returns a copy of everything.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rev: s.rev, objects: maps.Clone(s.objects)}
}

// leave makes the store answer nothing, and cuts off the calls in progress.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// comeBack makes the store answer again, from a copy if one is given. What the operator wrote since is written again at once. The servers write
// their entries again with their next heartbeats; those of servers that have ended are removed.
func (s *store) comeBack(from *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from == nil {
		return
	}
	latest := s.objects
	s.rev, s.objects, s.events, s.oldest = from.rev, maps.Clone(from.objects), nil, from.rev
	s.era++
	for key, o := range latest {
		if o.Kind == "config" && string(s.objects[key].Spec) != string(o.Spec) {
			s.putLocked(o.Kind, o.Name, o.Spec)
		}
	}
	for key, o := range s.objects {
		if _, ok := latest[key]; !ok && o.Kind == "servers" {
			s.removeLocked(key)
		}
	}
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	kind, name, one := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	switch {
	case !strings.HasPrefix(r.URL.Path, "/objects/"):
		s.answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet && !one && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !one:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name, body)
	}
}

// answer sends a response. The store must not be locked.
func (s *store) answer(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era, away := s.era, s.away
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, nil)
		return
	}
	s.answer(w, http.StatusOK, o.json())
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	items := []any{}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if o := s.objects[key]; o.Kind == kind && o.Name > after {
			items = append(items, o.json())
		}
	}
	rev := s.rev
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	until := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		gone := since < s.oldest || since > s.rev || s.era != era
		events, rev, changed := []any{}, s.rev, s.changed
		for _, e := range s.events {
			if e.object.Kind == kind && e.object.Rev > since {
				events = append(events, map[string]any{"object": e.object.json(), "deleted": e.deleted})
			}
		}
		s.mu.Unlock()
		if gone {
			s.answer(w, http.StatusGone, nil)
			return
		}
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-until:
			s.answer(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
	}
}

// write executes POST, PUT and DELETE.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var sent struct {
		Metadata struct {
			Name string `json:"name"`
			Rev  uint64 `json:"rev"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &sent); err != nil {
			s.answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	if text := r.URL.Query().Get("rev"); text != "" {
		sent.Metadata.Rev, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	status := http.StatusOK
	switch {
	case name == "":
		status = http.StatusBadRequest
	case r.Method == http.MethodPost && ok, r.Method != http.MethodPost && ok && sent.Metadata.Rev != 0 && sent.Metadata.Rev != o.Rev:
		status = http.StatusConflict
	case r.Method != http.MethodPost && !ok:
		status = http.StatusNotFound
	case r.Method == http.MethodDelete:
		s.removeLocked(kind + "/" + name)
	case r.Method == http.MethodPut, r.Method == http.MethodPost:
		s.putLocked(kind, name, sent.Spec)
		o = s.objects[kind+"/"+name]
	default:
		status = http.StatusMethodNotAllowed
	}
	s.mu.Unlock()
	if status == http.StatusOK || status == http.StatusConflict {
		s.answer(w, status, o.json())
		return
	}
	s.answer(w, status, nil)
}

// text returns an object for the record.
func (s *store) text(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return "none"
	}
	return fmt.Sprintf("rev %d: %s", o.Rev, o.Spec)
}
