package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
	"github.com/threadwall/threadwall/internal/clock"
)

// A VM may be suspended for seconds, and the monotonic clock does not count them. A proof
// of the configuration that was half a second old before a suspension of twenty seconds
// counted as half a second old after it, so that a key which had been taken away meanwhile
// still passed; and it was looked at when a call was admitted, not when it was sent.
// With time.Now in place of the clock that counts suspensions, the calls below were sent
// after 2 s and 20 s, under a proof that may be 1 s old.

// suspendingDialect lets the VM be suspended after a call was admitted and decided, when
// its headers are written.
type suspendingDialect struct {
	plainDialect
	suspend func()
}

func (d suspendingDialect) WriteSend(h http.Header, s *Send) {
	d.plainDialect.WriteSend(h, s)
	d.suspend()
}

// keyedFleet is a fleet whose route wants a key, with a proof that is new.
func keyedFleet(t *testing.T, s *fakeReplica) *testFleet {
	t.Helper()
	r := route(catalog.Once, 1)
	r.Public, r.Timeout = false, time.Minute
	tf := newFleet(t, r, s)
	tf.f.Catalog.Adopt(catalog.New(catalog.Declaration{
		Version: 2, Routes: []catalog.Route{r}, Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}}},
	}))
	tf.f.KeyTTL.Store(int64(time.Second))
	tf.f.Catalog.Prove(clock.Now())
	return tf
}

// TestSuspendedBeforeSend suspends a VM between the look at a key's proof and the send.
func TestSuspendedBeforeSend(t *testing.T) {
	for _, c := range []struct {
		suspended time.Duration
		sends     int
	}{{200 * time.Millisecond, 1}, {2 * time.Second, 0}, {20 * time.Second, 0}} {
		t.Run(c.suspended.String(), func(t *testing.T) {
			s := newFakeReplica(t, "a", ok("fine"))
			tf := keyedFleet(t, s)
			tf.f.Dialect = suspendingDialect{suspend: func() { clock.Skip(c.suspended) }}
			defer clock.Skip(-c.suspended)
			resp, body, err := tf.ask(t, "Key", "k")
			if err != nil {
				t.Fatal(err)
			}
			if n := len(s.requests()); n != c.sends {
				t.Errorf("the replica got %d calls, want %d", n, c.sends)
			}
			if st := tf.f.Fleet.Refresh().Status(0); st.FailRate != 0 {
				t.Errorf("the replica is blamed: %+v", st)
			}
			if c.sends == 0 && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "") {
				t.Errorf("the caller got %d, %q", resp.StatusCode, body)
			}
		})
	}
}

// TestSuspendedBeyondDeadline suspends a VM for longer than a caller waits: before the send
// nothing is sent any more, and the caller is told that it did not run; while a replica
// works the call ends soon after waking, though its timer has not fired.
func TestSuspendedBeyondDeadline(t *testing.T) {
	const suspended = 20 * time.Second
	t.Run("before the send", func(t *testing.T) {
		s := newFakeReplica(t, "a", ok("fine"))
		tf := newFleet(t, route(catalog.Once, 1), s)
		tf.f.Dialect = suspendingDialect{suspend: func() { clock.Skip(suspended) }}
		defer clock.Skip(-suspended)
		resp, _, err := tf.ask(t)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(s.requests()) != 0 {
			t.Errorf("got %v, %v, and %d sends", resp, err, len(s.requests()))
		}
	})
	t.Run("while a replica works", func(t *testing.T) {
		working := make(chan struct{})
		s := newFakeReplica(t, "a", func(c net.Conn, _ *http.Request) bool {
			close(working)
			_, _ = io.Copy(io.Discard, c) // until the VM hangs up
			return false
		})
		r := route(catalog.Once, 1)
		r.Timeout = suspended / 2
		tf := newFleet(t, r, s)
		go func() {
			<-working
			clock.Skip(suspended)
			if n := tf.f.AfterSuspension(); n != 1 {
				t.Errorf("%d calls were ended", n)
			}
		}()
		defer clock.Skip(-suspended)
		began := time.Now()
		resp, _, err := tf.ask(t)
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("got %v, %v", resp, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("it ended %v after it began", took)
		}
	})
}
