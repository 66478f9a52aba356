package follow

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
)

// DesiredWeights is one version of a model's weights as operators name it.
type DesiredWeights struct {
	Model   ids.Model
	Version uint64
}

// Weights keeps which weights operators want of each model, and since when.
type Weights struct {
	Decode func(value []byte) (DesiredWeights, error)
	// Clock tells since when what a list brings can be there. Nil: only this key space
	// itself does.
	Clock *Clock
	Log   *eventlog.Log

	mu      sync.RWMutex
	within  time.Duration
	models  map[ids.Model][]version
	started bool
	proven  time.Time // what had been named by then is known
}

var _ Handler = (*Weights)(nil)

// version is one version and when it was named, as far as this VM knows.
type version struct {
	number  uint64
	at      time.Time
	guessed bool // it came with a list, and nobody has said since when it is there
	// heard is when a peer told of it, if the store has not shown it yet. The word of a
	// peer bounds the use of older weights for rumorFor; only the store says what is wanted.
	heard time.Time
}

// rumorFor is how long the word of a peer counts that the store does not confirm: a watch
// that has gone silent is noticed within 5 s, and a list takes up to 2 s more.
const rumorFor = 10 * time.Second

// counts tells whether a version bounds the use of older ones.
func (v *version) counts(now time.Time) bool { return v.heard.IsZero() || now.Sub(v.heard) < rumorFor }

// firstSightAge is how old a version is taken to be that was there when this VM
// started, as a part of Within: it may have been named just before, or long ago.
const firstSightAge = 0.7

// SetWithin sets how long after a version was named older ones may still be used.
func (w *Weights) SetWithin(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.within = d
}

// Listed implements Handler. What a list brings may have been named at any time since
// this VM last knew everything.
func (w *Weights) Listed(objects []objectapi.Object, at At, _ bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.proven
	if !w.started {
		since = clock.Now().Add(-time.Duration(float64(w.within) * firstSightAge))
	}
	w.take(objects, func(rev objectapi.Revision) time.Time {
		if before := w.Clock.Before(rev); w.started && before.After(since) {
			return before
		}
		return since
	}, true)
	w.started, w.proven = true, at.Sent
}

// Changed implements Handler. A change is told of as it is made.
func (w *Weights) Changed(events []objectapi.Object, at At) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.take(events, func(objectapi.Revision) time.Time { return now }, false)
	w.proven = at.Sent
}

// Unchanged implements Handler.
func (w *Weights) Unchanged(at At) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.proven = at.Sent
}

// take takes in objects. named tells when one was named, or guesses it. The lock is held.
func (w *Weights) take(objects []objectapi.Object, named func(objectapi.Revision) time.Time, guessed bool) {
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		n, err := w.Decode(o.Value)
		if err != nil {
			w.Log.Belief("weights-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
			continue
		}
		at := named(o.Version)
		if w.add(n.Model, version{number: n.Version, at: at, guessed: guessed}) {
			w.Log.Belief("weights-named").Str("model", string(n.Model)).Uint64("version", n.Version).
				Int64("age_ms", clock.Since(at).Milliseconds()).Bool("guessed", guessed).Uint64("revision", uint64(o.Version)).Send()
		}
	}
}

// keepVersions is how many versions of a model are remembered.
const keepVersions = 64

// add takes in a version, and tells whether it is new here. The lock is held.
func (w *Weights) add(m ids.Model, n version) bool {
	if w.models == nil {
		w.models = map[ids.Model][]version{}
	}
	all := w.models[m]
	i, known := slices.BinarySearchFunc(all, n.number, func(e version, v uint64) int { return cmp.Compare(e.number, v) })
	if known {
		shown := n.heard.IsZero() && !all[i].heard.IsZero()
		if shown {
			all[i].heard = time.Time{}
		}
		return shown
	}
	all = slices.Insert(all, i, n)
	all = all[max(0, len(all)-keepVersions):]
	w.models[m] = all
	inOrder(all)
	return true
}

// inOrder sees to it that no version was named after a newer one.
func inOrder(all []version) {
	for i := len(all) - 2; i >= 0; i-- {
		if all[i].at.After(all[i+1].at) {
			all[i].at = all[i+1].at
		}
	}
}

// FormatVersion is the form of a version in the rest of threadwall.
func FormatVersion(v uint64) ids.WeightsVersion {
	return ids.WeightsVersion(strconv.FormatUint(v, 10))
}

// Newest returns the newest version of a model that the store has shown; empty if it has
// shown none.
func (w *Weights) Newest(m ids.Model) ids.WeightsVersion {
	w.mu.RLock()
	defer w.mu.RUnlock()
	last, ok := w.last(m)
	if !ok {
		return ""
	}
	return FormatVersion(last.number)
}

// last returns the newest version that the store has shown. The lock is held.
func (w *Weights) last(m ids.Model) (version, bool) {
	all := w.models[m]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].heard.IsZero() {
			return all[i], true
		}
	}
	return version{}, false
}

// Since returns for how long the newest version of a model has been named.
func (w *Weights) Since(m ids.Model, now time.Time) time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	last, ok := w.last(m)
	if !ok {
		return 0
	}
	return now.Sub(last.at)
}

// VersionAge is how long a version has been named, as one VM tells another.
type VersionAge struct {
	Model   ids.Model
	Version uint64
	Age     time.Duration
}

// Recent returns the versions that were named a short while ago, at most twice Within,
// which the store has shown and whose age is not a guess.
func (w *Weights) Recent(now time.Time) []VersionAge {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []VersionAge
	for m, all := range w.models {
		for _, n := range all {
			if age := now.Sub(n.at); !n.guessed && n.heard.IsZero() && age < 2*w.within {
				out = append(out, VersionAge{Model: m, Version: n.number, Age: age})
			}
		}
	}
	return out
}

// ApplyPeerAge takes in what a peer says of a version: a VM that has just started or was out of
// touch can't know how old it is, and one whose watch of the store has gone silent does
// not know of it. Of two words the one that makes the version older counts.
func (w *Weights) ApplyPeerAge(a VersionAge, now time.Time) {
	at := now.Add(-a.Age)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.models == nil {
		w.models = map[ids.Model][]version{}
	}
	w.models[a.Model] = slices.DeleteFunc(w.models[a.Model], func(v version) bool { return !v.counts(now) })
	if w.add(a.Model, version{number: a.Version, at: at, heard: now}) {
		w.Log.Belief("weights-named").Str("model", string(a.Model)).Uint64("version", a.Version).Int64("age_ms", a.Age.Milliseconds()).Str("from", "peer").Send()
		return
	}
	all := w.models[a.Model]
	for i := range all {
		if all[i].number == a.Version && (all[i].guessed || at.Before(all[i].at)) {
			all[i].at, all[i].guessed = at, false
		}
	}
	inOrder(all)
}

// Left tells whether weights of a model are older than the newest, and how much longer
// they may be used: until Within after the first version that is newer was named.
// Negative: no longer.
func (w *Weights) Left(m ids.Model, has ids.WeightsVersion, now time.Time) (left time.Duration, behind bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	number, _ := strconv.ParseUint(string(has), 10, 64) // none counts as older than all
	for _, n := range w.models[m] {
		if n.number > number && n.counts(now) {
			return w.within - now.Sub(n.at), true
		}
	}
	return 0, false
}

// Wanted returns the newest version of a model, for how long it has been named, and how
// much longer each older one may be used.
func (w *Weights) Wanted(m ids.Model, now time.Time) (newest ids.WeightsVersion, since time.Duration, bounds []routing.WeightsBound) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for _, n := range w.models[m] {
		if !n.counts(now) {
			continue
		}
		bound := routing.WeightsBound{OlderThan: n.number, StartWithin: float32((w.within - now.Sub(n.at)).Seconds())}
		if k := len(bounds); k > 0 && bound.StartWithin < 0 {
			bounds[k-1] = bound // it says as much as the one before
			continue
		}
		bounds = append(bounds, bound)
	}
	if last, ok := w.last(m); ok {
		newest, since = FormatVersion(last.number), now.Sub(last.at)
	}
	return newest, since, bounds
}
