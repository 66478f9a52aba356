package confsync

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// node is one VM's store; the oracle is the history of the object API itself.
type node struct {
	s       *Store
	adopted objectapi.Revision
	content map[string]string
}

func newNode() *node {
	n := &node{}
	n.s = New(func(rev objectapi.Revision, objects []objectapi.Object) {
		n.adopted = rev
		n.content = map[string]string{}
		for _, o := range objects {
			n.content[o.Key] = string(o.Value)
		}
	})
	return n
}

// world is the object API's history: content by revision.
type world struct {
	store   *objectapi.Memory
	history []map[string]string
	nodes   []*node
}

func (w *world) write(rt *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
	old, err := w.store.Get(rt.Context(), key)
	value := []byte(fmt.Sprint(len(w.history)))
	switch {
	case err != nil:
		_, _ = w.store.Create(rt.Context(), key, value)
	case rapid.Bool().Draw(rt, "delete"):
		_ = w.store.Delete(rt.Context(), key, old.Version)
	default:
		_, _ = w.store.Update(rt.Context(), key, value, old.Version)
	}
	objects, _, _ := w.store.List(rt.Context(), "")
	now := map[string]string{}
	for _, o := range objects {
		now[o.Key] = string(o.Value)
	}
	w.history = append(w.history, now)
}

// step is one of: a change; a node lists or watches; a node is offered another's
// whole copy, a delta, or a copy kept from long ago; a node restarts.
func (w *world) step(rt *rapid.T, kept *[]Snapshot) {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "node")
	n := w.nodes[i]
	from := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "from")]
	switch rapid.IntRange(0, 6).Draw(rt, "step") {
	case 0, 1:
		w.write(rt)
	case 2:
		objects, rev, _ := w.store.List(rt.Context(), "")
		n.s.Offer(Snapshot{Revision: rev, Objects: objects})
	case 3:
		base := n.s.Revision()
		if base == 0 || int(base) == len(w.history) {
			return
		}
		events, rev, _ := w.store.Watch(rt.Context(), "", base)
		n.s.Offer(n.s.Delta(base, events, rev))
	case 4:
		s := from.s.Since(rapid.SampledFrom([]objectapi.Revision{0, n.s.Revision(), from.s.Revision() / 2}).Draw(rt, "since"))
		*kept = append(*kept, s)
		n.s.Offer(s)
	case 5:
		if len(*kept) > 0 {
			n.s.Offer((*kept)[rapid.IntRange(0, len(*kept)-1).Draw(rt, "late")])
		}
	default:
		w.restart(rt, i, from)
	}
}

// restart loses a node's copy; it hears of every revision that others serve.
func (w *world) restart(rt *rapid.T, i int, from *node) {
	n := newNode()
	w.nodes[i] = n
	for _, p := range w.nodes {
		n.s.RaiseFloor(p.s.Revision())
	}
	if from != n {
		n.s.Offer(from.s.Since(0))
	}
	if n.s.ReachedFloor() && n.s.Revision() < w.highest() {
		rt.Fatalf("a restarted node serves revision %d, others %d", n.s.Revision(), w.highest())
	}
}

func (w *world) highest() objectapi.Revision {
	var h objectapi.Revision
	for _, n := range w.nodes {
		h = max(h, n.s.Revision())
	}
	return h
}

// TestAdoption checks that a node's copy is always exactly the object API's
// content at the revision it names, and that the revision never falls.
func TestAdoption(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{store: objectapi.NewMemory(), nodes: []*node{newNode(), newNode(), newNode()}}
		var kept []Snapshot
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			before := make([]objectapi.Revision, len(w.nodes))
			lives := make([]*Store, len(w.nodes))
			for i, n := range w.nodes {
				before[i], lives[i] = n.s.Revision(), n.s
			}
			w.step(rt, &kept)
			for i, n := range w.nodes {
				w.check(rt, n, before[i], lives[i] == n.s)
			}
		}
	})
}

func (w *world) check(rt *rapid.T, n *node, before objectapi.Revision, sameLife bool) {
	rev := n.s.Revision()
	if sameLife && rev < before {
		rt.Fatalf("revision fell from %d to %d", before, rev)
	}
	if rev == 0 {
		return
	}
	if rev != n.adopted {
		rt.Fatalf("revision %d, adopted %d", rev, n.adopted)
	}
	if want := w.history[rev-1]; !maps.Equal(n.content, want) {
		rt.Fatalf("at revision %d content is %v, want %v", rev, n.content, want)
	}
}
