package mirror

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/mirrorpb"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/timing"
)

// testVM is a VM that mirrors a store of one key space; the store is a counter, its revision.
type testVM struct {
	name      ids.VM
	space     *Space
	reader    *Reader
	server    *grpc.Server
	addr      string
	storeLost atomic.Bool
	lists     atomic.Int64

	mu   sync.Mutex
	sent time.Time // when the call behind the last received proof was sent
}

func (v *testVM) Listed(_ []objectapi.Object, at follow.At, _ bool) { v.Unchanged(at) }
func (v *testVM) Changed(_ []objectapi.Object, at follow.At)        { v.Unchanged(at) }
func (v *testVM) Unchanged(at follow.At) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent = at.Sent
}

func (v *testVM) proofAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.sent)
}

func (v *testVM) revision() objectapi.Revision {
	at, _ := v.space.At()
	return at.Revision
}

// startVMs starts n VMs; each may read from all before it.
func startVMs(t *testing.T, store *atomic.Uint64, n int) []*testVM {
	t.Helper()
	return startChain(t, store, n, n)
}

// startChain starts n VMs; each may read from the given number of VMs right before it.
func startChain(t *testing.T, store *atomic.Uint64, n, upstreams int) []*testVM {
	t.Helper()
	var vms []*testVM
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range n {
		v := &testVM{name: ids.VM(rune('a' + i))}
		notifier := &Notifier{}
		v.space = &Space{Prefix: "p/", Next: v, Notifier: notifier}
		var peers []Peer
		for _, p := range vms[max(len(vms)-upstreams, 0):] {
			peers = append(peers, Peer{VM: p.name, Addr: p.addr})
		}
		v.reader = &Reader{Spaces: []*Space{v.space}, UpstreamPeers: func() []Peer { return peers }, ReadStore: func(ctx context.Context) { v.direct(ctx, store) }}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v.addr, v.server = l.Addr().String(), grpc.NewServer()
		mirrorpb.RegisterMirrorServer(v.server, &Server{Spaces: []*Space{v.space}, Notifier: notifier})
		wg.Go(func() { _ = v.server.Serve(l) })
		t.Cleanup(v.server.Stop)
		vms = append(vms, v)
	}
	for _, v := range vms {
		wg.Go(func() { v.reader.Run(ctx) })
	}
	return vms
}

// direct reads the store every 10 ms unless storeLost is set.
func (v *testVM) direct(ctx context.Context, store *atomic.Uint64) {
	for listed := false; ; {
		if !v.storeLost.Load() {
			at := follow.At{Revision: objectapi.Revision(store.Load()), Sent: time.Now(), Answered: time.Now()}
			if listed {
				v.space.Changed([]objectapi.Object{{Key: "p/x", Version: at.Revision}}, at)
			} else {
				v.lists.Add(1)
				v.space.Listed([]objectapi.Object{{Key: "p/x", Version: at.Revision}}, at, false)
				listed = true
			}
		}
		if !timing.Sleep(ctx, 10*time.Millisecond) {
			return
		}
	}
}

func await(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timeout after %v: %s", within, what)
}

// awaitTimeout is far longer than any condition in these tests takes.
const awaitTimeout = 10 * time.Second

// TestReadsFromFirstServingPeer has the first VM serve three others, lose contact with the store,
// regain it and fail: the others must receive each change throughout.
func TestReadsFromFirstServingPeer(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMs(t, &store, 4)
	all := func(what string) {
		t.Helper()
		rev := objectapi.Revision(store.Add(1))
		for _, v := range vms {
			if !v.storeLost.Load() {
				await(t, what+" at "+string(v.name), awaitTimeout, func() bool { return v.revision() >= rev })
			}
		}
	}
	reads := func(v *testVM, from string) {
		t.Helper()
		await(t, string(v.name)+" reads from "+from, awaitTimeout, func() bool { return v.reader.Source() == from })
	}
	for _, v := range vms[1:] {
		reads(v, "a")
	}
	all("a change")
	vms[0].storeLost.Store(true)
	reads(vms[1], storeSource)
	reads(vms[2], "b")
	all("a change while the first VM has lost the store")
	vms[0].storeLost.Store(false)
	for _, v := range vms[1:] {
		reads(v, "a")
	}
	vms[0].server.Stop()
	vms[0].storeLost.Store(true)
	reads(vms[3], "b")
	all("a change after the first VM has failed")
}

// TestProofAgeIsNotUnderstated checks that a reader never takes a peer's data for newer than
// the peer's own call to the store.
func TestProofAgeIsNotUnderstated(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMs(t, &store, 2)
	await(t, "b reads from a", awaitTimeout, func() bool { return vms[1].reader.Source() == "a" })
	vms[0].storeLost.Store(true)
	time.Sleep(30 * time.Millisecond) // until calls in flight have ended
	at, _ := vms[0].space.At()
	for range 40 {
		if own, age := time.Since(at.Sent), vms[1].proofAge(); vms[1].reader.Source() == "a" && age < own-time.Millisecond {
			t.Fatalf("the proof is %v old at its source and %v at the reader", own, age)
		}
		time.Sleep(10 * time.Millisecond)
	}
	await(t, "b reads the store", awaitTimeout, func() bool { return vms[1].reader.Source() == storeSource })
}

// TestProofAgeOverTwoReaders is TestProofAgeIsNotUnderstated for a VM that reads from a peer that
// in turn reads from the store reader.
func TestProofAgeOverTwoReaders(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startChain(t, &store, 3, 1)
	chained := func() bool { return vms[1].reader.Source() == "a" && vms[2].reader.Source() == "b" }
	await(t, "c reads from b, b from a", awaitTimeout, chained)
	rev := store.Add(1)
	await(t, "a change at c", awaitTimeout, func() bool { return uint64(vms[2].revision()) >= rev })
	vms[0].storeLost.Store(true)
	time.Sleep(30 * time.Millisecond) // until calls in flight have ended
	at, _ := vms[0].space.At()
	samples := 0
	for range 60 {
		if own, age := time.Since(at.Sent), vms[2].proofAge(); chained() {
			samples++
			if age < own-time.Millisecond {
				t.Fatalf("the proof is %v old at its source and %v after two readers", own, age)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if samples < 10 {
		t.Errorf("only %d samples while each VM read from the one before it", samples)
	}
}

// TestWaitingReadReturnsOnChange checks that a waiting read returns when something changes,
// not at the end of its wait.
func TestWaitingReadReturnsOnChange(t *testing.T) {
	s := &Space{Prefix: "p/", Next: &recorder{}, Notifier: &Notifier{}}
	srv := &Server{Spaces: []*Space{s}, Notifier: s.Notifier}
	s.Listed(nil, follow.At{Revision: 1, Sent: time.Now(), Answered: time.Now()}, false)
	go func() {
		time.Sleep(20 * time.Millisecond)
		s.Changed([]objectapi.Object{{Key: "p/x", Version: 2}}, follow.At{Revision: 2, Sent: time.Now(), Answered: time.Now()})
	}()
	began := time.Now()
	a, err := srv.Read(t.Context(), &mirrorpb.ReadRequest{WaitMs: 2000, Have: []*mirrorpb.Position{{Prefix: "p/", Copy: s.copyID, Change: s.change}}})
	if err != nil || len(a.Parts) != 1 || a.Parts[0].Revision != 2 || a.Parts[0].Whole || time.Since(began) > time.Second {
		t.Fatalf("got %v, %v after %v; want the change to revision 2 within 1 s", a, err, time.Since(began))
	}
	if _, err := srv.Read(t.Context(), &mirrorpb.ReadRequest{Have: []*mirrorpb.Position{{Prefix: "q/"}}}); err == nil {
		t.Fatal("reading an unknown key space succeeded")
	}
}
