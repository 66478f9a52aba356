package mirror

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

// recorder applies lists and changes as a VM's tables do.
type recorder struct {
	objects  map[string]string
	at       follow.At
	regained bool // of the last list
}

func (h *recorder) Listed(objects []objectapi.Object, at follow.At, regained bool) {
	h.objects, h.regained = map[string]string{}, regained
	h.Changed(objects, at)
}

func (h *recorder) Changed(events []objectapi.Object, at follow.At) {
	for _, o := range events {
		if o.Deleted {
			delete(h.objects, o.Key)
		} else {
			h.objects[o.Key] = string(o.Value)
		}
	}
	h.at = at
}

func (h *recorder) Unchanged(at follow.At) { h.at = at }

// history is a store that keeps all its past states of one era.
type history struct {
	start  objectapi.Revision  // of the era
	states []map[string]string // by the number of the revision
	events []objectapi.Object  // the change that led to each revision
}

// drill returns the store's next era: it comes back from a copy that was made at a number.
func (s *history) drill(number int) *history {
	next := &history{start: objectapi.StartOf(s.start.Era() + 1), states: slices.Clone(s.states[:number+1])}
	for n, o := range s.events[:number+1] {
		o.Version = next.start + objectapi.Revision(n)
		next.events = append(next.events, o)
	}
	return next
}

func (s *history) write(key, value string) {
	next := maps.Clone(s.states[len(s.states)-1])
	o := objectapi.Object{Key: key, Value: []byte(value), Version: s.start + objectapi.Revision(len(s.states))}
	if value == "" {
		o.Deleted = true
		delete(next, key)
	} else {
		next[key] = value
	}
	s.states, s.events = append(s.states, next), append(s.events, o)
}

func (s *history) newest() int { return len(s.states) - 1 }

func (s *history) list(rev int) []objectapi.Object {
	var out []objectapi.Object
	for k, v := range s.states[rev] {
		out = append(out, objectapi.Object{Key: k, Value: []byte(v), Version: s.start + objectapi.Revision(s.last(k, rev))})
	}
	return out
}

// transfer reads once from one space to another; the response arrives when deliver is called.
func transfer(from, to *Space, have *position) (deliver func()) {
	u, ok := from.since(*have)
	if !ok {
		return func() {}
	}
	return func() {
		*have = u.to
		switch {
		case u.full:
			to.Listed(u.objects, u.at, u.regained)
		case len(u.objects) > 0:
			to.Changed(u.objects, u.at)
		default:
			to.Unchanged(u.at)
		}
	}
}

// last returns the number of the last change of a key up to upTo; zero: none.
func (s *history) last(key string, upTo int) int {
	for rev := min(upTo, s.newest()); rev > 0; rev-- {
		if s.events[rev].Key == key {
			return rev
		}
	}
	return 0
}

// check compares a copy with the store's history: the state of each object must be that after
// some change at least as new as the last one up to the claimed revision.
func (s *history) check(rt *rapid.T, vm int, h *recorder, claimed objectapi.Revision) {
	for _, key := range []string{"a", "b", "c"} {
		got, ok := h.objects[key]
		found := false
		for rev := s.last(key, int(claimed.Number())); rev <= s.newest() && !found; rev++ {
			want, exists := s.states[rev][key]
			found = exists == ok && want == got
		}
		if !found {
			rt.Fatalf("VM %d claims revision %v and has %s = %q (%v)", vm, claimed, key, got, ok)
		}
	}
}

// TestCopiesMatchStore performs random writes, lists, lagging watches, and reads between VMs in any
// direction whose responses are late or lost. Each copy must hold each object in a state at least
// as new as the one in the store at the copy's revision. So must the VM's tables, which the copy
// updates.
func TestCopiesMatchStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { drawCopies(rt, false) })
}

// TestCopiesMatchStoreAfterDrills is TestCopiesMatchStore with a store that comes back from older
// copies. Watches and reads of an era may be answered after it has ended, and no copy goes back to an
// earlier era.
func TestCopiesMatchStoreAfterDrills(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { drawCopies(rt, true) })
}

func drawCopies(rt *rapid.T, drills bool) {
	store := &history{states: []map[string]string{{}}, events: []objectapi.Object{{}}}
	store.write("a", "1")
	eras := []*history{store}
	const vms = 3
	recorders, spaces, watched := make([]*recorder, vms), make([]*Space, vms), make([]int, vms)
	watchedStore := make([]*history, vms) // the era in which a VM watches
	have := make([]position, vms)
	for i := range vms {
		recorders[i] = &recorder{}
		spaces[i] = &Space{Prefix: "p/", Next: recorders[i], Notifier: &Notifier{}}
	}
	late := func() {}
	lastStep := 6
	if drills {
		lastStep = 7
	}
	highest := make([]objectapi.Revision, vms)
	for step := range rapid.IntRange(1, 80).Draw(rt, "steps") {
		vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
		now := time.Unix(int64(step), 0)
		switch rapid.IntRange(0, lastStep).Draw(rt, "step") {
		case 0, 1:
			value := rapid.SampledFrom([]string{"", fmt.Sprint(step)}).Draw(rt, "value")
			store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"), value)
		case 2:
			watched[vm], watchedStore[vm] = store.newest(), store
			spaces[vm].Listed(store.list(watched[vm]), follow.At{Revision: store.start + objectapi.Revision(watched[vm]), Sent: now}, rapid.Bool().Draw(rt, "regained"))
		case 3:
			if s := watchedStore[vm]; s != nil {
				to := rapid.IntRange(watched[vm], s.newest()).Draw(rt, "watched")
				spaces[vm].Changed(s.events[watched[vm]+1:to+1], follow.At{Revision: s.start + objectapi.Revision(to), Sent: now})
				watched[vm] = to
			}
		case 4:
			transfer(spaces[(vm+1)%vms], spaces[vm], &have[vm])()
		case 5:
			late = transfer(spaces[(vm+1)%vms], spaces[vm], &have[vm])
		case 6:
			late()
			late = func() {}
		case 7:
			store = store.drill(rapid.IntRange(0, store.newest()).Draw(rt, "copy"))
			eras = append(eras, store)
		}
		for i, s := range spaces {
			if at, ok := s.At(); ok {
				eras[at.Revision.Era()].check(rt, i, recorders[i], at.Revision)
				if at.Revision < highest[i] {
					rt.Fatalf("VM %d went back from revision %v to %v", i, highest[i], at.Revision)
				}
				highest[i] = at.Revision
			}
		}
	}
}

// TestNewEraIsReturnOfStore checks that the first list of a new era counts as one after an outage,
// since entries may be missing from it, for the VM and for those that read from it, and that all learn
// when the era was first seen.
func TestNewEraIsReturnOfStore(t *testing.T) {
	next, reader := &recorder{}, &recorder{}
	s := &Space{Prefix: "p/", Next: next, Notifier: &Notifier{}}
	other := &Space{Prefix: "p/", Next: reader, Notifier: &Notifier{}}
	s.Listed(nil, follow.At{Revision: 30}, false)
	if next.regained || !next.at.EraSince.IsZero() {
		t.Error("the first list counts as a return of the store")
	}
	s.Listed(nil, follow.At{Revision: objectapi.StartOf(1) + 20}, false)
	transfer(s, other, &position{})()
	if !next.regained || next.at.EraSince.IsZero() {
		t.Error("the first list of a new era does not count as a return of the store")
	}
	if !reader.regained || !reader.at.EraSince.Equal(next.at.EraSince) {
		t.Errorf("a VM that reads from another: regained %v, era since %v; want true, %v", reader.regained, reader.at.EraSince, next.at.EraSince)
	}
}

// TestOtherEraProvesNothing checks that responses of another era than the copy's, which a peer that was
// cut off from the store may still send, neither change the copy nor make it look newer.
func TestOtherEraProvesNothing(t *testing.T) {
	era := objectapi.StartOf(1)
	for name, respond := range map[string]func(s *Space, at follow.At){
		"unchanged": func(s *Space, at follow.At) { s.Unchanged(at) },
		"changed": func(s *Space, at follow.At) {
			s.Changed([]objectapi.Object{{Key: "a", Value: []byte("x"), Version: at.Revision}}, at)
		},
		"a list": func(s *Space, at follow.At) { s.Listed(nil, at, false) },
	} {
		for _, other := range []objectapi.Revision{90, objectapi.StartOf(2) + 5} {
			next := &recorder{}
			s := &Space{Prefix: "p/", Next: next, Notifier: &Notifier{}}
			proven := follow.At{Revision: era + 20, Sent: time.Unix(100, 0)}
			s.Listed([]objectapi.Object{{Key: "a", Value: []byte("1"), Version: era + 3}}, proven, false)
			respond(s, follow.At{Revision: other, Sent: time.Unix(200, 0), Answered: time.Unix(200, 0)})
			if newer := other > era; newer && name == "a list" {
				continue // begins the newer era
			}
			if at, _ := s.At(); at != proven || next.at != proven || next.objects["a"] != "1" {
				t.Errorf("%s of revision %v: the copy is at %v with a = %q, want it as it was", name, other, at.Revision, next.objects["a"])
			}
		}
	}
}

// TestRegainedExpires checks that a full copy sent soon after the store has recovered is marked
// regained, since entries missing from it may return, and that a later one is not.
func TestRegainedExpires(t *testing.T) {
	s := &Space{Prefix: "p/", Next: &recorder{}, Notifier: &Notifier{}}
	s.Listed(nil, follow.At{Revision: 1}, true)
	if u, _ := s.since(position{}); !u.full || !u.regained {
		t.Fatalf("right after the store has recovered: got %+v, want a full copy marked regained", u)
	}
	s.regainedAt = s.regainedAt.Add(-regainedPeriod)
	if u, _ := s.since(position{}); !u.full || u.regained {
		t.Fatalf("long after the store has recovered: got %+v, want a full copy not marked regained", u)
	}
}

// TestStalePositionGetsFullCopy checks that a reader gets a full copy if the kept batches no longer
// cover its position, or if its position is one in another copy (the peer has restarted).
func TestStalePositionGetsFullCopy(t *testing.T) {
	s := &Space{Prefix: "p/", Next: &recorder{}, Notifier: &Notifier{}}
	s.Listed(nil, follow.At{Revision: 1}, false)
	for i := range objectapi.Revision(maxBatches + 5) {
		s.Changed([]objectapi.Object{{Key: "a", Version: i + 2}}, follow.At{Revision: i + 2})
	}
	if n, ok := s.since(position{copyID: s.copyID, change: 3}); !ok || !n.full || len(n.objects) != 1 {
		t.Fatalf("got %+v, %v for a position before the kept batches; want a full copy with one object", n, ok)
	}
	if n, ok := s.since(position{copyID: s.copyID, change: maxBatches}); !ok || n.full || len(n.objects) != 6 {
		t.Fatalf("got %d changes, full copy %v, %v; want 6 changes", len(n.objects), n.full, ok)
	}
	if n, ok := s.since(position{copyID: s.copyID + 1, change: maxBatches}); !ok || !n.full {
		t.Fatalf("got %+v, %v for a position in another copy, want a full copy", n, ok)
	}
}
