package news

import (
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// TestProofCountsFromTheQuestion lets an answer come late: the proof that it brings
// counts from the sending of the question, so a late answer makes it older.
func TestProofCountsFromTheQuestion(t *testing.T) {
	const lag, age = 150 * time.Millisecond, time.Second
	proven := make(chan time.Time, 1)
	start := func(vm ids.VM) *Exchange {
		x := &Exchange{
			VM: vm, Listen: "127.0.0.1:0", Load: loadview.New(), Ordered: func(Order) {},
			Prove: func() (Proof, bool) {
				time.Sleep(lag) // the peer is slow to answer
				return Proof{Version: 7, Age: age}, true
			},
			Proven: func(p Proof, asked time.Time) { proven <- asked.Add(-p.Age) },
		}
		if err := x.Start(); err != nil {
			t.Fatal(err)
		}
		go x.Hear(t.Context())
		return x
	}
	a, b := start("a"), start("b")
	a.SetPeers([]Peer{{VM: "b", Addr: b.conn.LocalAddr().String()}})
	before := time.Now()
	a.AskProof([]ids.VM{"b"})
	at := <-proven
	if at.Before(before.Add(-age)) || at.After(before.Add(-age+lag/2)) {
		t.Fatalf("the proof is of %v before the question, want %v", before.Sub(at), age)
	}
	a.proven(Proof{Number: 99, Version: 7})
	select {
	case <-proven:
		t.Fatal("an answer to no question was taken in")
	default:
	}
}
