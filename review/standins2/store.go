package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedObject is an object of the store as PROTOCOL.md describes it.
type storedObject struct {
	Metadata struct {
		Name           string   `json:"name"`
		Revision       int64    `json:"revision"`
		CreateRevision int64    `json:"createRevision"`
		Finalizers     []string `json:"finalizers"`
		Deleting       bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// storeEvent is one change of an object.
type storeEvent struct {
	Object    storedObject `json:"object"`
	Tombstone bool         `json:"tombstone"`
	kind      string
	revision  int64
}

// store is a stand-in for the platform's metadata store, without any disruption. It answers
// each call at once and keeps the whole history of a run.
type store struct {
	address string

	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]storedObject
	history []storeEvent
	changed chan struct{}
}

// startStore starts a store on a free port.
func startStore() (*store, error) {
	l, err := listenFree()
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), rev: 100, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// set writes an object whatever its revision. A write that changes nothing has no effect.
func (s *store) set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Revision = s.rev
	s.announce(storeEvent{Object: o, Tombstone: true, kind: kind, revision: s.rev})
}

// write stores an object and returns it. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.rev++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.rev, spec
	if !exists {
		o.Metadata.CreateRevision = s.rev
	}
	s.objects[kind][name] = o
	s.announce(storeEvent{Object: o, kind: kind, revision: s.rev})
	return o
}

// announce adds a change to the history and wakes the watches. The caller holds mu.
func (s *store) announce(e storeEvent) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes a JSON response.
func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("startAfter"))
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.put(w, r.Method, kind, name, body)
	default:
		answer(w, http.StatusMethodNotAllowed, map[string]any{})
	}
}

// list answers with all objects of a kind after a name.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []storedObject{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": rev})
}

// watch answers with the changes of a kind since a revision, as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err1 := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(w, http.StatusOK, map[string]any{"events": events, "currentRev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// put creates or replaces an object under its condition.
func (s *store) put(w http.ResponseWriter, method, kind, name string, body []byte) {
	var o storedObject
	if json.Unmarshal(body, &o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists, method == http.MethodPut && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
	case method == http.MethodPut && !exists:
		answer(w, http.StatusNotFound, map[string]any{})
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

// String describes the store for the record.
func (s *store) String() string { return fmt.Sprintf("store at %s", s.address) }
