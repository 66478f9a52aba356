package clock

import (
	"testing"
	"time"
)

// TestPauses checks what arrived during a pause, also before the watch has noticed it and after two pauses in a row.
func TestPauses(t *testing.T) {
	t0 := time.Now()
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name      string
		ran       []int
		now, want int
	}{
		{"not watched yet", nil, 5000, 5000},
		{"runs all the time", []int{0, 50, 100}, 120, 120},
		{"a short gap", []int{0, 150, 300}, 350, 350},
		{"before the watch notices", []int{0, 50}, 2050, 50},
		{"right after a pause", []int{0, 50, 2050, 2100}, 2120, 50},
		{"caught up", []int{0, 50, 2050, 2200, 2350, 2500, 2650, 2800, 2950, 3040}, 3060, 3060},
		{"two pauses in a row", []int{0, 50, 2050, 2200, 4000}, 4100, 50},
		{"two pauses far apart", []int{0, 300, 400, 550, 700, 850, 1000, 1150, 1300, 1450, 3000}, 3100, 1450},
	} {
		p := &Pauses{}
		for _, ms := range c.ran {
			p.running(at(ms))
		}
		if got := p.ArrivedSince(at(c.now)); !got.Equal(at(c.want)) {
			t.Errorf("%s: got %v, want %v", c.name, got.Sub(t0), at(c.want).Sub(t0))
		}
	}
	var none *Pauses
	if got := none.ArrivedSince(t0); !got.Equal(t0) {
		t.Errorf("without a watch: got %v", got.Sub(t0))
	}
}
