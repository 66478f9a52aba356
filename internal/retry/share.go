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

// share decides by how many VMs this one divides the burst. It holds one element for each listed VM. Not safe for
// concurrent use.
type share struct {
	vm      ids.VM
	window  time.Duration
	listTTL time.Duration // zero: the list doesn't age
	started time.Time

	list       List
	listed     map[ids.VM]bool
	missing    map[ids.VM]time.Time // VMs that were listed, and since when they are not
	created    bool                 // this process created the VM's entry
	lostUntil  time.Time            // until when a VM may spend whose entry the store has lost
	entrySince time.Time            // since when this VM knows that its entry is listed; zero: it is not
	active     bool                 // all other VMs count this one
	statements map[ids.VM]Statement // by VM, while this VM waits for them
	stated     int                  // largest count that another VM has stated since the start
	askedAt    time.Time            // when another VM last asked for statements
	spent      map[int]time.Time    // last spending by count
}

func newShare(vm ids.VM, window, listTTL time.Duration, now time.Time) *share {
	return &share{
		vm: vm, window: window, listTTL: listTTL, started: now,
		listed: map[ids.VM]bool{}, missing: map[ids.VM]time.Time{}, statements: map[ids.VM]Statement{}, spent: map[int]time.Time{},
	}
}

// setList applies a reading of the list of VMs.
func (s *share) setList(l List, now time.Time) {
	listed := make(map[ids.VM]bool, len(l.VMs))
	for _, vm := range l.VMs {
		listed[vm] = true
		delete(s.missing, vm)
	}
	for vm := range s.listed {
		if !listed[vm] {
			s.missing[vm] = now
		}
	}
	s.listed = listed
	s.checkEra(l.Revision, now)
	s.confirm(l.Revision, l.Sent)
	switch {
	case l.OwnEntry == 0:
		s.entrySince, s.active, s.created = time.Time{}, false, false
	case s.entrySince.IsZero():
		s.entrySince = now
	}
	s.list.OwnEntry = l.OwnEntry
}

// checkEra sets until when VMs may spend that a list does not show since the store has come back from an older copy. This VM
// knows all of them by its earlier list if that was proved within the window: the others have spent nothing before they had been listed
// for longer.
func (s *share) checkEra(rev objectapi.Revision, now time.Time) {
	if rev.Era() > s.list.Revision.Era() && now.Sub(s.list.Sent) >= s.window {
		s.lostUntil = now.Add(s.window + s.listTTL)
	}
}

// confirm records that the list is still complete up to a revision.
func (s *share) confirm(rev objectapi.Revision, sent time.Time) {
	s.list.Revision = max(s.list.Revision, rev)
	if sent.After(s.list.Sent) {
		s.list.Sent = sent
	}
}

// create records that this process has created the VM's entry, which did not exist. An entry may be missing in a
// store that has come back from an older copy, so that only one of the first era proves that there was no earlier process.
func (s *share) create(rev objectapi.Revision) { s.created = rev.Era() == 0 }

// receive applies the statement of another VM.
func (s *share) receive(vm ids.VM, st *Statement, now time.Time) {
	if st.Asks {
		s.askedAt = now
	}
	s.stated = max(s.stated, st.VMs)
	if !s.active {
		s.statements[vm] = *st
	}
}

// askedFor is how long a VM goes on stating after another one has asked, so that lost messages don't matter.
const askedFor = 2 * time.Second

// statement returns what to tell the other VMs; nil: nothing that one waits for.
func (s *share) statement(now time.Time) *Statement {
	count, wait := s.count(now)
	asks := count == 0 && wait.Reason == waitsForPeers
	if !asks && (s.askedAt.IsZero() || now.Sub(s.askedAt) > askedFor) {
		return nil
	}
	return &Statement{Revision: s.list.Revision, VMs: s.counted(now), Spent: s.smallestSpent(now), Asks: asks}
}

// count returns the number of VMs by which this VM divides the burst. Zero: it has no share, and wait
// says why.
func (s *share) count(now time.Time) (n int, wait Wait) {
	switch {
	case s.list.Sent.IsZero():
		return 0, Wait{Reason: waitsForList}
	case s.listTTL > 0 && now.Sub(s.list.Sent) > s.listTTL:
		return 0, Wait{Reason: waitsForNewerList}
	case s.entrySince.IsZero():
		return 0, Wait{Reason: waitsForEntry}
	}
	if now.Before(s.lostUntil) {
		return 0, Wait{Reason: waitsForLostEntries, Until: s.lostUntil}
	}
	if until := s.predecessorUntil(); now.Before(until) {
		return 0, Wait{Reason: waitsForPredecessor, Until: until}
	}
	n = s.counted(now)
	settled := s.entrySince.Add(s.window + s.listTTL)
	if now.Before(settled) {
		n = max(n, s.stated) // others count VMs whose entries were removed before this VM read the list
	}
	if !s.active && now.Before(settled) && !s.agreed(n) {
		return 0, Wait{Reason: waitsForPeers, Until: settled}
	}
	if !s.active {
		s.active = true
		clear(s.statements)
	}
	return n, Wait{}
}

// predecessorUntil returns when no window has spendings of an earlier process any more.
func (s *share) predecessorUntil() time.Time {
	if s.created {
		return s.started
	}
	return s.started.Add(s.window)
}

// agreed reports whether all other listed VMs have stated that they count this VM and have spent
// nothing by a count below n.
func (s *share) agreed(n int) bool {
	for vm := range s.listed {
		if vm == s.vm {
			continue
		}
		st, ok := s.statements[vm]
		if !ok || st.Revision < s.list.OwnEntry || st.Spent != 0 && st.Spent < n {
			return false
		}
	}
	return true
}

// counted returns the number of listed VMs and of those that may still spend although they are not listed.
func (s *share) counted(now time.Time) int {
	for vm, since := range s.missing {
		if now.Sub(since) > s.window+s.listTTL {
			delete(s.missing, vm)
		}
	}
	return len(s.listed) + len(s.missing)
}

// spend records that this VM has spent part of the burst by a count.
func (s *share) spend(count int, now time.Time) { s.spent[count] = now }

// smallestSpent returns the value of Statement.Spent.
func (s *share) smallestSpent(now time.Time) int {
	smallest := 0
	if now.Before(s.predecessorUntil()) {
		smallest = 1
	}
	for count, at := range s.spent {
		if now.Sub(at) > s.window {
			delete(s.spent, count)
			continue
		}
		if smallest == 0 || count < smallest {
			smallest = count
		}
	}
	return smallest
}
