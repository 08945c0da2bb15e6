package main

import (
	"encoding/json"
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

// metadata is the part of an object that the store maintains.
type metadata struct {
	Name           string   `json:"name"`
	Revision       int64    `json:"revision"`
	CreateRevision int64    `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one entry of the store's history.
type change struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
	kind      string
}

// state is the content of the store. Objects and history entries are not modified in
// place, so a shallow copy of the containers is a complete copy.
type state struct {
	revision int64
	kinds    map[string]map[string]object
	history  []change
}

func (s *state) clone() state {
	kinds := make(map[string]map[string]object, len(s.kinds))
	for kind, objects := range s.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return state{s.revision, kinds, slices.Clone(s.history)}
}

// store is a stand-in for the platform's metadata store. It keeps the whole history.
// Restore replaces its content by an earlier copy, as in a drill.
type store struct {
	address string
	record  *record

	mu    sync.Mutex
	state state
	era   int
	// generation changes when the store goes away, which ends all waiting watches.
	generation int
	wake       chan struct{}
	server     *http.Server
}

// firstRevision is the revision of the empty store.
const firstRevision = 100

func startStore(r *record) *store {
	s := &store{
		record: r,
		state:  state{revision: firstRevision, kinds: make(map[string]map[string]object)},
		era:    1,
		wake:   make(chan struct{}),
	}
	listener := listenOnFreePort()
	s.address = listener.Addr().String()
	s.listen(listener)
	return s
}

func (s *store) listen(listener net.Listener) {
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
}

// copyState returns a copy of the present content.
func (s *store) copyState() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// goAway closes the store's listener and all its connections.
func (s *store) goAway() {
	s.mu.Lock()
	s.generation++
	s.notify()
	s.mu.Unlock()
	_ = s.server.Close()
}

// comeBack replaces the content by a copy and listens again at the same address.
// rewrite is called as soon as the store listens; it stands for the operator and the
// engines, which write again what was lost.
func (s *store) comeBack(from state, rewrite func()) {
	s.mu.Lock()
	s.state = from.clone()
	s.era++
	s.mu.Unlock()
	listener, err := net.Listen("tcp", s.address)
	must(err)
	s.listen(listener)
	rewrite()
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// notify wakes all watches. The caller holds mu.
func (s *store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// set creates or replaces an object, as the operator and the engines do. It returns the
// revision. A write that changes nothing does not increase the revision.
func (s *store) set(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.state.kinds[kind][name]; ok && string(old.Spec) == string(raw) {
		return old.Metadata.Revision
	}
	return s.write(kind, name, raw).Metadata.Revision
}

// write stores an object under the next revision. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.state.revision++
	if s.state.kinds[kind] == nil {
		s.state.kinds[kind] = make(map[string]object)
	}
	o := s.state.kinds[kind][name]
	if o.Metadata.CreateRevision == 0 {
		o.Metadata = metadata{Name: name, CreateRevision: s.state.revision, Finalizers: []string{}}
		o.Status = json.RawMessage("null")
	}
	o.Metadata.Revision = s.state.revision
	o.Spec = spec
	s.state.kinds[kind][name] = o
	s.state.history = append(s.state.history, change{Object: o, kind: kind})
	s.notify()
	return o
}

// remove deletes an object and returns the revision of the removal.
func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.state.kinds[kind][name]
	if !ok {
		return 0
	}
	delete(s.state.kinds[kind], name)
	s.state.revision++
	o.Metadata.Revision = s.state.revision
	s.state.history = append(s.state.history, change{Object: o, Tombstone: true, kind: kind})
	s.notify()
	return s.state.revision
}

// objectsPath is the path prefix of all objects.
const objectsPath = "/-/objects/"

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	switch {
	case r.Method == http.MethodGet && name != "":
		o, ok := s.state.kinds[kind][name]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("startAfter"))
	default:
		s.put(w, r.Method, kind, name, body)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// pageSize is the number of objects in one page of a list.
const pageSize = 500

// list responds with one page of a kind. The caller holds mu.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	items := []object{}
	more := false
	for _, name := range slices.Sorted(maps.Keys(s.state.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.state.kinds[kind][name])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": s.state.revision})
}

// watch responds with the changes of a kind since a revision, as soon as there is one. A
// watch from a revision that the store does not have gets status 410. The caller holds
// mu, which is released while the watch waits.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err1 := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	generation := s.generation
	s.record.printf("store era %d: watch of %s from %d at revision %d", s.era, kind, since, s.state.revision)
	timeout := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timeout.Stop()
	for over := false; ; {
		if generation != s.generation {
			panic(http.ErrAbortHandler)
		}
		if since > s.state.revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.state.history {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "currentRev": s.state.revision})
			return
		}
		wake := s.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-timeout.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
	}
}

// put creates an object by POST or replaces one by PUT. The caller holds mu.
func (s *store) put(w http.ResponseWriter, method, kind, name string, body []byte) {
	var o object
	if json.Unmarshal(body, &o) != nil || method != http.MethodPost && method != http.MethodPut {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	old, exists := s.state.kinds[kind][name]
	switch {
	case method == http.MethodPost && exists,
		method == http.MethodPut && exists && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		writeJSON(w, http.StatusConflict, old)
	case method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case exists && string(old.Spec) == string(o.Spec):
		writeJSON(w, http.StatusOK, old)
	default:
		written := s.write(kind, name, o.Spec)
		s.record.printf("store era %d: a node wrote %s/%s at revision %d", s.era, kind, name, written.Metadata.Revision)
		writeJSON(w, http.StatusOK, written)
	}
}
