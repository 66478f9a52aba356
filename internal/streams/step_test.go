package streams

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
)

// TestVMsOutOfStepDoNotGuess guards against streams that go on at the version which VMs take for the only one that are cut off together.
func TestVMsOutOfStepDoNotGuess(t *testing.T) {
	old := VersionOf("llm", "v1")
	for _, vms := range []int{2, 3, 6, 60} {
		for _, after := range []time.Duration{200 * time.Millisecond, testAliveFor + time.Second} {
			t.Run(fmt.Sprintf("%d VMs, after %v", vms, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, scenario{vms: vms, domains: 3}, 1)
					for i, v := range f.all {
						sole := Several
						if i%3 == 0 {
							sole = old
						}
						v.d.Sole = func(uint64) Version { return sole }
					}
					f.cut("z0", 1)
					time.Sleep(after)
					for i := range 20 {
						k := KeyOf("t1", "h", ids.Request(fmt.Sprint("q", i)))
						f.all[1].d.Begin(k, "llm", "v2")
						time.Sleep(50 * time.Millisecond)
						if v, result := f.all[0].d.Lookup(context.Background(), k, "llm"); result == Found {
							t.Errorf("the stream goes on at %d, it began at %d; the VMs cut off know %d", v, VersionOf("llm", "v2"), old)
							break
						}
					}
					for _, v := range f.all {
						v.kill()
					}
				})
			})
		}
	}
}

// TestVMThatStoodStillAsksTheStore has a VM take up streams that has not heard of the second version yet, and reaches no peer.
func TestVMThatStoodStillAsksTheStore(t *testing.T) {
	old := VersionOf("llm", "v1")
	for name, c := range map[string]struct {
		listed Version
		ok     bool
		want   Result
	}{
		"a second version":            {Several, true, NotFound},
		"one version":                 {old, true, Found},
		"the store does not answer":   {0, false, NotFound},
		"the store does not know yet": {0, true, Found}, // as this VM has seen it
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Directory{VM: "vm0", Peers: func() []Peer { return nil }, Sole: func(uint64) Version { return old }, Send: func(ids.VM, Message) {}, Now: time.Now}
				d.Prove = func(context.Context, string) (Version, bool) {
					time.Sleep(2 * time.Millisecond)
					return c.listed, c.ok
				}
				v, result := d.Lookup(context.Background(), KeyOf("t1", "h", "q1"), "llm")
				if (result == Found) != (c.want == Found) || result == Found && v != old {
					t.Errorf("got %d, %v, want %v", v, result, c.want)
				}
			})
		})
	}
}

// TestStreamsGoOnWhileTheStoreIsAway takes up streams from before a roll-out while the store answers nobody.
func TestStreamsGoOnWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, scenario{vms: 6, domains: 3, soleUntil: time.Hour}, 1)
		for _, v := range f.all {
			v.d.Prove = func(context.Context, string) (Version, bool) { return 0, false }
		}
		for i := range 20 {
			k := KeyOf("t1", "h", ids.Request(fmt.Sprint("q", i)))
			f.all[1].d.Begin(k, "llm", "v2")
			if v, result := f.all[0].d.Lookup(context.Background(), k, "llm"); result != Found || v != VersionOf("llm", "v2") {
				t.Errorf("got %d, %v, want the only version", v, result)
			}
		}
		for _, v := range f.all {
			v.kill()
		}
	})
}

// TestUnnamedStreamIsRefusedAtOnce takes up a stream that the caller does not name, while the store lists several versions and no peer answers.
func TestUnnamedStreamIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, scenario{vms: 6, domains: 3, soleUntil: time.Hour, loss: 1}, 1)
		d := f.all[0].d
		d.Prove = func(context.Context, string) (Version, bool) { return Several, true }
		began := time.Now()
		if v, result := d.LookupUnnamed(context.Background(), KeyOf("t1", "h", "q1"), "llm"); result == Found || time.Since(began) > 0 {
			t.Errorf("got %d, %v after %v", v, result, time.Since(began))
		}
		for _, v := range f.all {
			v.kill()
		}
	})
}

// TestVMsOutOfStepDoNotGuessForUnnamedStreams does the same for calls that name no stream, with one VM or a whole failure domain that knows the old
// version only: cut off, or in touch again and not yet up to date.
func TestVMsOutOfStepDoNotGuessForUnnamedStreams(t *testing.T) {
	old := VersionOf("llm", "v1")
	for _, vms := range []int{2, 3, 6, 60} {
		for _, together := range []bool{false, true} {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d VMs, together %v, cut %v", vms, together, cut), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newTestFleet(t, scenario{vms: vms, domains: 3}, 1)
						for i, v := range f.all {
							sole := Several
							if i == 0 || together && i%3 == 0 {
								sole = old
							}
							v.d.Sole = func(uint64) Version { return sole }
						}
						if cut {
							f.cut("z0", 1)
							time.Sleep(testAliveFor + time.Second)
						}
						for i := range 20 {
							k := KeyOf("t1", "h", ids.Request(fmt.Sprint("q", i)))
							if v, result := f.all[0].d.LookupUnnamed(context.Background(), k, "llm"); result == Found {
								t.Errorf("the stream goes on at %d", v)
							}
						}
						for _, v := range f.all {
							v.kill()
						}
					})
				})
			}
		}
	}
}
