package news

import (
	"context"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// Early rounds answer this load: 32 VMs send 400 prompts a second to 60 engines. In the 155 ms between
// two rounds of loads 62 prompts leave VMs that know nothing of the others', so some engines get several
// long ones at once. Of 12,570 calls 576 were late in such queues; with rounds every 50 ms, 264 were.
//
// So a VM whose work at targets has changed starts its next round early while calls wait
// (loadview.Tracker.CallsWait). An early round carries loads only. Everything else that a message
// repeats stays in the regular rounds, whose times do not change: uses of 580 workspaces take 9 kB.
//
// Rounds of the tree stay as they are; docs/design/load-reports.md has the figures.

const (
	// minEarlyInterval is the shortest interval between two rounds while calls wait. Half of it, the
	// mean age of a report, is about the prefill time of one long prompt.
	minEarlyInterval = 50 * time.Millisecond
	// earlyMessagesPerSecond bounds the messages with loads that a VM receives while calls wait: 31
	// peers then have an interval of minEarlyInterval.
	earlyMessagesPerSecond = 640
	// earlyBytesPerSecond bounds the bytes of these messages if all VMs have as many loads as this
	// one: less than a third of a link of 10 Mbit/s. Up to 44 loads it changes nothing at 32 VMs.
	earlyBytesPerSecond = 375_000
	// earlyMessageBytes and earlyLoadBytes are the size of an early message with its UDP and IP
	// headers and without loads, and the size of one load. TestEarlyMessageSize checks them.
	earlyMessageBytes = 72
	earlyLoadBytes    = 12
	// earlyChange is the change of work, in seconds, beyond which a round starts early. If each of 32
	// VMs withholds that much, each of 60 engines has 11 ms of unreported work on average, less
	// than half of the mean wait from which rounds are early.
	earlyChange = 0.02
	// inFlightChange is the change of work, in seconds, for which a request counts besides its prompt
	// tokens. It lies between a request's cost to the next one at an engine with 48 slots, 2.5 ms, and
	// at a plain replica with 6 slots of 60 ms, 10 ms.
	inFlightChange = 0.005
)

// roundKind is what a VM sends in a round.
type roundKind uint8

const (
	noRound    roundKind = iota
	earlyRound           // loads only
	fullRound            // all state that regular rounds repeat
)

// loadRounds decides when this VM starts rounds of loads outside the tree. It reads no clock and sends
// nothing.
type loadRounds struct {
	last     time.Time // of the last round
	lastFull time.Time // time for which the last full round was due
	reported map[ids.Target]loadview.TargetWork
}

// roundState is what a decision depends on.
type roundState struct {
	now       time.Time
	peers     int
	regular   time.Duration // interval of full rounds
	callsWait bool
	// prefillRate is the assumed rate of targets in tokens/s. Zero: no round starts early.
	prefillRate float64
	own         map[ids.Target]loadview.TargetWork // this VM's work at targets
}

// earlyInterval returns the shortest interval between two rounds while calls wait.
func earlyInterval(peers, loads int) time.Duration {
	messages := time.Duration(peers) * time.Second / earlyMessagesPerSecond
	bytes := time.Duration(peers*(earlyMessageBytes+loads*earlyLoadBytes)) * time.Second / earlyBytesPerSecond
	return max(minEarlyInterval, messages, bytes)
}

// next returns the round to start now. If there is none, wait is the time until the next decision, and
// onChange is set if a change of the VM's work requires one earlier. s.own is needed only if calls
// wait.
func (r *loadRounds) next(s roundState) (kind roundKind, wait time.Duration, onChange bool) {
	early := min(earlyInterval(s.peers, len(s.own)), s.regular)
	due := maxTime(r.lastFull.Add(s.regular), r.last.Add(early))
	if !s.now.Before(due) || s.now.Before(r.last) { // the clock may have been set back
		return fullRound, 0, false
	}
	wait = min(due.Sub(s.now), s.regular)
	if !s.callsWait || s.peers == 0 || s.prefillRate <= 0 {
		return noRound, wait, false
	}
	if earliest := r.last.Add(early); s.now.Before(earliest) {
		return noRound, earliest.Sub(s.now), false
	}
	if changeOf(r.reported, s.own, s.prefillRate) <= earlyChange {
		return noRound, wait, true
	}
	if due.Sub(s.now) < early {
		return fullRound, 0, false // the regular round would follow too closely
	}
	return earlyRound, 0, false
}

// started records the start of a round that reports own.
func (r *loadRounds) started(kind roundKind, s roundState) {
	if kind == fullRound {
		// Full rounds that start early keep the times of the next ones, so that they do not become
		// more frequent.
		if due := r.lastFull.Add(s.regular); due.After(s.now) && due.Sub(s.now) < s.regular {
			r.lastFull = due
		} else {
			r.lastFull = s.now
		}
	}
	r.last, r.reported = s.now, s.own
}

// changeOf returns how much work has changed, in seconds of its targets' time.
func changeOf(before, after map[ids.Target]loadview.TargetWork, prefillRate float64) float64 {
	sum := 0.0
	for t, a := range after {
		sum += workChange(before[t], a, prefillRate)
	}
	for t, b := range before {
		if _, ok := after[t]; !ok {
			sum += workChange(b, loadview.TargetWork{}, prefillRate)
		}
	}
	return sum
}

func workChange(a, b loadview.TargetWork, prefillRate float64) float64 {
	pending, inFlight := a.Pending-b.Pending, float64(a.InFlight-b.InFlight)
	return max(pending, -pending)/prefillRate + inFlightChange*max(inFlight, -inFlight)
}

// runLoadRound starts the round that is due now, or waits until one may be; it returns early if ctx
// ends.
func (x *Exchange) runLoadRound(ctx context.Context) {
	s := roundState{now: clock.Now(), peers: len(x.peerList()), regular: x.RoundInterval(), prefillRate: x.PrefillRate, own: map[ids.Target]loadview.TargetWork{}}
	s.callsWait = x.Load.CallsWait(s.now)
	x.Load.Own(func(t ids.Target, l loadview.TargetWork) { s.own[t] = l })
	kind, wait, onChange := x.rounds.next(s)
	switch kind {
	case noRound:
		x.awaitRound(ctx, wait, onChange)
		return
	case earlyRound:
		x.sendEarlyRound()
	case fullRound:
		x.Load.ExpirePeers(s.now)
		x.sendOwnLoads()
	}
	x.rounds.started(kind, s)
}

// awaitRound waits for d or, if onChange is set, for a change of this VM's work.
func (x *Exchange) awaitRound(ctx context.Context, d time.Duration, onChange bool) {
	var changes <-chan struct{}
	if onChange {
		changes = x.Load.Changes()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changes:
	}
}

// sendEarlyRound sends this VM's loads to all peers, without the state that full rounds repeat.
func (x *Exchange) sendEarlyRound() {
	loads := x.ownLoads()
	// Peers may miss an early round without loads, or ignore it as a release without early rounds does.
	// So the next full round repeats it, and early rounds do not count as messages for skippedRounds.
	x.lastLoads = max(x.lastLoads, len(loads))
	x.EarlyRounds.Add(1)
	x.send(Message{VM: x.VM, Incarnation: x.incarnation, EarlySeq: x.seq.Add(1), Loads: loads}, 0)
}

// ownLoads returns this VM's work at targets.
func (x *Exchange) ownLoads() []Load {
	var loads []Load
	x.Load.Own(func(t ids.Target, l loadview.TargetWork) {
		loads = append(loads, Load{Target: t, InFlight: l.InFlight, Pending: int(l.Pending), NotResumable: l.NotResumable})
	})
	return loads
}
