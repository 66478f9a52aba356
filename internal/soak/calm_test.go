package soak

import (
	"os/exec"
	"testing"
	"testing/synctest"
	"time"
)

// TestNotFaultFreeDuringFault lets a fault last longer than faultFreeTime. The VM must not count as
// free of faults while the fault lasts, nor until faultFreeTime after its end.
func TestNotFaultFreeDuringFault(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &process{cmd: &exec.Cmd{}}
		if !p.faultFree(faultFreeTime) {
			t.Error("a VM that had no fault does not count as fault-free")
		}
		first, second := p.begin(), p.begin()
		for range 3 {
			time.Sleep(faultFreeTime + time.Millisecond)
			if p.faultFree(faultFreeTime) {
				t.Error("a VM counts as fault-free while a fault lasts")
			}
		}
		first()
		time.Sleep(faultFreeTime + time.Millisecond)
		if p.faultFree(faultFreeTime) {
			t.Error("a VM counts as fault-free while a second fault lasts")
		}
		second()
		if p.faultFree(faultFreeTime) {
			t.Error("a VM counts as fault-free right after a fault")
		}
		time.Sleep(faultFreeTime + time.Millisecond)
		if !p.faultFree(faultFreeTime) {
			t.Error("a VM does not count as fault-free again after faultFreeTime")
		}
	})
}

// TestKeyRefusedWithoutFault checks refused calls whose key is revoked, was issued less than
// propagationTime ago, is older, or existed from the start. Only the first two may be refused.
func TestKeyRefusedWithoutFault(t *testing.T) {
	now := time.Now()
	h := &harness{revoked: map[string]time.Time{"gone": now}, issued: map[string]time.Time{"new": now}}
	c := &checker{h: h}
	for _, k := range []struct {
		key  string
		sent time.Duration // after the change
		want bool
	}{{"gone", 0, true}, {"new", 0, true}, {"new", propagationTime - 1, true}, {"new", propagationTime, false}, {"first", 0, false}} {
		if got := c.acceptable(&call{key: k.key, sent: now.Add(k.sent), status: 401}); got != k.want {
			t.Errorf("refused call with key %q, sent %v after the change: acceptable() = %v, want %v", k.key, k.sent, got, k.want)
		}
	}
}
