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

// testVM is an entry VM that reads a store of one key space: the revision is what the
// store's counter says.
type testVM struct {
	name   ids.VM
	space  *Space
	reader *Reader
	server *grpc.Server
	addr   string
	cut    atomic.Bool // from the store
	lists  atomic.Int64

	mu   sync.Mutex
	sent time.Time // the proof that was heard last
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

// startVMs starts VMs of which each reads from those before it.
func startVMs(t *testing.T, store *atomic.Uint64, n int) []*testVM {
	t.Helper()
	return startVMsBehind(t, store, n, n)
}

// startVMsBehind starts VMs of which each reads from so many VMs right before it.
func startVMsBehind(t *testing.T, store *atomic.Uint64, n, behind int) []*testVM {
	t.Helper()
	var vms []*testVM
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for i := range n {
		v := &testVM{name: ids.VM(rune('a' + i))}
		bell := &Notifier{}
		v.space = &Space{Prefix: "p/", Next: v, Notifier: bell}
		var peers []Peer
		for _, p := range vms[max(len(vms)-behind, 0):] {
			peers = append(peers, Peer{VM: p.name, Addr: p.addr})
		}
		v.reader = &Reader{Spaces: []*Space{v.space}, UpstreamPeers: func() []Peer { return peers }, ReadStore: func(ctx context.Context) { v.direct(ctx, store) }}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		v.addr, v.server = l.Addr().String(), grpc.NewServer()
		mirrorpb.RegisterMirrorServer(v.server, &Server{Spaces: []*Space{v.space}, Notifier: bell})
		wg.Go(func() { _ = v.server.Serve(l) })
		t.Cleanup(v.server.Stop)
		vms = append(vms, v)
	}
	for _, v := range vms {
		wg.Go(func() { v.reader.Run(ctx) })
	}
	return vms
}

// direct reads the store every few milliseconds.
func (v *testVM) direct(ctx context.Context, store *atomic.Uint64) {
	for listed := false; ; {
		if !v.cut.Load() {
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
	t.Fatalf("not within %v: %s", within, what)
}

// soon is far longer than anything here takes.
const soon = 10 * time.Second

// TestReadsFromTheFirstThatServes lets the first VM read for three others, then lose
// the store, then come back, then die: the others hear each change all the while.
func TestReadsFromTheFirstThatServes(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMs(t, &store, 4)
	all := func(what string) {
		t.Helper()
		rev := objectapi.Revision(store.Add(1))
		for _, v := range vms {
			if !v.cut.Load() {
				await(t, what+" at "+string(v.name), soon, func() bool { return v.revision() >= rev })
			}
		}
	}
	reads := func(v *testVM, from string) {
		t.Helper()
		await(t, string(v.name)+" reads from "+from, soon, func() bool { return v.reader.Source() == from })
	}
	for _, v := range vms[1:] {
		reads(v, "a")
	}
	all("a change")
	vms[0].cut.Store(true)
	reads(vms[1], storeSource)
	reads(vms[2], "b")
	all("a change while the first has lost the store")
	vms[0].cut.Store(false)
	for _, v := range vms[1:] {
		reads(v, "a")
	}
	vms[0].server.Stop()
	vms[0].cut.Store(true)
	reads(vms[3], "b")
	all("a change after the first has died")
}

// TestProofIsNeverTooYoung checks that what a peer passes on is never said to be newer
// than the peer's own call of the store.
func TestProofIsNeverTooYoung(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMs(t, &store, 2)
	await(t, "b reads from a", soon, func() bool { return vms[1].reader.Source() == "a" })
	vms[0].cut.Store(true)
	time.Sleep(30 * time.Millisecond) // a call that had begun ends
	at, _ := vms[0].space.At()
	for range 40 {
		if own, age := time.Since(at.Sent), vms[1].proofAge(); vms[1].reader.Source() == "a" && age < own-time.Millisecond {
			t.Fatalf("the proof is %v old at its source and %v at the reader", own, age)
		}
		time.Sleep(10 * time.Millisecond)
	}
	await(t, "b reads the store", soon, func() bool { return vms[1].reader.Source() == storeSource })
}

// TestProofOverTwoReaders checks the same where one VM reads from another that reads from
// the one with the store.
func TestProofOverTwoReaders(t *testing.T) {
	var store atomic.Uint64
	store.Store(1)
	vms := startVMsBehind(t, &store, 3, 1)
	chained := func() bool { return vms[1].reader.Source() == "a" && vms[2].reader.Source() == "b" }
	await(t, "c reads from b, b from a", soon, chained)
	rev := store.Add(1)
	await(t, "a change at c", soon, func() bool { return uint64(vms[2].revision()) >= rev })
	vms[0].cut.Store(true)
	time.Sleep(30 * time.Millisecond) // a call that had begun ends
	at, _ := vms[0].space.At()
	looks := 0
	for range 60 {
		if own, age := time.Since(at.Sent), vms[2].proofAge(); chained() {
			looks++
			if age < own-time.Millisecond {
				t.Fatalf("the proof is %v old at its source and %v two readers on", own, age)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	if looks < 10 {
		t.Errorf("only %d looks while the chain stood", looks)
	}
}

// TestWaitingQuestionEndsAtAChange checks that a question does not wait for its time
// when something changes.
func TestWaitingQuestionEndsAtAChange(t *testing.T) {
	s := &Space{Prefix: "p/", Next: &holder{}, Notifier: &Notifier{}}
	srv := &Server{Spaces: []*Space{s}, Notifier: s.Notifier}
	s.Listed(nil, follow.At{Revision: 1, Sent: time.Now(), Answered: time.Now()}, false)
	go func() {
		time.Sleep(20 * time.Millisecond)
		s.Changed([]objectapi.Object{{Key: "p/x", Version: 2}}, follow.At{Revision: 2, Sent: time.Now(), Answered: time.Now()})
	}()
	began := time.Now()
	a, err := srv.Read(t.Context(), &mirrorpb.ReadRequest{WaitMs: 2000, Have: []*mirrorpb.Position{{Prefix: "p/", Copy: s.copyID, Change: s.change}}})
	if err != nil || len(a.Parts) != 1 || a.Parts[0].Revision != 2 || a.Parts[0].Whole || time.Since(began) > time.Second {
		t.Fatalf("got %v, %v after %v", a, err, time.Since(began))
	}
	if _, err := srv.Read(t.Context(), &mirrorpb.ReadRequest{Have: []*mirrorpb.Position{{Prefix: "q/"}}}); err == nil {
		t.Fatal("a key space that is not there was read")
	}
}
