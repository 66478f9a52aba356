package intake

import (
	"errors"
	"io"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// endless is a peer that always sends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestUnusedBytesAreBounded draws reads and uses in any order: what was read never exceeds the allowance by more than what the uses
// renewed, and a read fails only when nothing is left.
func TestUnusedBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewReader(endless{})
		read, used := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "use") {
				n := rapid.IntRange(0, 1<<16).Draw(rt, "used")
				r.Used(n)
				used += int64(n)
				continue
			}
			n, err := r.Read(make([]byte, rapid.IntRange(1, 1<<20).Draw(rt, "read")))
			read += int64(n)
			if err != nil && (!errors.Is(err, ErrUseless) || read < MaxUnused) {
				rt.Fatalf("%v after %d bytes, of which %d were used", err, read, used)
			}
		}
		if read > MaxUnused+renewal*used {
			rt.Fatalf("%d bytes were read, of which %d were used", read, used)
		}
	})
}

// TestUsesRenewTheAllowance reads far more than the allowance, of which enough is used.
func TestUsesRenewTheAllowance(t *testing.T) {
	r := NewReader(endless{})
	for range 1000 {
		n, err := r.Read(make([]byte, 64<<10))
		if err != nil {
			t.Fatal(err)
		}
		r.Used(n / 6)
	}
}

// TestHeadIsBounded reads a head that does not end, and what follows a head.
func TestHeadIsBounded(t *testing.T) {
	r := NewReader(endless{})
	for range 3 {
		r.BeginHead(1000)
		if n, err := io.CopyN(io.Discard, r, math.MaxInt32); n != 1000 || !errors.Is(err, ErrLongHead) {
			t.Fatalf("got %d bytes, %v, want 1000 and ErrLongHead", n, err)
		}
		r.EndHead()
	}
	if n, err := io.CopyN(io.Discard, r, math.MaxInt32); n != MaxUnused-3000 || !errors.Is(err, ErrUseless) {
		t.Fatalf("got %d bytes, %v, want the rest of the allowance and ErrUseless", n, err)
	}
	r.Renew()
	if _, err := r.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}
