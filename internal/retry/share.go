package retry

import (
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
)

// # Shares of the burst
//
// In any window all VMs together may spend one burst. A VM spends at most the burst divided by the number
// of VMs that it counts. That sum is bounded if, of the VMs that spend within one window, no two are processes of the
// same VM, and each counts all of them. A VM may therefore spend only if all of these hold:
//
//   - No earlier process of this VM can have spent within the window: this process created the VM's
//     entry in the list of VMs, or has run for a window.
//   - Its entry is listed, and each other VM on its list either has stated that its own list includes the entry and
//     that it has spent nothing in the window by a smaller count, or will have stopped spending by a list without the
//     entry: that is so a window and listTTL after the entry was written.
//   - Its list is no older than listTTL.
//
// VMs whose entries are removed are counted for another window and listTTL. A store that has come back from an older copy may
// lack the entry of a VM that goes on spending for listTTL: a VM that may not know of it waits for a window and listTTL. docs/design/retry-budget.md has the proof.
//
// The fraction of requests needs no list: each process counts its own requests.

// Statement is what a VM says of its list and its spending to the others.
type Statement struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the revision up to which the VM's list is complete.
	Revision objectapi.Revision
	// VMs is the number of VMs that it counts.
	VMs int
	// Spent is the smallest count by which it has spent within the window; zero: it has spent nothing.
	// A process that may have had a predecessor says 1.
	Spent int
	// Asks says that the VM waits for the statements of the others.
	Asks bool
}

// List is one reading of the list of VMs.
type List struct {
	VMs []ids.VM
	// Revision is that of the store up to which the list is complete.
	Revision objectapi.Revision
	// Sent is when the call was sent that proves the list complete. Zero: no such call is known of.
	Sent time.Time
	// OwnEntry is the revision of this VM's entry. Zero: it is not listed.
	OwnEntry objectapi.Revision
}

// Wait is why a VM has no share of the burst.
type Wait struct {
	Reason string
	// Until is when the VM stops waiting at the latest. Zero: it depends on the store.
	Until time.Time
}

// Reasons of a Wait.
const (
	waitsForList        = "the list of VMs has not been read"
	waitsForNewerList   = "the list of VMs is too old"
	waitsForEntry       = "this VM is not listed"
	waitsForLostEntries = "the store has come back from an older copy, which may lack the entries of VMs"
	waitsForPredecessor = "an earlier process of this VM may have spent its share"
	waitsForPeers       = "other VMs may not count this VM yet"
)

// divider decides by how many VMs this one divides the burst. It holds one element for each listed VM. Not safe for
// concurrent use.
type divider struct {
	vm      ids.VM
	window  time.Duration
	listTTL time.Duration // zero: the list doesn't age
	started time.Time

	list       List
	listed     map[ids.VM]bool
	missing    map[ids.VM]time.Time // VMs that were listed, and since when they are not
	created    objectapi.Revision   // at which this process created the VM's entry; zero: it has not
	lostUntil  time.Time            // until when a VM may spend whose entry the store has lost
	entrySince time.Time            // since when this VM knows that its entry is listed; zero: it is not
	active     bool                 // all other VMs count this one
	statements map[ids.VM]Statement // by VM, while this VM waits for them
	stated     int                  // largest count that another VM has stated since the start
	askedAt    time.Time            // when another VM last asked for statements
	spent      map[int]time.Time    // last spending by count
}

func newDivider(vm ids.VM, window, listTTL time.Duration, now time.Time) *divider {
	return &divider{
		vm: vm, window: window, listTTL: listTTL, started: now,
		listed: map[ids.VM]bool{}, missing: map[ids.VM]time.Time{}, statements: map[ids.VM]Statement{}, spent: map[int]time.Time{},
	}
}

// setList applies a reading of the list of VMs.
func (d *divider) setList(l List, now time.Time) {
	listed := make(map[ids.VM]bool, len(l.VMs))
	for _, vm := range l.VMs {
		listed[vm] = true
		delete(d.missing, vm)
	}
	for vm := range d.listed {
		if !listed[vm] {
			d.missing[vm] = now
		}
	}
	d.listed = listed
	d.checkEra(l.Revision, now)
	d.confirm(l.Revision, l.Sent)
	switch {
	case l.OwnEntry == 0:
		d.entrySince, d.active = time.Time{}, false
		if l.Revision >= d.created { // not a list from before
			d.created = 0
		}
	case d.entrySince.IsZero():
		d.entrySince = now
	}
	d.list.OwnEntry = l.OwnEntry
}

// checkEra sets until when VMs may spend that a list does not show since the store has come back from an older copy. This VM
// knows all of them by its earlier list if that was proved within the window: the others have spent nothing before they had been listed
// for longer.
func (d *divider) checkEra(rev objectapi.Revision, now time.Time) {
	if rev.Era() > d.list.Revision.Era() && now.Sub(d.list.Sent) >= d.window {
		d.lostUntil = now.Add(d.window + d.listTTL)
	}
}

// confirm records that the list is still complete up to a revision.
func (d *divider) confirm(rev objectapi.Revision, sent time.Time) {
	d.list.Revision = max(d.list.Revision, rev)
	if sent.After(d.list.Sent) {
		d.list.Sent = sent
	}
}

// create records that this process has created the VM's entry, which did not exist. An entry may be missing in a
// store that has come back from an older copy, so that only one of the first era proves that there was no earlier process.
func (d *divider) create(rev objectapi.Revision) {
	if rev.Era() == 0 {
		d.created = rev
	}
}

// receive applies the statement of another VM.
func (d *divider) receive(vm ids.VM, st *Statement, now time.Time) {
	if st.Asks {
		d.askedAt = now
	}
	d.stated = max(d.stated, st.VMs)
	if !d.active {
		d.statements[vm] = *st
	}
}

// askedFor is how long a VM goes on stating after another one has asked, so that lost messages don't matter.
const askedFor = 2 * time.Second

// statement returns what to tell the other VMs; nil: nothing that one waits for.
func (d *divider) statement(now time.Time) *Statement {
	count, wait := d.count(now)
	asks := count == 0 && wait.Reason == waitsForPeers
	if !asks && (d.askedAt.IsZero() || now.Sub(d.askedAt) > askedFor) {
		return nil
	}
	return &Statement{Revision: d.list.Revision, VMs: d.counted(now), Spent: d.smallestSpent(now), Asks: asks}
}

// count returns the number of VMs by which this VM divides the burst. Zero: it has no share, and wait
// says why.
func (d *divider) count(now time.Time) (n int, wait Wait) {
	switch {
	case d.list.Sent.IsZero():
		return 0, Wait{Reason: waitsForList}
	case d.listTTL > 0 && now.Sub(d.list.Sent) > d.listTTL:
		return 0, Wait{Reason: waitsForNewerList}
	case d.entrySince.IsZero():
		return 0, Wait{Reason: waitsForEntry}
	}
	if now.Before(d.lostUntil) {
		return 0, Wait{Reason: waitsForLostEntries, Until: d.lostUntil}
	}
	if until := d.predecessorUntil(); now.Before(until) {
		return 0, Wait{Reason: waitsForPredecessor, Until: until}
	}
	n = d.counted(now)
	settled := d.entrySince.Add(d.window + d.listTTL)
	if now.Before(settled) {
		n = max(n, d.stated) // others count VMs whose entries were removed before this VM read the list
	}
	if !d.active && now.Before(settled) && !d.agreed(n) {
		return 0, Wait{Reason: waitsForPeers, Until: settled}
	}
	if !d.active {
		d.active = true
		clear(d.statements)
	}
	return n, Wait{}
}

// predecessorUntil returns when no window has spendings of an earlier process any more.
func (d *divider) predecessorUntil() time.Time {
	if d.created != 0 {
		return d.started
	}
	return d.started.Add(d.window)
}

// agreed reports whether all other listed VMs have stated that they count this VM and have spent
// nothing by a count below n.
func (d *divider) agreed(n int) bool {
	for vm := range d.listed {
		if vm == d.vm {
			continue
		}
		st, ok := d.statements[vm]
		if !ok || st.Revision < d.list.OwnEntry || st.Spent != 0 && st.Spent < n {
			return false
		}
	}
	return true
}

// counted returns the number of listed VMs and of those that may still spend although they are not listed.
func (d *divider) counted(now time.Time) int {
	for vm, since := range d.missing {
		if now.Sub(since) > d.window+d.listTTL {
			delete(d.missing, vm)
		}
	}
	return len(d.listed) + len(d.missing)
}

// spend records that this VM has spent part of the burst by a count.
func (d *divider) spend(count int, now time.Time) { d.spent[count] = now }

// smallestSpent returns the value of Statement.Spent.
func (d *divider) smallestSpent(now time.Time) int {
	smallest := 0
	if now.Before(d.predecessorUntil()) {
		smallest = 1
	}
	for count, at := range d.spent {
		if now.Sub(at) > d.window {
			delete(d.spent, count)
			continue
		}
		if smallest == 0 || count < smallest {
			smallest = count
		}
	}
	return smallest
}
