// Package clock tells time that goes on while the VM is suspended.
//
// A VM may stand still for seconds: the hypervisor suspends it, migrates it, or wakes it
// up later. The monotonic clock that time.Now carries does not count that time, so an age
// taken with it is too young, and what was proven before the suspension is trusted after
// it. The time of day counts it, but may be set. CLOCK_BOOTTIME counts it and only goes
// forward.
//
// The times that this package returns have no monotonic reading: Sub, Before and After
// compare what CLOCK_BOOTTIME said. They lie near the time of day at the start of the
// process, and are not to be shown as that. Timers of package time run on the monotonic
// clock and fire late after a suspension, so whoever acts on one asks Now again.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// base is what is added to CLOCK_BOOTTIME: the time of day at the start, less that clock.
var base = func() time.Duration {
	boot, err := bootTime()
	if err != nil {
		return 0
	}
	return time.Duration(time.Now().UnixNano()) - boot
}()

// skipped is how much time tests have let pass for this clock alone.
var skipped atomic.Int64

// virtual is set where tests run in virtual time.
var virtual atomic.Bool

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// CheckSupport returns an error where the system has no clock that counts suspended time. Now is
// then time.Now, and trust may outlive its proof by the length of a suspension.
func CheckSupport() error {
	_, err := bootTime()
	return err
}

// Now returns the time. It costs a system call of some 60 ns (BenchmarkNow): with the ten
// or so looks that a request takes, 10 requests/s take 0.0006% of a core.
func Now() time.Time {
	boot, err := bootTime()
	if err != nil || virtual.Load() {
		return time.Now().Add(time.Duration(skipped.Load()))
	}
	return time.Unix(0, int64(base+boot)+skipped.Load())
}

// Since returns the time since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// UseVirtualTime has Now follow time.Now, which tests in virtual time replace. For tests.
func UseVirtualTime() { virtual.Store(true) }

// Skip lets time pass for this clock and not for timers, as a suspension does. For tests.
func Skip(d time.Duration) { skipped.Add(int64(d)) }
