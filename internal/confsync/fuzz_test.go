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

// node is one VM's store with the content that it adopted last.
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

// harness is a set of nodes and the object API's history, content by revision, which serves
// as the oracle.
type harness struct {
	store   *objectapi.Memory
	history []map[string]string
	nodes   []*node
}

func (h *harness) write(rt *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
	old, err := h.store.Get(rt.Context(), key)
	value := []byte(fmt.Sprint(len(h.history)))
	switch {
	case err != nil:
		_, _ = h.store.Create(rt.Context(), key, value)
	case rapid.Bool().Draw(rt, "delete"):
		_ = h.store.Delete(rt.Context(), key, old.Version)
	default:
		_, _ = h.store.Update(rt.Context(), key, value, old.Version)
	}
	objects, _, _ := h.store.List(rt.Context(), "")
	now := map[string]string{}
	for _, o := range objects {
		now[o.Key] = string(o.Value)
	}
	h.history = append(h.history, now)
}

// step performs one random step: a write; a list or watch by a node; the offer of a node's full
// snapshot or delta, or of an earlier snapshot, to another node; or a restart of a node.
func (h *harness) step(rt *rapid.T, earlier *[]Snapshot) {
	i := rapid.IntRange(0, len(h.nodes)-1).Draw(rt, "node")
	n := h.nodes[i]
	from := h.nodes[rapid.IntRange(0, len(h.nodes)-1).Draw(rt, "from")]
	switch rapid.IntRange(0, 6).Draw(rt, "step") {
	case 0, 1:
		h.write(rt)
	case 2:
		objects, rev, _ := h.store.List(rt.Context(), "")
		n.s.Offer(Snapshot{Revision: rev, Objects: objects})
	case 3:
		base := n.s.Revision()
		if base == 0 || int(base) == len(h.history) {
			return
		}
		events, rev, _ := h.store.Watch(rt.Context(), "", base)
		n.s.Offer(n.s.Delta(base, events, rev))
	case 4:
		s := from.s.Since(rapid.SampledFrom([]objectapi.Revision{0, n.s.Revision(), from.s.Revision() / 2}).Draw(rt, "since"))
		*earlier = append(*earlier, s)
		n.s.Offer(s)
	case 5:
		if len(*earlier) > 0 {
			n.s.Offer((*earlier)[rapid.IntRange(0, len(*earlier)-1).Draw(rt, "late")])
		}
	default:
		h.restart(rt, i, from)
	}
}

// restart drops a node's copy. The node receives the revision of every other node.
func (h *harness) restart(rt *rapid.T, i int, from *node) {
	n := newNode()
	h.nodes[i] = n
	for _, p := range h.nodes {
		n.s.RaiseFloor(p.s.Revision())
	}
	if from != n {
		n.s.Offer(from.s.Since(0))
	}
	if n.s.ReachedFloor() && n.s.Revision() < h.highest() {
		rt.Fatalf("a restarted node serves revision %d, others %d", n.s.Revision(), h.highest())
	}
}

func (h *harness) highest() objectapi.Revision {
	var top objectapi.Revision
	for _, n := range h.nodes {
		top = max(top, n.s.Revision())
	}
	return top
}

// TestAdoption checks that a node's copy always equals the object API's content at the
// node's revision, and that the revision never decreases.
func TestAdoption(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &harness{store: objectapi.NewMemory(), nodes: []*node{newNode(), newNode(), newNode()}}
		var earlier []Snapshot
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			before := make([]objectapi.Revision, len(h.nodes))
			stores := make([]*Store, len(h.nodes))
			for i, n := range h.nodes {
				before[i], stores[i] = n.s.Revision(), n.s
			}
			h.step(rt, &earlier)
			for i, n := range h.nodes {
				h.check(rt, n, before[i], stores[i] == n.s)
			}
		}
	})
}

func (h *harness) check(rt *rapid.T, n *node, before objectapi.Revision, sameStore bool) {
	rev := n.s.Revision()
	if sameStore && rev < before {
		rt.Fatalf("revision decreased from %d to %d", before, rev)
	}
	if rev == 0 {
		return
	}
	if rev != n.adopted {
		rt.Fatalf("store is at revision %d, adopted %d", rev, n.adopted)
	}
	if want := h.history[rev-1]; !maps.Equal(n.content, want) {
		rt.Fatalf("at revision %d content is %v, want %v", rev, n.content, want)
	}
}
