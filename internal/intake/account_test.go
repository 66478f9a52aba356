package intake

import (
	"errors"
	"io"
	"testing"

	"pgregory.net/rapid"
)

// TestSharesStayWithinTheAccount draws changes of shares in any order: their sum never exceeds the account, pinned shares and those that
// hold little are not evicted, and a share whose memory others need is told so once.
func TestSharesStayWithinTheAccount(t *testing.T) {
	const limit, number = 1 << 20, 8
	rapid.Check(t, func(rt *rapid.T) {
		a := NewAccount(limit)
		shares, held, pinned, evicted := [number]*Share{}, [number]int64{}, [number]bool{}, [number]int{}
		for i := range shares {
			shares[i] = a.Share(func() { evicted[i]++ })
		}
		failed := [number]bool{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			i := rapid.IntRange(0, number-1).Draw(rt, "share")
			if rapid.Bool().Draw(rt, "pin") {
				pinned[i] = held[i] > freeBytes && evicted[i] == 0 && !failed[i]
				shares[i].Pin()
				continue
			}
			shares[i].Unpin()
			pinned[i] = false
			bytes := rapid.Int64Range(0, limit).Draw(rt, "bytes")
			err := shares[i].Set(bytes)
			if err != nil && !errors.Is(err, ErrCrowded) {
				rt.Fatal(err)
			}
			if err == nil && (evicted[i] > 0 || failed[i]) {
				rt.Fatal("a share that was evicted holds memory again")
			}
			failed[i] = failed[i] || err != nil
			held[i] = bytes
			if a.Held() > limit {
				rt.Fatalf("%d bytes are held, want %d at most", a.Held(), limit)
			}
			for j := range shares {
				if evicted[j] > 1 || evicted[j] == 1 && pinned[j] {
					rt.Fatalf("share %d was evicted %d times, pinned: %t", j, evicted[j], pinned[j])
				}
			}
		}
	})
}

// TestLargestShareMakesRoom fills an account by many small shares and a large one: the large one makes room for a small one more.
func TestLargestShareMakesRoom(t *testing.T) {
	a, evicted := NewAccount(1<<20), false
	large := a.Share(func() { evicted = true })
	if err := large.Set(600 << 10); err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if err := a.Share(func() { t.Error("a small share was evicted") }).Set(30 << 10); err != nil {
			t.Fatal(err)
		}
	}
	if err := large.Set(0); !evicted || !errors.Is(err, ErrCrowded) {
		t.Errorf("evicted: %t, %v, want the large share evicted", evicted, err)
	}
}

// TestManyReadersStayWithinTheAccount has many peers send without an end: what is read of all together stays within the account, and a peer
// that sends little is read meanwhile.
func TestManyReadersStayWithinTheAccount(t *testing.T) {
	a := NewAccount(1 << 20)
	var readers []*Reader
	for range 100 {
		r := NewReader(endless{})
		r.Count(a.Share(func() {}))
		readers = append(readers, r)
	}
	little := NewReader(endless{})
	little.Count(a.Share(func() { t.Error("the peer that sends little was evicted") }))
	for range 50 {
		for _, r := range readers {
			_, _ = r.Read(make([]byte, 8<<10))
			if a.Held() > a.Limit() {
				t.Fatalf("%d bytes are held", a.Held())
			}
		}
		if _, err := io.CopyN(io.Discard, little, freeBytes/unusedFactor); err != nil {
			t.Fatal(err)
		}
		little.Used(freeBytes / unusedFactor)
	}
	for _, r := range readers {
		r.Close()
	}
	if a.Held() != 0 {
		t.Errorf("%d bytes are held by nobody", a.Held())
	}
}
