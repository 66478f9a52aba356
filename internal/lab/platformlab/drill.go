package platformlab

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// In a drill the store is unavailable for a moment and comes back from an older copy of itself. What
// was written after the copy is lost, whoever wrote it, and revisions count on from the copy, so they
// are given out again. The store's era then rises by one.

// headerEra is the response header that holds the store's era.
const headerEra = "Store-Era"

// Snapshot is a copy of the store at one moment.
type Snapshot struct {
	rev     uint64
	kinds   map[string]map[string]Object
	history []change
}

// externalWrite is the last write of an operator or a replica to one object.
type externalWrite struct {
	kind, name string
	spec       json.RawMessage // nil: the object was removed
}

// Snapshot copies the store's contents.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := make(map[string]map[string]Object, len(s.kinds))
	for kind, objects := range s.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return Snapshot{rev: s.rev, kinds: kinds, history: slices.Clone(s.history)}
}

// Restore replaces the store's contents by a copy, raises the era and cuts off waiting watches.
func (s *Store) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := make(map[string]map[string]Object, len(c.kinds))
	for kind, objects := range c.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	s.rev, s.kinds, s.history = c.rev, kinds, slices.Clone(c.history)
	s.era++
	close(s.interrupt)
	s.interrupt = make(chan struct{})
}

// Rewrite has operators and replicas write again what they had written last; what is still there
// stays unchanged. What the system itself had written stays lost.
func (s *Store) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.external {
		if w.spec == nil {
			s.remove(w.kind, w.name)
		} else {
			s.put(w.kind, w.name, w.spec)
		}
	}
}

// Drill plays a drill: the store is unavailable in the given way (see StoreFaults.Down) for the time
// away, comes back from the copy, and rewriteAfter later the operators and the replicas have written
// again what was lost. It returns when they have.
func (s *Store) Drill(c Snapshot, down string, away, rewriteAfter time.Duration) {
	s.SetFaults(StoreFaults{Down: down})
	time.Sleep(away)
	s.Restore(c)
	s.SetFaults(StoreFaults{})
	time.Sleep(rewriteAfter)
	s.Rewrite()
}

// rememberExternal records a write of an operator or a replica. The caller holds s.mu.
func (s *Store) rememberExternal(kind, name string, spec json.RawMessage) {
	s.external = slices.DeleteFunc(s.external, func(w externalWrite) bool { return w.kind == kind && w.name == name })
	s.external = append(s.external, externalWrite{kind: kind, name: name, spec: spec})
}

// setEra sets the header of a response that was computed in an era.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(headerEra, strconv.FormatUint(era, 10))
}
