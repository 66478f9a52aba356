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

// DesiredWeights is a version of a model's weights that operators have declared.
type DesiredWeights struct {
	Model   ids.Model
	Version uint64
}

// Weights holds the versions of weights that operators have declared for each model, and when.
// Safe for concurrent use.
type Weights struct {
	// Decode decodes the value of one object.
	Decode func(value []byte) (DesiredWeights, error)
	// Clock narrows the age of the objects of a list. If nil, only the responses of this key
	// space bound it.
	Clock *Clock
	// Pauses detects that this process has not run. If nil, it is taken to run all the time.
	Pauses *clock.Pauses
	// OneReader reports whether one VM reads the store for the others. Nil: each VM reads it for itself.
	OneReader func() bool
	// SettleTime is how long after the return of a store that has lost writes operators may take to
	// write them again.
	SettleTime time.Duration
	// UnknownUse is how long after the start of this VM weights may be used, at most, that are older than a
	// version of which this VM does not know when it was declared. Zero: defaultUnknownUse.
	UnknownUse time.Duration
	Log        *eventlog.Log

	mu        sync.RWMutex
	within    time.Duration // the limit of SetWithin
	models    map[ids.Model][]version
	startedAt time.Time // of this VM
	started   bool      // the first list has been received
	provenAt  time.Time // all versions declared before this time are known
	era       objectapi.Era
	// completeUntil is provenAt at the end of the last era: a version that is written again in the new
	// one was declared after it, or is known.
	completeUntil time.Time
}

var _ Handler = (*Weights)(nil)

// version is one version and when it was declared, as far as this VM knows.
type version struct {
	number uint64
	at     time.Time
	// estimated: the version was declared at this time or, seconds, later. It came with a list or was read late, and no peer
	// has reported its age.
	estimated bool
	knownAt   time.Time // when this VM learned of it: it was declared by then
	// fromPeerAt is when a peer reported it; zero once the store has returned it. A version
	// that only a peer has reported bounds the use of older weights for peerVersionTTL; only
	// the store determines the newest version.
	fromPeerAt time.Time
}

// peerVersionTTL is how long a version from a peer is valid without confirmation by the store: an
// unresponsive watch is detected within 5 s, and a list takes up to 2 s more.
const peerVersionTTL = 10 * time.Second

// valid reports whether a version bounds the use of older ones.
func (v *version) valid(now time.Time) bool {
	return v.fromPeerAt.IsZero() || now.Sub(v.fromPeerAt) < peerVersionTTL
}

const (
	// firstListAge is the assumed age, at this VM's start, of a version that existed then, as a fraction of
	// the limit of SetWithin: it may have been declared just before, or long ago.
	firstListAge = 0.7
	// defaultUnknownUse is the default of Weights.UnknownUse.
	defaultUnknownUse = 3 * time.Second
)

// SetWithin sets how long older weights may still be used after a version was declared. The first call marks
// the start of this VM.
func (w *Weights) SetWithin(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.within = d
	if w.startedAt.IsZero() {
		w.startedAt = clock.Now()
	}
}

// unknownSince returns when a version of unknown age counts as declared. It depends on the start of this VM and
// not on its first list, which may come late. The caller holds the lock.
func (w *Weights) unknownSince() time.Time {
	use := time.Duration(float64(w.within) * (1 - firstListAge))
	return w.startedAt.Add(min(use, cmp.Or(w.UnknownUse, defaultUnknownUse)) - w.within)
}

// Listed implements Handler. A version that is new in a list may have been declared at any time
// since the last answered call was sent.
func (w *Weights) Listed(objects []objectapi.Object, at At, _ bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.provenAt
	if !w.started {
		since = w.unknownSince()
	}
	if era := at.Revision.Era(); era > w.era {
		w.era, w.completeUntil = era, since
	}
	settling := w.started && w.settling(at, at.Sent)
	if settling && w.completeUntil.Before(since) {
		since = w.completeUntil
	}
	w.apply(objects, func(rev objectapi.Revision) time.Time {
		if w.started && !settling {
			return later(since, w.Clock.Before(rev))
		}
		return since
	}, true)
	w.started, w.provenAt = true, at.Sent
}

// Changed implements Handler.
func (w *Weights) Changed(events []objectapi.Object, at At) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	arrived := w.Pauses.ArrivedSince(now)
	for i := range events {
		since, estimated := w.changedSince(events[i].Version, at, arrived, now)
		w.apply(events[i:i+1], func(objectapi.Revision) time.Time { return since }, estimated)
	}
	w.provenAt = at.Sent
}

const (
	// promptProofAge is the age of a proof up to which a change counts as read as soon as it was made.
	promptProofAge = 700 * time.Millisecond
	// maxReportedProofAge is the age of a proof up to which peers are told an age that counts from it.
	maxReportedProofAge = 2 * time.Second
)

// changedSince returns the earliest time at which a change may have been made that this VM reads at now and that arrived at
// arrived, and whether that time is an estimate.
//
// The store sends a change as soon as it is made, but this VM may have read it late, and a peer may have passed it on late. What
// peers read from the store themselves corrects that. Where one VM reads it for the others, nobody would, so the change
// counts from the latest proof that it had not been made.
func (w *Weights) changedSince(rev objectapi.Revision, at At, arrived, now time.Time) (since time.Time, estimated bool) {
	if w.settling(at, arrived) {
		return w.completeUntil, true
	}
	proven := later(w.provenAt, w.Clock.Before(rev))
	prompt := !at.Relayed && (w.OneReader == nil || !w.OneReader() || now.Sub(proven) <= promptProofAge)
	if prompt || proven.IsZero() {
		return later(arrived, proven), arrived.Before(now)
	}
	return proven, now.Sub(proven) > maxReportedProofAge
}

// settling reports whether operators may, at a time, have written versions again that the store had lost.
func (w *Weights) settling(at At, when time.Time) bool {
	return !at.EraSince.IsZero() && when.Before(at.EraSince.Add(w.SettleTime))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Unchanged implements Handler.
func (w *Weights) Unchanged(at At) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.provenAt = at.Sent
}

// apply adds the versions in objects. declaredAt returns the time at which the object of a revision
// was declared, or an estimate of it if estimated is set. The caller holds the lock.
func (w *Weights) apply(objects []objectapi.Object, declaredAt func(objectapi.Revision) time.Time, estimated bool) {
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		n, err := w.Decode(o.Value)
		if err != nil {
			w.Log.State("weights-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
			continue
		}
		at := declaredAt(o.Version)
		if w.add(n.Model, version{number: n.Version, at: at, estimated: estimated}) {
			w.Log.State("weights-named").Str("model", string(n.Model)).Uint64("version", n.Version).
				Int64("age_ms", clock.Since(at).Milliseconds()).Bool("guessed", estimated).Uint64("revision", o.Version.Number()).Uint64("era", uint64(o.Version.Era())).Send()
		}
	}
}

// maxVersions is how many versions of a model are kept.
const maxVersions = 64

// add adds a version and reports whether it is new, or newly confirmed by the store. The caller
// holds the lock.
func (w *Weights) add(m ids.Model, n version) bool {
	if w.models == nil {
		w.models = map[ids.Model][]version{}
	}
	all := w.models[m]
	i, known := slices.BinarySearchFunc(all, n.number, func(e version, v uint64) int { return cmp.Compare(e.number, v) })
	if known {
		confirmed := n.fromPeerAt.IsZero() && !all[i].fromPeerAt.IsZero()
		if confirmed {
			all[i].fromPeerAt = time.Time{}
		}
		return confirmed
	}
	n.knownAt = clock.Now()
	all = slices.Insert(all, i, n)
	all = all[max(0, len(all)-maxVersions):]
	w.models[m] = all
	makeMonotonic(all)
	return true
}

// makeMonotonic lowers declaration times so that no version is later than a newer one.
func makeMonotonic(all []version) {
	for i := len(all) - 2; i >= 0; i-- {
		if all[i].at.After(all[i+1].at) {
			all[i].at = all[i+1].at
		}
	}
}

// FormatVersion returns a version as a decimal number.
func FormatVersion(v uint64) ids.WeightsVersion {
	return ids.WeightsVersion(strconv.FormatUint(v, 10))
}

// Newest returns the newest version of a model that the store has returned, or an empty string if
// there is none.
func (w *Weights) Newest(m ids.Model) ids.WeightsVersion {
	w.mu.RLock()
	defer w.mu.RUnlock()
	last, ok := w.latest(m)
	if !ok {
		return ""
	}
	return FormatVersion(last.number)
}

// latest returns the newest version that the store has returned. The caller holds the lock.
func (w *Weights) latest(m ids.Model) (version, bool) {
	all := w.models[m]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].fromPeerAt.IsZero() {
			return all[i], true
		}
	}
	return version{}, false
}

// Since returns how long ago the version that Newest returns was declared, or zero if there is none.
func (w *Weights) Since(m ids.Model, now time.Time) time.Duration {
	w.mu.RLock()
	defer w.mu.RUnlock()
	last, ok := w.latest(m)
	if !ok {
		return 0
	}
	return now.Sub(last.at)
}

// VersionAge is how long ago a version was declared, as VMs report it to each other.
type VersionAge struct {
	Model   ids.Model
	Version uint64
	Age     time.Duration
}

// Recent returns the versions that the store has returned, whose age is not an estimate and less
// than twice the limit of SetWithin.
func (w *Weights) Recent(now time.Time) []VersionAge {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var out []VersionAge
	for m, all := range w.models {
		for _, n := range all {
			if age := now.Sub(n.at); !n.estimated && n.fromPeerAt.IsZero() && age < 2*w.within {
				out = append(out, VersionAge{Model: m, Version: n.number, Age: age})
			}
		}
	}
	return out
}

// loggedChange is the least change of a version's age that is logged.
const loggedChange = 100 * time.Millisecond

// ApplyPeerAge applies a peer's report on a version. A VM that has just started or had lost the
// store can't know the version's age, and one whose watch is unresponsive does not know the
// version. Of two reports the one with the greater age counts. A report of a smaller age than the time for which this VM has
// known the version is wrong, and one that arrived during a pause of this process tells no more than that the version exists.
func (w *Weights) ApplyPeerAge(a VersionAge, now time.Time) {
	arrived := w.Pauses.ArrivedSince(now)
	paused := arrived.Before(now)
	at := arrived.Add(-a.Age)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.models == nil {
		w.models = map[ids.Model][]version{}
	}
	w.models[a.Model] = slices.DeleteFunc(w.models[a.Model], func(v version) bool { return !v.valid(now) })
	if w.add(a.Model, version{number: a.Version, at: at, estimated: paused, fromPeerAt: now}) {
		w.Log.State("weights-named").Str("model", string(a.Model)).Uint64("version", a.Version).Int64("age_ms", now.Sub(at).Milliseconds()).Str("from", "peer").Bool("guessed", paused).Send()
		return
	}
	if paused {
		return
	}
	all := w.models[a.Model]
	for i := range all {
		v := &all[i]
		if v.number != a.Version || v.knownAt.Before(at) || !v.estimated && !at.Before(v.at) {
			continue
		}
		if v.estimated || v.at.Sub(at) >= loggedChange {
			w.Log.State("weights-dated").Str("model", string(a.Model)).Uint64("version", a.Version).Int64("age_ms", now.Sub(at).Milliseconds()).
				Int64("before_ms", now.Sub(v.at).Milliseconds()).Bool("estimated", v.estimated).Send()
		}
		v.at, v.estimated = at, false
	}
	makeMonotonic(all)
}

// Left reports whether weights of a model are behind a newer version, and how much longer they may
// be used: until the limit of SetWithin after the first newer version was declared. A negative
// duration means that the time is over.
func (w *Weights) Left(m ids.Model, has ids.WeightsVersion, now time.Time) (left time.Duration, behind bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	number, _ := strconv.ParseUint(string(has), 10, 64) // an empty version is parsed as zero: older than all
	for _, n := range w.models[m] {
		if n.number > number && n.valid(now) {
			return w.within - now.Sub(n.at), true
		}
	}
	return 0, false
}

// Wanted returns the newest version of a model that the store has returned, how long ago it was
// declared, and bounds for older versions: how much longer each may be used.
func (w *Weights) Wanted(m ids.Model, now time.Time) (newest ids.WeightsVersion, since time.Duration, bounds []routing.WeightsBound) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	for _, n := range w.models[m] {
		if !n.valid(now) {
			continue
		}
		bound := routing.WeightsBound{OlderThan: n.number, StartWithin: float32((w.within - now.Sub(n.at)).Seconds())}
		if k := len(bounds); k > 0 && bound.StartWithin < 0 {
			bounds[k-1] = bound // makes the previous bound redundant
			continue
		}
		bounds = append(bounds, bound)
	}
	if last, ok := w.latest(m); ok {
		newest, since = FormatVersion(last.number), now.Sub(last.at)
	}
	return newest, since, bounds
}
