// Package platformlab simulates the platform on which threadwall's users run it: the
// metadata store, replicas of engines and plain services, and the requests of callers. It
// implements the platform's published protocol on loopback and lets tests inject the
// platform's faults.
package platformlab

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// Metadata holds an object's name and the revisions of its creation and last change.
type Metadata struct {
	Name      string `json:"name"`
	Rev       uint64 `json:"rev"`
	CreateRev uint64 `json:"createRev"`
}

// change is an entry of the store's history.
type change struct {
	kind    string
	object  Object
	removed bool
}

// StoreFaults are the faults injected into the store. The zero value is a healthy store.
type StoreFaults struct {
	// Down is the kind of outage: "busy" responds 503, "reset" closes connections,
	// "silent" never responds; empty: none.
	Down string
	// Delay is added to each response.
	Delay time.Duration
	// LostResponses is the fraction of successful writes whose response is lost.
	LostResponses float64
}

// Store is the simulated metadata store. Safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	rev       uint64
	era       uint64 // rises by one with each Restore
	kinds     map[string]map[string]Object
	external  []externalWrite // last write to each object by operators and replicas
	history   []change
	oldest    uint64 // lowest revision in the history; watches from before it get 410
	faults    StoreFaults
	changed   chan struct{}  // closed and replaced at each change
	interrupt chan struct{}  // closed and replaced to end waiting watches
	calls     map[string]int // by method and kind, such as "GET config"

	server *httptest.Server
}

// NewStore starts a store on loopback.
func NewStore() *Store {
	s := &Store{kinds: map[string]map[string]Object{}, changed: make(chan struct{}), interrupt: make(chan struct{}), calls: map[string]int{}}
	s.server = httptest.NewServer(s)
	return s
}

// URL returns the store's base URL.
func (s *Store) URL() string { return s.server.URL }

// Close stops the store and closes its connections.
func (s *Store) Close() {
	s.SetFaults(StoreFaults{Down: "busy"})
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the injected faults and closes the connections of waiting watches.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.interrupt)
	s.interrupt = make(chan struct{})
}

// Compact drops the history and closes the connections of waiting watches.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.rev+1
	close(s.interrupt)
	s.interrupt = make(chan struct{})
}

// Calls returns the number of calls of a method and kind, such as "GET config".
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Put writes an object regardless of its revision and returns the new revision. If spec is
// unchanged, so is the revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // all types passed by this module can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.put(kind, name, data)
	s.rememberExternal(kind, name, data)
	return o.Metadata.Rev
}

// Remove deletes an object, if there is one.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
	s.rememberExternal(kind, name, nil)
}

// remove deletes an object, if there is one. The caller holds s.mu.
func (s *Store) remove(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.recordChange(change{kind: kind, object: o, removed: true})
}

// put writes an object regardless of its revision. The caller holds s.mu.
func (s *Store) put(kind, name string, spec json.RawMessage) Object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	o, known := s.kinds[kind][name]
	if known && slices.Equal(o.Spec, spec) {
		return o // an unchanged spec causes no event
	}
	s.rev++
	if !known {
		o.Metadata = Metadata{Name: name, CreateRev: s.rev}
	}
	o.Metadata.Rev, o.Spec = s.rev, spec
	s.kinds[kind][name] = o
	s.recordChange(change{kind: kind, object: o})
	return o
}

// putStatus replaces the status of an existing object. The caller holds s.mu.
func (s *Store) putStatus(kind, name string, status json.RawMessage) Object {
	o := s.kinds[kind][name]
	if slices.Equal(o.Status, status) {
		return o
	}
	s.rev++
	o.Metadata.Rev, o.Status = s.rev, status
	s.kinds[kind][name] = o
	s.recordChange(change{kind: kind, object: o})
	return o
}

// Get returns an object and whether it exists.
func (s *Store) Get(kind, name string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// recordChange appends to the history and wakes waiting watches. The caller holds s.mu.
func (s *Store) recordChange(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

const prefixObjects = "/threadwall/objects/"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefixObjects), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	s.mu.Lock()
	faults, interrupt := s.faults, s.interrupt
	s.calls[r.Method+" "+kind]++
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	switch faults.Down {
	case "busy":
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		select {
		case <-r.Context().Done():
		case <-interrupt: // the context of a request whose body is unread does not end when the caller disconnects
		}
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.delete(w, kind, name)
	default:
		s.write(w, r, kind, name, isStatus, faults.LostResponses)
	}
}

func (s *Store) delete(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	s.remove(kind, name)
	era := s.era
	s.mu.Unlock()
	setEra(w, era)
}

// replyInEra sends a response of the store that was computed in an era.
func replyInEra(w http.ResponseWriter, era uint64, status int, body any) {
	setEra(w, era)
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the only error is a disconnected caller
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	era := s.era
	s.mu.Unlock()
	if !ok {
		setEra(w, era)
		http.NotFound(w, nil)
		return
	}
	replyInEra(w, era, http.StatusOK, o)
}

// pageSize is the maximum number of objects in a page of a list; small, so that tests
// cover lists of several pages.
const pageSize = 5

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	truncated := len(names) > pageSize
	items := []Object{}
	for _, name := range names[:min(len(names), pageSize)] {
		items = append(items, s.kinds[kind][name])
	}
	rev, era := s.rev, s.era
	s.mu.Unlock()
	replyInEra(w, era, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "storeRevision": rev})
}

// event is one change in the response to a watch.
type event struct {
	Object  Object `json:"object"`
	Removed bool   `json:"removed"`
}

// watch responds with the changes of a kind after a revision. If there are none, it waits for one,
// for at most waitMs.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, gone, rev := s.since(kind, after)
		changed, interrupt, era := s.changed, s.interrupt, s.era
		s.mu.Unlock()
		if gone {
			setEra(w, era)
			http.Error(w, "watch revision is older than the history", http.StatusGone)
			return
		}
		if len(events) > 0 {
			replyInEra(w, era, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-interrupt:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-end:
			replyInEra(w, era, http.StatusOK, map[string]any{"events": []event{}, "storeRevision": rev})
			return
		}
	}
}

// since returns the changes of a kind after a revision, and the store's current revision. gone
// reports that the history does not cover the changes, or that the store does not have the revision:
// a Restore may have lost it. The caller holds s.mu.
func (s *Store) since(kind string, after uint64) (events []event, gone bool, rev uint64) {
	if after+1 < s.oldest || after > s.rev {
		return nil, true, s.rev
	}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Rev > after {
			events = append(events, event{Object: c.object, Removed: c.removed})
		}
	}
	return events, false, s.rev
}

// write creates or updates an object, or its status. It responds 409 if a created object exists
// or an updated one has another revision than the caller names; revision 0 matches any.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, isStatus bool, lostResponses float64) {
	var in Object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	old, known := s.kinds[kind][name]
	var o Object
	status := http.StatusOK
	switch {
	case create && known, !create && in.Metadata.Rev != 0 && in.Metadata.Rev != old.Metadata.Rev:
		o, status = old, http.StatusConflict
	case !create && !known:
		status = http.StatusNotFound
	case isStatus:
		o = s.putStatus(kind, name, in.Status)
	default:
		o = s.put(kind, name, in.Spec)
	}
	era := s.era
	s.mu.Unlock()
	if status == http.StatusOK && rand.Float64() < lostResponses {
		panic(http.ErrAbortHandler) // the write took effect, but its response is lost
	}
	replyInEra(w, era, status, o)
}
