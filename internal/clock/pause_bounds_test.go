package clock

import (
	"testing"
	"time"
)

// TestPauseBounds checks the shortest pause that counts, and the end of the time in which the process may still read what arrived during one.
func TestPauseBounds(t *testing.T) {
	t0 := time.Now()
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name      string
		ran       []int
		now, want int
	}{
		{"shortest pause, not noticed yet", []int{0}, 200, 0},
		{"shortest pause, noticed", []int{0, 200}, 210, 0},
		{"still catching up", []int{0, 2000, 2150, 2300, 2450, 2600, 2750, 2900}, 2990, 0},
	} {
		p := &Pauses{}
		for _, ms := range c.ran {
			p.running(at(ms))
		}
		if got := p.ArrivedSince(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: got %v, want %v", c.name, got.Sub(t0), at(c.want).Sub(t0))
		}
	}
}
