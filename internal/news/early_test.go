package news

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// roundsFleet runs the rounds of several VMs in virtual time, in steps of a millisecond, without a
// network. VMs that are not frozen change their work by changePerSecond.
type roundsFleet struct {
	vms             []roundsVM
	now             time.Time
	callsWait       bool
	changePerSecond float64
	rng             *rand.Rand
}

type roundsVM struct {
	rounds   loadRounds
	own      map[ids.Target]loadview.TargetWork
	wakeAt   time.Time
	onChange bool
	frozen   bool
	sent     []time.Time // rounds of both kinds
	full     []time.Time
	wakeUps  int
}

func newRoundsFleet(vms int) *roundsFleet {
	f := &roundsFleet{vms: make([]roundsVM, vms), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
	for i := range f.vms {
		f.vms[i].own = map[ids.Target]loadview.TargetWork{}
		f.vms[i].wakeAt = f.now.Add(time.Duration(f.rng.Int64N(int64(time.Second))))
	}
	return f
}

func (f *roundsFleet) regular() time.Duration {
	x := &Exchange{peers: make([]Peer, len(f.vms)-1)}
	return x.RoundInterval()
}

func (f *roundsFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		for i := range f.vms {
			v := &f.vms[i]
			changed := f.rng.Float64() < f.changePerSecond/1000
			if changed {
				t := ids.Target(fmt.Sprint("e", f.rng.IntN(20)))
				v.own[t] = loadview.TargetWork{InFlight: 1, Pending: float64(f.rng.IntN(3) * 2890)}
			}
			if v.frozen || f.now.Before(v.wakeAt) && !(changed && v.onChange) {
				continue
			}
			f.wake(v)
		}
	}
}

func (f *roundsFleet) wake(v *roundsVM) {
	v.wakeUps++
	own := map[ids.Target]loadview.TargetWork{}
	for t, l := range v.own {
		own[t] = l
	}
	s := roundState{now: f.now, peers: len(f.vms) - 1, regular: f.regular(), callsWait: f.callsWait, prefillRate: 50_000, own: own}
	kind, wait, onChange := v.rounds.next(s)
	v.wakeAt, v.onChange = f.now.Add(wait), onChange
	if kind == noRound {
		return
	}
	v.rounds.started(kind, s)
	v.sent = append(v.sent, f.now)
	if kind == fullRound {
		v.full = append(v.full, f.now)
	}
	v.wakeAt = f.now
}

// received returns the mean number of messages that the first VM received in each second since a time,
// and the largest number in any window of one second.
func (f *roundsFleet) received(since time.Time) (mean float64, most int) {
	counts := make([]int, int(f.now.Sub(since)/time.Millisecond)+1)
	total := 0
	for _, v := range f.vms[1:] {
		for _, at := range v.sent {
			if !at.Before(since) {
				counts[int(at.Sub(since)/time.Millisecond)]++
				total++
			}
		}
	}
	window := 0
	for i, n := range counts {
		window += n
		if i >= 1000 {
			window -= counts[i-1000]
		}
		most = max(most, window)
	}
	return float64(total) / f.now.Sub(since).Seconds(), most
}

// intervals returns the shortest and the longest interval between times that are not before since.
func intervals(times []time.Time, since time.Time) (shortest, longest time.Duration) {
	shortest = time.Hour
	for i := 1; i < len(times); i++ {
		if d := times[i].Sub(times[i-1]); !times[i-1].Before(since) {
			shortest, longest = min(shortest, d), max(longest, d)
		}
	}
	return shortest, longest
}

// TestRoundIntervals guards against rounds that stay slow while calls wait, against rounds at rest that
// differ from those before early rounds existed, and against early rounds that go on after the load has
// ended.
func TestRoundIntervals(t *testing.T) {
	for _, c := range []struct {
		vms            int
		early, regular time.Duration
	}{{6, 50, 150}, {32, 50, 155}, {66, 101, 325}, {100, 154, 495}} {
		early, regular := c.early*time.Millisecond, c.regular*time.Millisecond
		f := newRoundsFleet(c.vms)
		f.changePerSecond = 36
		f.run(2 * time.Second)
		from := f.now
		f.run(5 * time.Second)
		restMean, _ := f.received(from)
		if lo, hi := intervals(f.vms[1].sent, from); lo != regular || hi != regular {
			t.Errorf("%d VMs at rest: intervals of %v to %v, want %v", c.vms, lo, hi, regular)
		}
		f.callsWait = true
		f.run(time.Second)
		from = f.now
		wakeUps := f.vms[1].wakeUps
		f.run(10 * time.Second)
		mean, most := f.received(from)
		t.Logf("%d VMs: %.0f messages/s received at rest, %.0f under load (at most %d in a second), %.1f wake-ups/s", c.vms, restMean, mean, most, float64(f.vms[1].wakeUps-wakeUps)/10)
		if lo, hi := intervals(f.vms[1].sent, from); lo < early || hi > regular+early {
			t.Errorf("%d VMs under load: intervals of %v to %v, want at least %v and at most %v", c.vms, lo, hi, early, regular+early)
		}
		if atLeast := 0.75 * float64(c.vms-1) / early.Seconds(); mean < atLeast {
			t.Errorf("%d VMs under load: %.0f messages/s received, want at least %.0f", c.vms, mean, atLeast)
		}
		if n := len(f.vms[1].full); n < int(f.now.Sub(time.Unix(1001, 0))/(regular+early)) {
			t.Errorf("%d VMs: %d full rounds, want them about as often as at rest", c.vms, n)
		}
		f.callsWait = false
		f.run(time.Second)
		from = f.now
		f.run(5 * time.Second)
		if lo, hi := intervals(f.vms[1].sent, from); lo != regular || hi != regular {
			t.Errorf("%d VMs after the load: intervals of %v to %v, want %v", c.vms, lo, hi, regular)
		}
	}
}

// TestReceivedMessagesAreBounded guards against a flood when the work of all VMs changes at once and all
// the time: in any second a VM gets at most one message per peer and early interval.
func TestReceivedMessagesAreBounded(t *testing.T) {
	for _, vms := range []int{6, 32, 66, 100} {
		f := newRoundsFleet(vms)
		f.callsWait, f.changePerSecond = true, 1000
		f.run(2 * time.Second)
		from := f.now
		f.run(5 * time.Second)
		mean, most := f.received(from)
		if most > earlyMessagesPerSecond+vms || mean > earlyMessagesPerSecond+1 {
			t.Errorf("%d VMs: %.0f messages/s and at most %d in a second, want at most %d and a round more", vms, mean, most, earlyMessagesPerSecond)
		}
	}
}

// TestEarlyBytesAreBounded guards against early rounds that fill a link of 10 Mbit/s because each VM has
// work at hundreds of targets.
func TestEarlyBytesAreBounded(t *testing.T) {
	for _, loads := range []int{0, 20, 100, 600} {
		for _, peers := range []int{5, 31, 65, 99} {
			perSecond := float64(peers*(earlyMessageBytes+loads*earlyLoadBytes)) / earlyInterval(peers, loads).Seconds()
			if perSecond > earlyBytesPerSecond*1.01 {
				t.Errorf("%d peers with %d loads each send %.0f bytes/s, want at most %d", peers, loads, perSecond, earlyBytesPerSecond)
			}
		}
	}
}

// TestSmallChangesWaitForRegularRound guards against early rounds for changes that no decision would
// notice, and against a change that is not reported because other targets' work fell as much.
func TestSmallChangesWaitForRegularRound(t *testing.T) {
	now := time.Unix(1000, 0)
	s := roundState{now: now, peers: 31, regular: 155 * time.Millisecond, callsWait: true, prefillRate: 50_000}
	var r loadRounds
	s.own = map[ids.Target]loadview.TargetWork{"e1": {InFlight: 1, Pending: 3000}}
	r.started(fullRound, s)
	s.now = now.Add(60 * time.Millisecond)
	s.own = map[ids.Target]loadview.TargetWork{"e1": {InFlight: 1, Pending: 2500}}
	if kind, wait, onChange := r.next(s); kind != noRound || wait != 95*time.Millisecond || !onChange {
		t.Errorf("round %v, wait %v, on change %v for 10 ms of work, want to wait for a change or the regular round", kind, wait, onChange)
	}
	s.own = map[ids.Target]loadview.TargetWork{"e2": {InFlight: 1, Pending: 3000}}
	if kind, _, _ := r.next(s); kind != earlyRound {
		t.Errorf("round %v for work that moved to another target, want an early one", kind)
	}
	s.prefillRate = 0
	if kind, _, _ := r.next(s); kind != noRound {
		t.Errorf("round %v without a prefill rate, want none", kind)
	}
}

// TestLostMessagesAreMadeGood guards against peers that keep outdated loads when messages are lost: with
// a tenth lost, what a peer knows is older than half a second in less than 1% of the time, and older
// than the three regular rounds of which a peer tolerates the loss in none.
func TestLostMessagesAreMadeGood(t *testing.T) {
	for _, vms := range []int{6, 32, 66, 100} {
		f := newRoundsFleet(vms)
		f.callsWait, f.changePerSecond = true, 36
		f.run(11 * time.Second)
		var total, old, oldest time.Duration
		for _, v := range f.vms[1:] {
			last := v.sent[0]
			for _, at := range v.sent[1:] {
				if f.rng.Float64() < 0.1 {
					continue
				}
				age := at.Sub(last)
				total, old, oldest, last = total+age, old+max(age-500*time.Millisecond, 0), max(oldest, age), at
			}
		}
		if old > total/100 || oldest > 4*f.regular() {
			t.Errorf("%d VMs: loads were older than 500 ms for %v of %v and at most %v old", vms, old, total, oldest)
		}
	}
}

// TestFrozenVMWakes guards against a VM that makes up for rounds that it missed while it was suspended,
// and against one that takes its own suspension for a wait of its calls for long.
func TestFrozenVMWakes(t *testing.T) {
	f := newRoundsFleet(32)
	f.callsWait, f.changePerSecond = true, 36
	f.run(2 * time.Second)
	f.vms[1].frozen = true
	f.run(3 * time.Second)
	f.vms[1].frozen = false
	from := f.now
	f.run(time.Second)
	v := &f.vms[1]
	if lo, _ := intervals(v.sent, from); lo < minEarlyInterval {
		t.Errorf("rounds every %v after a suspension, want at least %v between them", lo, minEarlyInterval)
	}
	n := 0
	for _, at := range v.full {
		if !at.Before(from) && at.Before(from.Add(100*time.Millisecond)) {
			n++
		}
	}
	if n != 1 {
		t.Errorf("%d full rounds within 100 ms of the wake-up, want one", n)
	}
	l, now := loadview.New(), time.Unix(1000, 0)
	for range 8 {
		l.ObserveWait(10*time.Millisecond, now)
	}
	l.ObserveWait(3*time.Second, now) // the call that was in progress
	if l.CallsWait(now) {
		t.Error("calls wait after one call that was suspended, want them not to")
	}
}

// TestVMThatHearsNobody guards against a VM whose early rounds depend on messages of its peers: they may
// hear it while it hears none of them.
func TestVMThatHearsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, stop := startRounds(t, 31)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			x.Load.ObserveWait(150*time.Millisecond, time.Now())
			x.Load.Sent("e1", 2890, time.Now())
		}
		stop()
		if n := x.EarlyRounds.Load(); n < 15 || n > 40 {
			t.Errorf("%d early rounds in 2 s, want about 25", n)
		}
	})
}

// TestLoopAtRest guards against early rounds and wake-ups while calls come but do not wait.
func TestLoopAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, stop := startRounds(t, 31)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			x.Load.ObserveWait(10*time.Millisecond, time.Now())
			x.Load.Sent("e1", 2890, time.Now())
		}
		stop()
		if n, early := x.seq.Load(), x.EarlyRounds.Load(); n != 1+12 || early != 0 {
			t.Errorf("%d rounds in 2 s, %d of them early, want the announcement and one every 155 ms", n, early)
		}
	})
}

// startRounds runs SendLoads of an exchange without a socket. The addresses of its peers are invalid.
func startRounds(t *testing.T, peers int) (x *Exchange, stop func()) {
	x = newExchange()
	x.PrefillRate = 50_000
	x.Unresponsive, x.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
	var all []Peer
	for i := range peers {
		all = append(all, Peer{VM: ids.VM(fmt.Sprint("peer", i)), Addr: "none"})
	}
	x.SetPeers(all)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.SendLoads(ctx)
	}()
	return x, func() { cancel(); <-done }
}

// TestEarlyMessageReplacesLoadsOnly guards against an early message that withdraws what the sender's
// last full message reported, and against one that arrives late and replaces newer loads.
func TestEarlyMessageReplacesLoadsOnly(t *testing.T) {
	x := newExchange()
	x.SetPeers([]Peer{{VM: "vm1", Addr: "127.0.0.1:1"}})
	unresponsive := [][]ids.Target{}
	x.OnUnresponsive = func(_ ids.VM, s []ids.Target) { unresponsive = append(unresponsive, s) }
	load := func(n int) []Load { return []Load{{Target: "e1", InFlight: n}} }
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1, Seq: 1, Loads: load(1), Unresponsive: []ids.Target{"e2"}})
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1, EarlySeq: 3, Loads: load(3)})
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1, EarlySeq: 2, Loads: load(2)})
	if n := x.Load.Total("e1").InFlight; n != 3 || len(unresponsive) != 1 || x.EarlyReceived.Load() != 2 {
		t.Errorf("%d in flight, unresponsive targets set %d times, %d early messages; want 3, 1 and 2", n, len(unresponsive), x.EarlyReceived.Load())
	}
	x.handleMessage(t, Message{VM: "vm1", Incarnation: 1, Seq: 4, Loads: load(4)})
	if n := x.Load.Total("e1").InFlight; n != 4 || len(unresponsive) != 2 {
		t.Errorf("%d in flight, unresponsive targets set %d times after a full message; want 4 and 2", n, len(unresponsive))
	}
}

// TestEarlierReleaseIgnoresEarlyMessages guards against early messages that a VM of an earlier release
// rejects, or takes for a full round, which would withdraw all other state.
func TestEarlierReleaseIgnoresEarlyMessages(t *testing.T) {
	data, err := Encode(&Message{VM: "vm1", Incarnation: 1, EarlySeq: 3, Loads: []Load{{Target: "e1", InFlight: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		VM    ids.VM     `cbor:"1,keyasint"`
		Seq   uint64     `cbor:"2,keyasint,omitempty"`
		Loads []wireLoad `cbor:"5,keyasint,omitempty"`
	}
	if err := cbor.Unmarshal(data[1:], &earlier); err != nil || earlier.VM != "vm1" || earlier.Seq != 0 {
		t.Errorf("got %+v, %v; want a message of vm1 without the number of a round", earlier, err)
	}
}

// TestFullRoundFollowsEarlyRoundWithoutLoads guards against a full round that is skipped because an early
// round has reported that there is no work: peers of earlier releases ignore early rounds and would keep
// the loads of the last full round, and full rounds would stop if every one followed such an early round.
func TestFullRoundFollowsEarlyRoundWithoutLoads(t *testing.T) {
	x := newExchange()
	x.Unresponsive, x.RecentWeights = func() []ids.Target { return nil }, func() []RecentWeights { return nil }
	var sent []Message
	x.transmit = func(data []byte, _ Peer) error {
		m, err := decode(data, x.Resolve)
		sent = append(sent, m)
		return err
	}
	x.SetPeers([]Peer{{VM: "vm1", Addr: "127.0.0.1:1"}})
	for range 3 {
		sent = nil
		w := x.Load.Sent("e1", 2890, time.Unix(1000, 0))
		x.sendEarlyRound()
		w.End()
		x.sendEarlyRound()
		x.sendOwnLoads()
		if len(sent) != 3 || sent[2].Seq == 0 || len(sent[2].Loads) != 0 {
			t.Fatalf("sent %+v, want two early messages and a full one without loads", sent)
		}
	}
	sent = nil
	x.sendOwnLoads()
	if len(sent) != 0 {
		t.Errorf("sent %+v at rest, want the first round skipped", sent)
	}
}

// TestEarlyMessageSize guards against constants that understate the size of early messages, and logs
// the cost of rounds for docs/CAPACITY.md.
func TestEarlyMessageSize(t *testing.T) {
	const headers = 28 // UDP and IPv4
	for _, c := range []struct{ vms, loads int }{{32, 22}, {66, 25}, {100, 25}, {100, 0}, {100, 600}} {
		m := Message{VM: "front-wonosobo-01", Incarnation: 1_764_800_000_000, EarlySeq: 10_000_000}
		for i := range c.loads {
			m.Loads = append(m.Loads, Load{Target: ids.Target(fmt.Sprintf("i-%010x", i)), InFlight: 20, Pending: 9190, NotResumable: 3})
		}
		data, err := Encode(&m)
		if err != nil {
			t.Fatal(err)
		}
		if size := len(data) + headers; size > earlyMessageBytes+c.loads*earlyLoadBytes {
			t.Errorf("%d loads take %d bytes, want at most %d", c.loads, size, earlyMessageBytes+c.loads*earlyLoadBytes)
		}
		interval := earlyInterval(c.vms-1, c.loads)
		perSecond := float64(c.vms-1) / interval.Seconds()
		t.Logf("%d VMs, %d loads: %d bytes with headers, every %v: at most %.0f messages/s and %.1f kB/s to each VM", c.vms, c.loads, len(data)+headers, interval, perSecond, perSecond*float64(len(data)+headers)/1000)
	}
}

// BenchmarkHandleEarlyMessage measures the time that a received early message with 22 loads takes.
func BenchmarkHandleEarlyMessage(b *testing.B) {
	x := newExchange()
	x.Resolve = func(short uint32) (ids.Target, bool) { return ids.Target(fmt.Sprint("e", short%60)), true }
	x.SetPeers([]Peer{{VM: "vm1", Addr: "127.0.0.1:1"}})
	m := Message{VM: "vm1", Incarnation: 1}
	for i := range 22 {
		m.Loads = append(m.Loads, Load{Target: ids.Target(fmt.Sprint("e", i)), InFlight: 2, Pending: 2890})
	}
	var messages [1024][]byte
	for i := range messages {
		m.EarlySeq++
		var err error
		if messages[i], err = Encode(&m); err != nil {
			b.Fatal(err)
		}
	}
	for i := 0; b.Loop(); i++ {
		if i%len(messages) == 0 {
			x.Load = loadview.New() // otherwise the messages are older than the last one
		}
		x.handle(messages[i%len(messages)])
	}
}
