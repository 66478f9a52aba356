package streams

import (
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Records are saved in the store by a few VMs, the collectors, so that they outlive all processes. A collector saves its own
// records and those that it gets from VMs that are no collectors; a VM that is none sends each record to one collector as a further holder.

// saveAgain is the age at which a saved record of a stream that goes on is saved again.
const saveAgain = RecordTTL / 3

// saved is a record in the store.
type saved struct {
	key     Key
	version Version
}

// collectors returns the VMs that save records.
func (d *Directory) collectors() []ids.VM {
	if d.Collectors == nil {
		return nil
	}
	return d.Collectors()
}

// collectorOf returns the VM that saves a record of this one; empty: there is none, or it is this one.
func (d *Directory) collectorOf(k Key) ids.VM {
	all := d.collectors()
	if len(all) == 0 || slices.Contains(all, d.VM) {
		return ""
	}
	return all[k.number()%uint64(len(all))]
}

// saveOwn marks a record of this VM as unsaved if the VM is a collector, and otherwise reports whether a collector is to get
// it. The caller holds d.mu.
func (d *Directory) saveOwn(k Key, now time.Time) (collected bool) {
	all := d.collectors()
	if slices.Contains(all, d.VM) {
		d.addUnsaved(k, now)
		return false
	}
	return len(all) > 0
}

// saveFor marks a record that a peer has sent as unsaved if this VM saves those of the peer. The caller holds d.mu.
func (d *Directory) saveFor(from ids.VM, k Key, now time.Time) {
	if all := d.collectors(); slices.Contains(all, d.VM) && !slices.Contains(all, from) {
		d.addUnsaved(k, now)
	}
}

// addUnsaved marks a record as unsaved unless it was saved lately. The caller holds d.mu.
func (d *Directory) addUnsaved(k Key, now time.Time) {
	e := d.records[k]
	if e == nil || !e.savedAt.IsZero() && now.Sub(e.savedAt) < saveAgain {
		return
	}
	e.savedAt = now
	d.unsaved = append(d.unsaved, saved{key: k, version: e.version})
	select {
	case d.saveChannel() <- struct{}{}:
	default: // a wake-up is pending
	}
}

// saveChannel returns the channel that has a value if there are unsaved records.
func (d *Directory) saveChannel() chan struct{} {
	d.saveOnce.Do(func() { d.save = make(chan struct{}, 1) })
	return d.save
}

// takeUnsaved returns the unsaved records, at most maxRecords, the newest ones.
func (d *Directory) takeUnsaved() []saved {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.unsaved[max(len(d.unsaved)-maxRecords, 0):]
	d.unsaved = nil
	return out
}

// restore adds records from the store. Their streams may have gone on until now.
func (d *Directory) restore(records []saved) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for _, r := range records {
		d.put(r.key, r.version, now)
		if e := d.records[r.key]; e != nil {
			e.savedAt = now
		}
	}
}
