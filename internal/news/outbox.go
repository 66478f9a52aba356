package news

import (
	"math"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// Events with orders or KV cache stores that do not answer must reach every VM, also if datagrams
// get lost. Their sender numbers them. Each VM that receives such an event includes its number in
// the acknowledgements of its next digests, and each VM that has sent one repeats it to the
// neighbours in the tree that have not acknowledged it, until eventTTL has passed.

const (
	// eventTTL is the time after which a VM no longer repeats an event, whether or not all
	// neighbours have acknowledged it: orders take about as long.
	eventTTL = 2 * time.Second
	// upRepeatInterval is the time until an event is repeated to the parent or the other roots, and
	// downRepeatInterval the time until it is repeated to the children, which are many. An
	// acknowledgement takes treeOrderDelay and the time of two datagrams. From the third repeat on
	// the interval doubles each time.
	upRepeatInterval   = treeOrderDelay
	downRepeatInterval = 2 * treeOrderDelay
	// ackFor is the time for which digests acknowledge an event after its last copy.
	ackFor = 4 * treeRoundInterval
	// windowTTL is the time without events after which a VM forgets the numbers of another one.
	windowTTL = 5 * eventTTL
)

// outbox holds the events for one direction in the tree: queued ones, which have not been sent, and
// numbered ones, each of which it keeps for eventTTL with the neighbours that have it. It is not safe
// for concurrent use.
type outbox struct {
	interval time.Duration // until the first repeat
	queue    []event
	unacked  []*unackedEvent
}

// unackedEvent is a numbered event that has been sent.
type unackedEvent struct {
	event
	expires time.Time
	due     time.Time // of the next repeat
	sends   int
	has     map[ids.VM]bool // neighbours that are known to have it
}

// urgent reports whether a numbered event is queued, which must be sent without delay.
func (o *outbox) urgent() bool {
	for i := range o.queue {
		if o.queue[i].Number != 0 {
			return true
		}
	}
	return false
}

// next returns the first events of the queue, and all events that some neighbour has not
// acknowledged, to be sent to these neighbours. Numbered events come first.
func (o *outbox) next(neighbours []Peer, now time.Time) []event {
	queued, rest := splitEvents(o.queue)
	o.queue = rest
	var unnumbered []event
	for _, e := range queued {
		if e.Number == 0 {
			unnumbered = append(unnumbered, e)
			continue
		}
		o.unacked = append(o.unacked, &unackedEvent{event: e, expires: now.Add(eventTTL), has: map[ids.VM]bool{}})
	}
	return append(o.repeats(neighbours, now), unnumbered...)
}

// repeats returns the events that some of the neighbours have not acknowledged, to be sent to these
// neighbours.
func (o *outbox) repeats(neighbours []Peer, now time.Time) []event {
	var out []event
	for _, u := range o.unacked {
		if slices.ContainsFunc(neighbours, u.lackedBy) {
			u.sent(o.interval, now)
			out = append(out, u.event)
		}
	}
	return out
}

// repeatTo returns the neighbours that have not acknowledged an event whose repeat is due.
func (o *outbox) repeatTo(neighbours []Peer, now time.Time) []Peer {
	var out []Peer
	for _, p := range neighbours {
		if slices.ContainsFunc(o.unacked, func(u *unackedEvent) bool { return u.lackedBy(p) && !now.Before(u.due) }) {
			out = append(out, p)
		}
	}
	return out
}

// waiting reports whether some neighbour has not acknowledged an event.
func (o *outbox) waiting(neighbours []Peer) bool {
	return slices.ContainsFunc(o.unacked, func(u *unackedEvent) bool { return slices.ContainsFunc(neighbours, u.lackedBy) })
}

// expire drops the events that have reached eventTTL.
func (o *outbox) expire(now time.Time) {
	o.unacked = slices.DeleteFunc(o.unacked, func(u *unackedEvent) bool { return !now.Before(u.expires) })
}

// acknowledge records that a neighbour has the events that its acknowledgements cover.
func (o *outbox) acknowledge(from ids.VM, acks []ack) {
	for _, u := range o.unacked {
		for _, a := range acks {
			if a.VM == u.VM && a.Received.has(u.Number) {
				u.has[from] = true
			}
		}
	}
}

// hasEvent records that a neighbour has an event, since it has sent a copy.
func (o *outbox) hasEvent(from ids.VM, e *event) {
	for _, u := range o.unacked {
		if u.VM == e.VM && u.Number == e.Number {
			u.has[from] = true
		}
	}
}

// supersede removes earlier orders to the targets of the given ones, so that no repeat arrives after
// a later order to the same target.
func (o *outbox) supersede(orders []Order) {
	for i := range o.queue {
		o.queue[i].Orders = withoutTargets(o.queue[i].Orders, orders)
	}
	for _, u := range o.unacked {
		u.Orders = withoutTargets(u.Orders, orders)
	}
}

// withoutTargets returns the orders to other targets than those of later. It does not change
// orders, which other queues may share.
func withoutTargets(orders, later []Order) []Order {
	out := orders[:0:0]
	for _, o := range orders {
		if !slices.ContainsFunc(later, func(l Order) bool { return l.Target == o.Target }) {
			out = append(out, o)
		}
	}
	return out
}

// lackedBy reports whether a neighbour is not known to have the event. The VM that issued it counts
// as having it.
func (u *unackedEvent) lackedBy(p Peer) bool { return !u.has[p.VM] && shortenVM(p.VM) != u.VM }

// sent records one send and sets the time of the next one.
func (u *unackedEvent) sent(interval time.Duration, now time.Time) {
	const constantRepeats = 2 // before the interval doubles
	u.sends++
	u.due = now.Add(interval << max(u.sends-constantRepeats, 0))
}

// ack says which events of one VM the sender of a digest has received.
type ack struct {
	_        struct{} `cbor:",toarray"`
	VM       shortVM
	Received window
}

// window is a set of event numbers: Last, the largest one, and the preceding ones by the bits of
// Mask, the lowest of which stands for Last itself. Numbers below the window count as received.
type window struct {
	_    struct{} `cbor:",toarray"`
	Last uint64
	Mask uint64
}

const windowBits = 64

// has reports whether the window contains a number.
func (w *window) has(n uint64) bool {
	switch {
	case n > w.Last:
		return false
	case w.Last-n >= windowBits:
		return true
	}
	return w.Mask>>(w.Last-n)&1 == 1
}

// add adds a number and reports whether it is new.
func (w *window) add(n uint64) bool {
	if w.has(n) {
		return false
	}
	if n > w.Last {
		w.Mask <<= min(n-w.Last, math.MaxInt32) // a shift by the width or more gives zero
		w.Last = n
	}
	w.Mask |= 1 << (w.Last - n)
	return true
}

// inbox holds the numbers of the events that this VM has received or issued: 40 bytes for each VM
// that has issued some lately. It is not safe for concurrent use.
type inbox map[shortVM]*receivedEvents

type receivedEvents struct {
	window
	at time.Time // of the last copy
}

// add records a copy of an event and reports whether it is the first one.
func (in inbox) add(e *event, now time.Time) bool {
	r := in[e.VM]
	if r == nil || now.Sub(r.at) > windowTTL {
		r = &receivedEvents{}
		in[e.VM] = r
	}
	r.at = now
	return r.add(e.Number)
}

// acks returns the acknowledgements to send.
func (in inbox) acks(now time.Time) []ack {
	var out []ack
	for vm, r := range in {
		if now.Sub(r.at) > windowTTL {
			delete(in, vm)
			continue
		}
		if now.Sub(r.at) <= ackFor {
			out = append(out, ack{VM: vm, Received: r.window})
		}
	}
	return out
}
