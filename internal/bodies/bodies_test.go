package bodies

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

func content(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 0))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.UintN(256))
	}
	return b
}

func joined(b *Body) []byte { return bytes.Join(b.Segments(), nil) }

// TestBodiesKeepTheirBytes reads and releases bodies in any order, with and without a length: each keeps its bytes, and the memory is
// within the limit and returned at the end.
func TestBodiesKeepTheirBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &Memory{}
		limit := int64(rapid.IntRange(0, 3<<20).Draw(rt, "limit"))
		m.SetLimit(limit)
		var held []*Body
		var want [][]byte
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if len(held) > 0 && rapid.Bool().Draw(rt, "release") {
				i := rapid.IntRange(0, len(held)-1).Draw(rt, "which")
				if !bytes.Equal(joined(held[i]), want[i]) || held[i].Len() != len(want[i]) {
					rt.Fatal("a body has other bytes than were read")
				}
				held[i].Release()
				held, want = append(held[:i:i], held[i+1:]...), append(want[:i:i], want[i+1:]...)
				continue
			}
			text := content(rapid.IntRange(1, 400<<10).Draw(rt, "size"), rapid.Uint64().Draw(rt, "seed"))
			length := int64(-1)
			if rapid.Bool().Draw(rt, "length known") {
				length = int64(len(text))
			}
			b, err := Read(iotest.HalfReader(bytes.NewReader(text)), length, m)
			switch {
			case err == nil:
				held, want = append(held, b), append(want, text)
			case !errors.Is(err, ErrNoMemory):
				rt.Fatal(err)
			}
			if limit > 0 && m.Held() > limit {
				rt.Fatalf("%d bytes are held, allowed are %d", m.Held(), limit)
			}
		}
		for _, b := range held {
			b.Release()
		}
		if n := m.InUse(); n != 0 {
			rt.Fatalf("%d bytes are still in use", n)
		}
		if n := m.Held(); n > keptBytes {
			rt.Fatalf("%d bytes are kept", n)
		}
	})
}

// TestBodyThatBreaksOffIsNone reads bodies that break off: what came of them must not be taken for the whole.
func TestBodyThatBreaksOffIsNone(t *testing.T) {
	for _, length := range []int64{-1, 100, 100_000} {
		m := &Memory{}
		for _, at := range []int{0, 50, 60_000} {
			if int64(at) >= length && length >= 0 {
				continue
			}
			from := io.MultiReader(bytes.NewReader(content(at, 1)), iotest.ErrReader(io.ErrUnexpectedEOF))
			if _, err := Read(from, length, m); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("length %d, broken off at %d: got %v, want io.ErrUnexpectedEOF", length, at, err)
			}
		}
		if n := m.InUse(); n != 0 {
			t.Errorf("%d bytes are still in use", n)
		}
	}
	if _, err := Read(bytes.NewReader(content(50, 1)), 100, &Memory{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that is shorter than its length: got %v, want io.ErrUnexpectedEOF", err)
	}
}

// TestBodyHoldsItsLength guards against reservations far above a body's size: of a buffer that doubles, of a fixed size for small bodies, or of twice a
// body that is exactly as long as allowed.
func TestBodyHoldsItsLength(t *testing.T) {
	for _, size := range []int{1, 100, 10 << 10, 100_000, 1 << 20, 4_000_000, 4 << 20} {
		for _, length := range []int64{-1, int64(size)} {
			m := &Memory{}
			b, err := Read(bytes.NewReader(content(size, 1)), length, m)
			if err != nil {
				t.Fatal(err)
			}
			if n := m.InUse(); n > int64(size+pieceBytes) {
				t.Errorf("a body of %d bytes, length %d, holds %d", size, length, n)
			}
			b.Release()
		}
	}
}

// TestLastHolderReleases has a body held by writers that outlive the call.
func TestLastHolderReleases(t *testing.T) {
	m := &Memory{}
	text := content(300_000, 1)
	b, err := Read(bytes.NewReader(text), -1, m)
	if err != nil {
		t.Fatal(err)
	}
	var writers sync.WaitGroup
	for range 8 {
		b.Hold()
		segments := b.Segments()
		writers.Go(func() {
			defer b.Release()
			if !bytes.Equal(bytes.Join(segments, nil), text) {
				t.Error("a writer reads other bytes")
			}
		})
	}
	b.Release()
	writers.Wait()
	if n := m.InUse(); n != 0 {
		t.Errorf("%d bytes are still in use", n)
	}
}

// TestLoweredLimit lowers the limit while bodies are held: they stay, and new ones fit only once there is room.
func TestLoweredLimit(t *testing.T) {
	m := &Memory{}
	m.SetLimit(2 << 20)
	first, err := Read(bytes.NewReader(content(1<<20, 1)), -1, m)
	if err != nil {
		t.Fatal(err)
	}
	m.SetLimit(1 << 20)
	if _, err := Read(bytes.NewReader(content(300_000, 2)), 300_000, m); !errors.Is(err, ErrNoMemory) {
		t.Errorf("got %v, want ErrNoMemory", err)
	}
	if !bytes.Equal(joined(first), content(1<<20, 1)) {
		t.Error("the first body has changed")
	}
	first.Release()
	if n := m.Held(); n > 1<<20 {
		t.Errorf("%d bytes are held, allowed are 1 MiB", n)
	}
	second, err := Read(bytes.NewReader(content(300_000, 2)), 300_000, m)
	if err != nil {
		t.Fatal(err)
	}
	second.Release()
}
