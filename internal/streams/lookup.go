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
	// Found: the stream began at the version, or can't have begun at another.
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
	// settleTime is how long a lookup goes on at least before it ends without a record: until a record that was lost
	// on its way has been sent again.
	settleTime = firstRepeat + 100*time.Millisecond
	// lookupTimeout bounds a lookup.
	lookupTimeout = 400 * time.Millisecond
)

// lookup is a lookup in progress. Its fields are guarded by Directory.mu.
type lookup struct {
	started  time.Time
	asked    []ids.VM
	missing  map[ids.VM]bool // VMs that have no record
	sole     Version         // what Directory.Sole returned at this VM or one of them; zero: neither knows
	differ   bool            // they returned different ones
	reaching bool            // no failure domain is out of reach
	proven   bool            // the store has answered
	unnamed  bool            // nobody has a record, since the caller names no stream
	version  Version
	result   Result
	finished chan struct{} // closed when result is final
}

// Lookup returns at which version a stream of a service began. It asks other VMs if this one has no record, for up to
// lookupTimeout.
func (d *Directory) Lookup(ctx context.Context, k Key, service string) (Version, Result) {
	d.Lookups.Add(1)
	q := Question{Key: k, Service: ServiceHash(service)}
	l := d.startLookup(q, false)
	if l == nil {
		return d.count(d.own(k))
	}
	return d.count(d.lookup(ctx, service, q, l))
}

// LookupUnnamed returns the version at which a stream began whose caller does not name it, which is known only if there is one version. k is
// the key of a stream that has not begun.
func (d *Directory) LookupUnnamed(ctx context.Context, k Key, service string) (Version, Result) {
	d.Lookups.Add(1)
	q := Question{Key: k, Service: ServiceHash(service)}
	l := d.startLookup(q, true)
	if l == nil {
		return d.count(0, NotFound)
	}
	return d.count(d.lookup(ctx, service, q, l))
}

// count counts the result of a lookup.
func (d *Directory) count(v Version, result Result) (Version, Result) {
	if result != Found {
		d.NotFound.Add(1)
	}
	return v, result
}

// lookup asks the peers and the store.
func (d *Directory) lookup(ctx context.Context, service string, q Question, l *lookup) (Version, Result) {
	defer d.endLookup(q.Key, l)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if d.Prove != nil {
		go d.prove(ctx, service, l)
	}
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for {
		for _, vm := range l.asked {
			d.Send(vm, Message{Asked: []Question{q}})
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
func (d *Directory) startLookup(q Question, unnamed bool) *lookup {
	k := q.Key
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records[k] != nil {
		return nil
	}
	candidates := d.candidates(k)
	l := &lookup{
		started: d.Now(), asked: mayHold(candidates), reaching: reachesAllDomains(candidates),
		missing: map[ids.VM]bool{}, unnamed: unnamed, sole: d.Sole(q.Service), finished: make(chan struct{}),
	}
	if d.lookups == nil {
		d.lookups = map[Key][]*lookup{}
	}
	d.lookups[k] = append(d.lookups[k], l)
	return l
}

// mayHold returns the VMs to ask: the live ones first, since the VM that made the record took others for dead.
func mayHold(all []Peer) []ids.VM {
	out := make([]ids.VM, 0, maxAsked)
	for _, p := range aliveFirst(all)[:min(len(all), maxAsked)] {
		out = append(out, p.VM)
	}
	return out
}

// prove asks the store, and ends a lookup if nothing is to be expected of peers then.
func (d *Directory) prove(ctx context.Context, service string, l *lookup) {
	sole, ok := d.Prove(ctx, service)
	d.mu.Lock()
	defer d.mu.Unlock()
	l.proven = ok
	if ok && sole != 0 {
		l.sole = sole
	}
	switch {
	case ok && sole != 0 && sole != Several:
		l.finish(sole, Found)
	case len(l.asked) == 0, ok && sole == Several && l.unnamed:
		l.finish(l.absent())
	}
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
	if len(l.missing) == 0 && len(l.asked) > 0 {
		return 0, NoAnswer
	}
	return l.absent()
}

// absent returns the result if no VM has a record: the only version, if this VM and its peers can know that it is the only one. The caller
// holds Directory.mu.
func (l *lookup) absent() (Version, Result) {
	inStep := l.proven || l.reaching && len(l.missing) >= len(l.asked) // VMs that are cut off together may all know too little
	if !inStep || l.sole == 0 || l.sole == Several || l.differ {
		return 0, NotFound
	}
	return l.sole, Found
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
	for i := range m.Missing {
		for _, l := range d.lookups[m.Missing[i].Key] {
			l.addMissing(from, m.Missing[i].Sole)
			if len(l.missing) >= len(l.asked) && d.Now().Sub(l.started) >= settleTime {
				l.finish(l.absent())
			}
		}
	}
}

// addMissing records that a peer has no record. The caller holds Directory.mu.
func (l *lookup) addMissing(from ids.VM, sole Version) {
	l.missing[from] = true
	l.differ = l.differ || sole != 0 && l.sole != 0 && sole != l.sole
	if sole != 0 {
		l.sole = sole
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
