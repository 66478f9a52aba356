package rollout

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestUpdateThatEndsBehindTellsVMs declares version 3 while the engine loads version 2: the VMs learn that it serves with version 2.
func TestUpdateThatEndsBehindTellsVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, r := newScripted(t)
		order := s.order
		s.order = func(c Command) error {
			defer func() { s.newest = "3" }()
			return order(c)
		}
		if err := s.send(t, r); err != nil {
			t.Fatal(err)
		}
		if !slices.Equal(s.completed, []ids.WeightsVersion{"2"}) {
			t.Errorf("completed orders are announced as %v, want [2]", s.completed)
		}
		if !slices.Equal(s.set, []ids.WeightsVersion{"2"}) {
			t.Errorf("the replica's weights are recorded as %v, want [2]", s.set)
		}
	})
}
