package versionlog

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/streams"
)

// lab runs logs of VMs against one store, in virtual time.
type lab struct {
	t     *testing.T
	store *objectapi.Memory
	all   bool // all VMs list versions

	mu    sync.Mutex
	inUse []ids.SoftwareVersion
}

// use sets the versions in use.
func (w *lab) use(versions ...ids.SoftwareVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inUse = versions
}

// start runs the log of a VM until the returned function is called.
func (w *lab) start() (*Log, func()) {
	ctx, cancel := context.WithCancel(w.t.Context())
	l := &Log{
		Store: w.store, NoOthers: func() (noOthers, known bool) { return w.all, true }, Rank: func() int { return 0 }, OnChange: func() {}, Now: time.Now,
		InUse: func() map[string][]ids.SoftwareVersion {
			w.mu.Lock()
			defer w.mu.Unlock()
			return map[string][]ids.SoftwareVersion{"llm": slices.Clone(w.inUse)}
		},
	}
	f := &follow.Follower{Store: w.store, Prefix: Prefix, Handler: l}
	go f.Run(ctx)
	go l.Run(ctx)
	w.settle()
	return l, func() { cancel(); synctest.Wait() }
}

// settle waits until all logs have seen the versions in use.
func (w *lab) settle() {
	time.Sleep(2 * roundEvery)
	synctest.Wait()
}

// check compares what a log says with what is wanted.
func (w *lab) check(l *Log, when string, want ids.SoftwareVersion, count follow.Count) {
	w.t.Helper()
	if v, c := l.Sole("llm"); v != want || c != count {
		w.t.Errorf("%s: got %q %d, want %q %d", when, v, c, want, count)
	}
}

func run(t *testing.T, f func(w *lab)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(&lab{t: t, store: objectapi.NewMemory(), inUse: []ids.SoftwareVersion{"v1"}, all: true})
	})
}

// TestVersionThatLeftUnseenCounts guards against VMs that take the version they find after a kill of all for the only one.
func TestVersionThatLeftUnseenCounts(t *testing.T) {
	run(t, func(w *lab) {
		l, kill := w.start()
		w.check(l, "one version", "v1", follow.OneVersion)
		kill()
		w.use("v2")
		l, kill = w.start()
		w.check(l, "the old one left while all VMs were down", "", follow.SeveralVersions)
		time.Sleep(streams.RecordTTL)
		w.check(l, "its streams may go on", "", follow.SeveralVersions)
		time.Sleep(unusedFor - streams.RecordTTL)
		w.check(l, "its streams are over", "v2", follow.OneVersion)
		kill()
		l, kill = w.start()
		defer kill()
		w.check(l, "after another kill", "v2", follow.OneVersion)
	})
}

// TestNothingIsWrittenInTheSteadyState checks that the object is written when versions change only, however many VMs run.
func TestNothingIsWrittenInTheSteadyState(t *testing.T) {
	run(t, func(w *lab) {
		for range 8 {
			_, kill := w.start()
			defer kill()
		}
		_, before, _ := w.store.List(t.Context(), Prefix)
		time.Sleep(time.Hour)
		if _, after, _ := w.store.List(t.Context(), Prefix); after != before {
			t.Errorf("%d writes while nothing changed", after-before)
		}
		w.use("v1", "v2")
		time.Sleep(time.Hour)
		if _, after, _ := w.store.List(t.Context(), Prefix); after != before+1 {
			t.Errorf("%d writes for a further version", after-before)
		}
	})
}

// TestFirstObjectBesideOtherReleases checks that a first object proves nothing while VMs of other releases may have begun streams.
func TestFirstObjectBesideOtherReleases(t *testing.T) {
	run(t, func(w *lab) {
		w.all = false
		l, kill := w.start()
		defer kill()
		w.check(l, "other releases ran", "", follow.UnknownCount)
		time.Sleep(unusedFor + roundEvery)
		w.check(l, "their streams are over", "v1", follow.OneVersion)
	})
}

// TestCopyOlderThanAVersionProvesNothing checks that a store that has come back from a copy without a version is believed by no VM that
// starts after that, and completed by one that knew the version.
func TestCopyOlderThanAVersionProvesNothing(t *testing.T) {
	for name, survives := range map[string]bool{"all VMs are killed": false, "a VM lives on": true} {
		t.Run(name, func(t *testing.T) {
			run(t, func(w *lab) {
				l, kill := w.start()
				copied := w.store.Snapshot()
				w.use("v1", "v2")
				w.settle()
				w.check(l, "two versions", "", follow.SeveralVersions)
				if !survives {
					kill()
				}
				w.store.Restore(copied)
				w.use("v1")
				if survives {
					w.settle()
					kill()
				}
				want := follow.UnknownCount
				if survives {
					want = follow.SeveralVersions
				}
				l, kill = w.start()
				defer kill()
				w.check(l, "after the copy", "", want)
				time.Sleep(unusedFor + roundEvery)
				w.check(l, "the streams of before are over", "v1", follow.OneVersion)
			})
		})
	}
}

// TestOutageRestartsTheTimeUnused checks that a version is not removed for a time that an outage of the store hid.
func TestOutageRestartsTheTimeUnused(t *testing.T) {
	run(t, func(w *lab) {
		w.use("v1", "v2")
		l, kill := w.start()
		defer kill()
		w.use("v2")
		time.Sleep(unusedFor - 5*time.Second)
		l.Unavailable()
		time.Sleep(unusedFor - 5*time.Second)
		w.check(l, "after an outage", "", follow.SeveralVersions)
		time.Sleep(10 * time.Second)
		w.check(l, "unused for long enough", "v2", follow.OneVersion)
	})
}
