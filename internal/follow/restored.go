package follow

import (
	"strconv"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// When the store comes back from an older copy, in a new era (objectapi.Revision), the first list shows
// entries as they were when the copy was made. They are older than what this VM knows: a replica that
// has left since is listed again, and one that has loaded other weights has its earlier ones. Replicas
// write their entries again within some heartbeats, and the store removes the entries of those that
// don't.

// restoredEntries tells entries of the copy from those that were written in the new era, and remembers
// the replicas that are gone. It holds one element for each replica that has gone within goneTTL.
type restoredEntries struct {
	at       objectapi.Revision // of the latest list
	start    objectapi.Revision // of the first list of the era; zero: this VM knows of no earlier era
	eraSince time.Time          // when the era was first known of, by this VM or the one whose copy it reads
	gone     map[ids.Target]goneReplica
}

// goneReplica is a replica whose entry was removed, or did not come back.
type goneReplica struct {
	incarnation ids.Incarnation
	era         objectapi.Era // in which it went
	at          time.Time
	entry       *objectapi.Object // restored entry that is not used; nil: none
}

const (
	// goneTTL is how long a replica that is gone is remembered: longer than a copy is old, which is
	// some seconds.
	goneTTL = time.Minute
	// silentHeartbeats is the number of heartbeats after which the store has removed a replica's
	// entry: it does so after three without one, and answers with a little delay.
	silentHeartbeats = 4
)

// beginList records the revision of a list, before its entries are applied.
func (e *restoredEntries) beginList(at At, listed bool) {
	for id, g := range e.gone {
		g.entry = nil // unless the list has it
		e.gone[id] = g
	}
	if listed && at.Revision.Era() > e.at.Era() {
		e.start, e.eraSince = at.Revision, at.EraSince
		if e.eraSince.IsZero() {
			e.eraSince = clock.Now()
		}
	}
	e.at = max(e.at, at.Revision)
}

// mayBeFromCopy reports whether an entry may be as old as the copy from which the store came back.
func (e *restoredEntries) mayBeFromCopy(o *objectapi.Object) bool {
	return e.start != 0 && o.Version.Era() == e.start.Era() && o.Version <= e.start
}

// drop records that a replica is gone.
func (e *restoredEntries) drop(id ids.Target, inc ids.Incarnation) {
	if e.gone == nil {
		e.gone = map[ids.Target]goneReplica{}
	}
	e.gone[id] = goneReplica{incarnation: inc, era: e.at.Era(), at: clock.Now()}
}

// refuse reports whether an entry of a replica that is not listed must not be used, since the replica
// was gone before the store came back and has not written the entry since.
func (e *restoredEntries) refuse(id ids.Target, inc ids.Incarnation, o objectapi.Object) bool {
	g, known := e.gone[id]
	if !known {
		return false
	}
	if inc > g.incarnation || o.Version.Era() <= g.era || !e.mayBeFromCopy(&o) {
		delete(e.gone, id)
		return false
	}
	g.entry = &o
	e.gone[id] = g
	return true
}

// removed records that a replica's refused entry is not listed any more.
func (e *restoredEntries) removed(key string) {
	for id, g := range e.gone {
		if g.entry != nil && g.entry.Key == key {
			g.entry = nil
			e.gone[id] = g
		}
	}
}

// sweep forgets replicas that have been gone for goneTTL, and returns the refused entries that are
// still listed after the time in which the store removes those of silent replicas.
func (e *restoredEntries) sweep(heartbeat time.Duration) (alive []objectapi.Object) {
	for id, g := range e.gone {
		switch {
		case g.entry != nil && clock.Since(e.eraSince) >= silentHeartbeats*heartbeat:
			alive = append(alive, *g.entry)
			delete(e.gone, id)
		case g.entry == nil && clock.Since(g.at) >= goneTTL:
			delete(e.gone, id)
		}
	}
	return alive
}

// keepNewerWeights replaces the weights of a restored entry by those that are known of the replica if
// they are newer: versions only increase, and a restart does not change them.
func (r *record) keepNewerWeights(old *record) {
	if versionOf(old.Weights) > versionOf(r.Weights) {
		r.Weights, r.weightsAt = old.Weights, old.weightsAt
	}
}

// versionOf returns the number of a version of weights; zero if it has none.
func versionOf(w ids.WeightsVersion) uint64 {
	n, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0 // an empty version is older than all
	}
	return n
}
