package mirror

import (
	"fmt"
	"maps"
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

// holder keeps what it is told, as a VM's tables do.
type holder struct {
	objects map[string]string
	at      follow.At
}

func (h *holder) Listed(objects []objectapi.Object, at follow.At, _ bool) {
	h.objects = map[string]string{}
	h.Changed(objects, at)
}

func (h *holder) Changed(events []objectapi.Object, at follow.At) {
	for _, o := range events {
		if o.Deleted {
			delete(h.objects, o.Key)
		} else {
			h.objects[o.Key] = string(o.Value)
		}
	}
	h.at = at
}

func (h *holder) Unchanged(at follow.At) { h.at = at }

// history is a store with all its past.
type history struct {
	states []map[string]string // by revision
	events []objectapi.Object  // that led to each revision
}

func (s *history) write(key, value string) {
	next := maps.Clone(s.states[len(s.states)-1])
	o := objectapi.Object{Key: key, Value: []byte(value), Version: objectapi.Revision(len(s.states))}
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
		out = append(out, objectapi.Object{Key: k, Value: []byte(v), Version: s.last(k, objectapi.Revision(rev))})
	}
	return out
}

// pass gives a reader what it lacks, as a question and its answer would; the answer
// comes when the returned function is called.
func pass(from, to *Space, have *position) (deliver func()) {
	n, ok := from.since(*have)
	if !ok {
		return func() {}
	}
	return func() {
		*have = n.to
		switch {
		case n.whole:
			to.Listed(n.objects, n.at, n.regained)
		case len(n.objects) > 0:
			to.Changed(n.objects, n.at)
		default:
			to.Unchanged(n.at)
		}
	}
}

// last returns the revision of the last change of a key up to a revision; zero: none.
func (s *history) last(key string, upTo objectapi.Revision) objectapi.Revision {
	for rev := min(int(upTo), s.newest()); rev > 0; rev-- {
		if s.events[rev].Key == key {
			return objectapi.Revision(rev)
		}
	}
	return 0
}

// check compares a copy with the store's past: of each object it has what a change left
// that is at least as new as the last one up to the revision that the copy claims.
func (s *history) check(rt *rapid.T, vm int, h *holder, claimed objectapi.Revision) {
	for _, key := range []string{"a", "b", "c"} {
		got, ok := h.objects[key]
		found := false
		for rev := s.last(key, claimed); int(rev) <= s.newest() && !found; rev++ {
			want, there := s.states[rev][key]
			found = there == ok && want == got
		}
		if !found {
			rt.Fatalf("VM %d claims revision %d and has %s = %q (%v)", vm, claimed, key, got, ok)
		}
	}
}

// TestCopiesAreTrue draws writes, lists, watches that lag, and answers between VMs in
// any direction that come late or not at all: each copy has, of each object, at least
// what the store held at the revision that it claims, and what it passes on to the VM's
// tables is the same.
func TestCopiesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &history{states: []map[string]string{{}}, events: []objectapi.Object{{}}}
		store.write("a", "1")
		const vms = 3
		holders, spaces, watched := make([]*holder, vms), make([]*Space, vms), make([]int, vms)
		have := make([]position, vms)
		for i := range vms {
			holders[i] = &holder{}
			spaces[i] = &Space{Prefix: "p/", Next: holders[i], Notifier: &Notifier{}}
		}
		late := func() {}
		for step := range rapid.IntRange(1, 80).Draw(rt, "steps") {
			vm := rapid.IntRange(0, vms-1).Draw(rt, "vm")
			now := time.Unix(int64(step), 0)
			switch rapid.IntRange(0, 6).Draw(rt, "step") {
			case 0, 1:
				value := rapid.SampledFrom([]string{"", fmt.Sprint(step)}).Draw(rt, "value")
				store.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"), value)
			case 2:
				watched[vm] = store.newest()
				spaces[vm].Listed(store.list(watched[vm]), follow.At{Revision: objectapi.Revision(watched[vm]), Sent: now}, rapid.Bool().Draw(rt, "regained"))
			case 3:
				if watched[vm] > 0 {
					to := rapid.IntRange(watched[vm], store.newest()).Draw(rt, "watched")
					spaces[vm].Changed(store.events[watched[vm]+1:to+1], follow.At{Revision: objectapi.Revision(to), Sent: now})
					watched[vm] = to
				}
			case 4:
				pass(spaces[(vm+1)%vms], spaces[vm], &have[vm])()
			case 5:
				late = pass(spaces[(vm+1)%vms], spaces[vm], &have[vm])
			case 6:
				late()
				late = func() {}
			}
			for i, s := range spaces {
				if at, ok := s.At(); ok {
					store.check(rt, i, holders[i], at.Revision)
				}
			}
		}
	})
}

// TestRegainedIsSaidForAWhileOnly checks that a reader which comes long after the store's
// return takes what is missing from a list as gone, and one that comes soon does not.
func TestRegainedIsSaidForAWhileOnly(t *testing.T) {
	s := &Space{Prefix: "p/", Next: &holder{}, Notifier: &Notifier{}}
	s.Listed(nil, follow.At{Revision: 1}, true)
	if n, _ := s.since(position{}); !n.whole || !n.regained {
		t.Fatalf("right after the store's return a reader gets %+v", n)
	}
	s.regained = s.regained.Add(-regainedFor)
	if n, _ := s.since(position{}); !n.whole || n.regained {
		t.Fatalf("long after it a reader gets %+v", n)
	}
}

// TestFarBehindGetsAll checks that a reader whose position is no longer covered by the
// kept changes gets everything, and so does one that knows another life of the speaker.
func TestFarBehindGetsAll(t *testing.T) {
	s := &Space{Prefix: "p/", Next: &holder{}, Notifier: &Notifier{}}
	s.Listed(nil, follow.At{Revision: 1}, false)
	for i := range objectapi.Revision(maxBatches + 5) {
		s.Changed([]objectapi.Object{{Key: "a", Version: i + 2}}, follow.At{Revision: i + 2})
	}
	if n, ok := s.since(position{copyID: s.copyID, change: 3}); !ok || !n.whole || len(n.objects) != 1 {
		t.Fatalf("got %+v, %v", n, ok)
	}
	if n, ok := s.since(position{copyID: s.copyID, change: maxBatches}); !ok || n.whole || len(n.objects) != 6 {
		t.Fatalf("got %d changes, whole %v, %v", len(n.objects), n.whole, ok)
	}
	if n, ok := s.since(position{copyID: s.copyID + 1, change: maxBatches}); !ok || !n.whole {
		t.Fatalf("got %+v, %v for a position in another copy", n, ok)
	}
}
