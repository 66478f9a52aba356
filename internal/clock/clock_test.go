package clock

import (
	"context"
	"testing"
	"time"
)

// TestNowGoesForward compares the clock with that of timers: they agree while the system
// runs, and a suspension counts for one alone.
func TestNowGoesForward(t *testing.T) {
	if err := CheckSupport(); err != nil {
		t.Fatalf("the system has no clock that counts suspended time: %v", err)
	}
	before, ran := Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	if d := Since(before) - time.Since(ran); d.Abs() > 5*time.Millisecond {
		t.Errorf("the clocks differ by %v", d)
	}
	const pause = 2 * time.Second
	Skip(pause)
	defer Skip(-pause)
	if d := Since(before) - time.Since(ran) - pause; d.Abs() > 5*time.Millisecond {
		t.Errorf("a suspension of %v counts as %v less", pause, d)
	}
}

// TestWatch suspends for a time that is noticed, once, and for one that is not.
func TestWatch(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	woke := make(chan time.Duration, 10)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, func(length time.Duration) { woke <- length })
	}()
	time.Sleep(2 * lookEvery)
	const short, long = 100 * time.Millisecond, 20 * time.Second
	Skip(short)
	defer Skip(-short - long)
	time.Sleep(3 * lookEvery)
	Skip(long)
	select {
	case length := <-woke:
		if (length - long).Abs() > 100*time.Millisecond {
			t.Errorf("a suspension of %v was seen as %v", long, length)
		}
	case <-time.After(time.Second):
		t.Fatal("the suspension was not noticed within a second")
	}
	time.Sleep(3 * lookEvery)
	cancel()
	<-done
	if len(woke) > 0 {
		t.Errorf("it was noticed again: %v", <-woke)
	}
}

// BenchmarkNow is the cost of one look; time.Now took 40 ns beside it.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// BenchmarkTimeNow is the cost of a look at the clock that stands still.
func BenchmarkTimeNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
