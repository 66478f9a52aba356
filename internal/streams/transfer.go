package streams

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// firstRepeat is the time until a record is sent again to the holders that have not acknowledged it. The time doubles
	// with each repeat, up to maxRepeat.
	firstRepeat = 150 * time.Millisecond
	maxRepeat   = 5 * time.Second
	// ackDelay is how long acknowledgements are collected.
	ackDelay = 30 * time.Millisecond
	// maxPerMessage bounds the records of one message, so that it fits in one packet.
	maxPerMessage = 40
)

// transfer is a record that too few holders have acknowledged.
type transfer struct {
	acked  map[ids.VM]bool
	copies int // holders that must acknowledge it
	sends  int
	due    time.Time // of the next repeat
}

// startTransfer sends a record to its holders. The caller holds d.mu.
func (d *Directory) startTransfer(k Key, now time.Time) {
	peers := d.candidates(k)
	t := d.newTransfer(k, len(peers), now)
	r := d.records[k].record(k, now)
	for _, vm := range t.receivers(peers) {
		d.Send(vm, Message{Records: []Record{r}})
	}
	t.sent(now)
	d.wakeUp()
}

// newTransfer adds a record to those that too few holders have acknowledged, and to those to be saved. The caller holds d.mu.
func (d *Directory) newTransfer(k Key, peers int, now time.Time) *transfer {
	t := &transfer{acked: map[ids.VM]bool{}, copies: copiesAmong(peers)}
	if d.saveOwn(k, now) {
		t.copies++
	}
	if d.unacked == nil {
		d.unacked = map[Key]*transfer{}
	}
	d.unacked[k] = t
	return t
}

// copiesAmong returns the number of holders of a record in a fleet with so many other VMs.
func copiesAmong(peers int) int {
	if peers > largeFleet {
		return copiesInLargeFleet
	}
	return copies
}

// VersionsChanged makes Run send the records that this VM has kept to itself, of services that no longer have
// one version. It takes no lock.
func (d *Directory) VersionsChanged() {
	d.changed.Store(true)
	d.wakeUp()
}

// publishPrivate makes the private records of services that no longer have one version due for their holders. The caller
// holds d.mu.
func (d *Directory) publishPrivate(now time.Time) {
	if !d.changed.Swap(false) {
		return
	}
	peers := len(d.Peers())
	for k, e := range d.records {
		if e.private != 0 && d.Sole(e.private) != e.version {
			e.private = 0
			d.newTransfer(k, peers, now).due = now
		}
	}
}

// sent records one send and sets the time of the next one.
func (t *transfer) sent(now time.Time) {
	t.due = now.Add(min(firstRepeat<<min(t.sends, 10), maxRepeat))
	t.sends++
}

// receivers returns the VMs to which the record is sent now: the first candidates, and one more with each repeat, without
// those that have it.
func (t *transfer) receivers(all []Peer) []ids.VM {
	var out []ids.VM
	left := t.copies + t.sends
	for _, c := range onlyAlive(all) {
		if left--; left < 0 {
			break
		}
		if !t.acked[c.VM] {
			out = append(out, c.VM)
		}
	}
	return out
}

// acknowledged records that a peer has a record. The caller holds d.mu.
func (d *Directory) acknowledged(from ids.VM, k Key) {
	t := d.unacked[k]
	if t == nil {
		return
	}
	t.acked[from] = true
	if len(t.acked) >= t.copies {
		delete(d.unacked, k)
	}
}

// Run sends acknowledgements, and records again, until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	wake := d.wakeChannel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		if !timing.Sleep(ctx, ackDelay) {
			return
		}
		d.Round()
		d.restoreRecords()
	}
}

// wakeChannel returns the channel that has a value if Run has something to do.
func (d *Directory) wakeChannel() chan struct{} {
	d.wakeOnce.Do(func() { d.wake = make(chan struct{}, 1) })
	return d.wake
}

// wakeUp makes Run start a round.
func (d *Directory) wakeUp() {
	select {
	case d.wakeChannel() <- struct{}{}:
	default: // a wake-up is pending
	}
}

// Round sends the collected acknowledgements, and the records that are due again.
func (d *Directory) Round() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	d.expire()
	out := map[ids.VM]*Message{}
	to := func(vm ids.VM) *Message {
		if out[vm] == nil {
			out[vm] = &Message{}
		}
		return out[vm]
	}
	for vm, keys := range d.acks {
		to(vm).Acks = keys
	}
	d.acks = nil
	d.publishPrivate(now)
	d.addRepeats(to, now)
	for vm, m := range out {
		d.send(vm, m)
	}
	if len(d.unacked) > 0 {
		d.wakeUp()
	}
}

// addRepeats adds the records that are due again to the messages. A record with no further VM to send it to is given
// up. The caller holds d.mu.
func (d *Directory) addRepeats(to func(ids.VM) *Message, now time.Time) {
	for k, t := range d.unacked {
		if now.Before(t.due) {
			continue
		}
		e := d.records[k]
		receivers := t.receivers(d.candidates(k))
		if e == nil || len(receivers) == 0 {
			delete(d.unacked, k)
			continue
		}
		for _, vm := range receivers {
			m := to(vm)
			m.Records = append(m.Records, e.record(k, now))
			if t.sends > 0 {
				d.Repeated.Add(1)
			}
		}
		t.sent(now)
	}
}

// send sends a message in as many parts as needed.
func (d *Directory) send(vm ids.VM, m *Message) {
	for len(m.Records) > 0 || len(m.Acks) > 0 {
		records, acks := min(len(m.Records), maxPerMessage), min(len(m.Acks), maxPerMessage)
		d.Send(vm, Message{Records: m.Records[:records], Acks: m.Acks[:acks]})
		m.Records, m.Acks = m.Records[records:], m.Acks[acks:]
	}
}

// PeerStarted makes Run send a VM that has just started the records that it should hold. On a nil
// Directory it does nothing.
func (d *Directory) PeerStarted(vm ids.VM) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started == nil {
		d.started = map[ids.VM]bool{}
	}
	d.started[vm] = true
	d.wakeUp()
}

// restoreRecords sends records to the VMs that have just started. Of the VMs that have a record, the first live one
// in the order of rankOf sends it.
func (d *Directory) restoreRecords() {
	d.mu.Lock()
	started, now := d.started, d.Now()
	d.started = nil
	var records []Record
	for k, e := range d.records {
		if len(started) > 0 && !e.conflicting && e.private == 0 {
			records = append(records, e.record(k, now))
		}
	}
	d.mu.Unlock()
	for vm := range started {
		m := Message{}
		for _, r := range records {
			if restores(d.candidates(r.Key), vm, d.VM) {
				m.Records = append(m.Records, r)
			}
		}
		d.send(vm, &m)
	}
}

// restores reports whether self sends a record again to vm, a holder that has started: vm is one of the first
// candidates, and no live candidate before it precedes self by rankOf. all are the candidates, without self.
func restores(all []Peer, vm, self ids.VM) bool {
	for i, c := range all {
		switch {
		case i > copies:
			return false
		case c.VM == vm:
			return true
		case c.Alive && rankOf(c.VM) > rankOf(self):
			return false
		}
	}
	return false
}

// rankOf returns the rank by which one of the VMs that have a record is chosen to send it again.
func rankOf(vm ids.VM) uint64 { return routing.HashTarget(ids.Target(vm)) }
