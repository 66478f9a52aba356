package objectapi

import (
	"context"
	"errors"
	"slices"
	"testing"
)

func revision(t *testing.T, era Era, number uint64) Revision {
	t.Helper()
	r, err := NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRevisionsAreOrderedByEra checks the order, the parts and the text of revisions.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	ordered := []Revision{0, revision(t, 0, 1), revision(t, 0, maxNumber), revision(t, 1, 0), revision(t, 1, 60), revision(t, 2, 52), revision(t, maxEra, maxNumber)}
	if !slices.IsSorted(ordered) {
		t.Errorf("not in ascending order: %v", ordered)
	}
	r := revision(t, 2, 52)
	if r.Era() != 2 || r.Number() != 52 || r.String() != "2/52" || revision(t, 0, 7).String() != "7" {
		t.Errorf("got era %d, number %d, text %q", r.Era(), r.Number(), r)
	}
	for _, tooLarge := range []struct {
		era    Era
		number uint64
	}{{maxEra + 1, 0}, {0, maxNumber + 1}} {
		if _, err := NewRevision(tooLarge.era, tooLarge.number); err == nil {
			t.Errorf("no error for era %d, number %d", tooLarge.era, tooLarge.number)
		}
	}
	for _, text := range []string{"-1", "x", "65536"} {
		if _, err := ParseEra(text); err == nil {
			t.Errorf("no error for era %q", text)
		}
	}
}

// TestWriteAtNumberGivenOutAgain checks that a write on condition of a version of an era that is over
// is not reported as done, although the store carries it out: the number was given out again.
func TestWriteAtNumberGivenOutAgain(t *testing.T) {
	ctx, m := context.Background(), NewMemory()
	old := m.Snapshot()
	before, err := m.Create(ctx, "k", []byte("lost"))
	if err != nil {
		t.Fatal(err)
	}
	m.Restore(old)
	if o, err := m.Get(ctx, "k"); !errors.Is(err, ErrNotFound) || o.Version.Era() != 1 {
		t.Fatalf("got version %v, error %v, want era 1 and ErrNotFound", o.Version, err)
	}
	if _, _, err := m.Watch(ctx, "", before); !errors.Is(err, ErrCompacted) {
		t.Errorf("a watch from the era before got %v, want ErrCompacted", err)
	}
	again, err := m.Create(ctx, "k", []byte("another's"))
	if err != nil || again.Number() != before.Number() || again <= before {
		t.Fatalf("got revision %v, %v, want the number of %v in a newer era", again, err, before)
	}
	if _, err := m.Update(ctx, "k", []byte("mine"), before); !errors.Is(err, ErrAmbiguous) {
		t.Errorf("got %v, want ErrAmbiguous", err)
	}
}
