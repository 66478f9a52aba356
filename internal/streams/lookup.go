package streams

import (
	"context"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Result is what Lookup found.
type Result uint8

// The results.
const (
	// NotFound: no VM that answered has a record.
	NotFound Result = iota
	// Found: the stream began at the version.
	Found
	// Conflict: records differ, so that two callers use the same id, or one of them is wrong.
	Conflict
	// NoAnswer: no VM answered.
	NoAnswer
)

// String returns the result's name in logs.
func (r Result) String() string {
	return [...]string{"not found", "found", "conflict", "no answer"}[r]
}

const (
	// maxAsked bounds the VMs that are asked for one record: the holders that any VM may have chosen while it took
	// others for dead.
	maxAsked = 10
	// askAgain is the interval at which VMs are asked again, since messages get lost and records may still be
	// on their way.
	askAgain = 60 * time.Millisecond
	// settleTime is how long a lookup goes on at least before it ends without a record.
	settleTime = 150 * time.Millisecond
	// lookupTimeout bounds a lookup.
	lookupTimeout = 400 * time.Millisecond
)

// lookup is a lookup in progress. Its fields are guarded by Directory.mu.
type lookup struct {
	started  time.Time
	asked    []ids.VM
	missing  map[ids.VM]bool // VMs that have no record
	version  Version
	result   Result
	finished chan struct{} // closed when result is final
}

// Lookup returns at which version a stream began. It asks other VMs if this one has no record, for up to
// lookupTimeout.
func (d *Directory) Lookup(ctx context.Context, k Key) (Version, Result) {
	d.Lookups.Add(1)
	v, result := d.lookup(ctx, k)
	if result != Found {
		d.NotFound.Add(1)
	}
	return v, result
}

func (d *Directory) lookup(ctx context.Context, k Key) (Version, Result) {
	l := d.startLookup(k)
	if l == nil {
		return d.own(k)
	}
	defer d.endLookup(k, l)
	if len(l.asked) == 0 {
		return 0, NotFound // there is no other VM
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for {
		for _, vm := range l.asked {
			d.Send(vm, Message{Asked: []Key{k}})
		}
		select {
		case <-l.finished:
			return l.version, l.result
		case <-ctx.Done():
			return d.unanswered(l)
		case <-again.C:
		}
	}
}

// startLookup registers a lookup. It returns nil if this VM has a record.
func (d *Directory) startLookup(k Key) *lookup {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records[k] != nil {
		return nil
	}
	l := &lookup{started: d.Now(), asked: mayHold(d.Candidates(k)), missing: map[ids.VM]bool{}, finished: make(chan struct{})}
	if d.lookups == nil {
		d.lookups = map[Key][]*lookup{}
	}
	d.lookups[k] = append(d.lookups[k], l)
	return l
}

// mayHold returns the VMs to ask: the live ones first, since the VM that made the record took others for dead.
func mayHold(all []Candidate) []ids.VM {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		switch {
		case a.Alive == b.Alive:
			return 0
		case a.Alive:
			return -1
		}
		return 1
	})
	out := make([]ids.VM, 0, maxAsked)
	for _, c := range sorted[:min(len(sorted), maxAsked)] {
		out = append(out, c.VM)
	}
	return out
}

// own returns this VM's own record.
func (d *Directory) own(k Key) (Version, Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.records[k]
	switch {
	case e == nil:
		return 0, NotFound // it has just expired
	case e.conflicting:
		return 0, Conflict
	}
	return e.version, Found
}

// unanswered returns the result of a lookup that has timed out.
func (d *Directory) unanswered(l *lookup) (Version, Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-l.finished:
		return l.version, l.result
	default:
	}
	if len(l.missing) == 0 {
		return 0, NoAnswer
	}
	return 0, NotFound
}

func (d *Directory) endLookup(k Key, l *lookup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := slices.DeleteFunc(d.lookups[k], func(o *lookup) bool { return o == l })
	if len(left) == 0 {
		delete(d.lookups, k)
		return
	}
	d.lookups[k] = left
}

// answered applies a peer's answers to the lookups in progress. The caller holds d.mu.
func (d *Directory) answered(from ids.VM, m *Message) {
	for i := range m.Found {
		d.finish(m.Found[i].Key, m.Found[i].Version, Found)
	}
	for _, k := range m.Conflicts {
		d.finish(k, 0, Conflict)
	}
	for _, k := range m.Missing {
		for _, l := range d.lookups[k] {
			l.missing[from] = true
			if len(l.missing) >= len(l.asked) && d.Now().Sub(l.started) >= settleTime {
				l.finish(0, NotFound)
			}
		}
	}
}

// finish ends the lookups of a key. The caller holds d.mu.
func (d *Directory) finish(k Key, v Version, result Result) {
	for _, l := range d.lookups[k] {
		l.finish(v, result)
	}
}

// finish ends a lookup unless it has ended. The caller holds Directory.mu.
func (l *lookup) finish(v Version, result Result) {
	select {
	case <-l.finished:
	default:
		l.version, l.result = v, result
		close(l.finished)
	}
}
