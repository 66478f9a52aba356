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

// A VM may be suspended for seconds, which the monotonic clock does not count. The tests below
// guard against a fault in which a proof of the configuration that was 0.5 s old before a
// suspension of 20 s counted as 0.5 s old after it, so that a key revoked in that time was still
// accepted. In addition, the VM checked the proof only when it admitted a call, not when it sent
// the call. With time.Now instead of the clock that counts suspensions, the calls below are sent
// after suspensions of 2 s and 20 s, although the proof may be at most 1 s old.

// suspendingDialect suspends the VM when a call's headers are written, after its admission and
// decision.
type suspendingDialect struct {
	plainDialect
	suspend func()
}

func (d suspendingDialect) WriteSend(h http.Header, s *Send) {
	d.plainDialect.WriteSend(h, s)
	d.suspend()
}

// keyedFleet is a fleet whose route requires a key, with a fresh proof of the catalog.
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

// TestSuspendedBeforeSend suspends a VM between the check of the catalog's proof and the send.
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
				t.Errorf("the replica received %d calls, want %d", n, c.sends)
			}
			if st := tf.f.Fleet.Refresh().Status(0); st.FailRate != 0 {
				t.Errorf("the refusal counts against the replica: %+v", st)
			}
			if c.sends == 0 && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "") {
				t.Errorf("the caller got %d, %q, want 503 with a Retry-After", resp.StatusCode, body)
			}
		})
	}
}

// TestSuspendedBeyondDeadline suspends a VM for longer than a caller waits. After a suspension before
// the send, nothing is sent, and the caller learns that the call did not run. After a suspension
// while a replica works on the call, the call ends soon, although its timer has not fired.
func TestSuspendedBeyondDeadline(t *testing.T) {
	const suspended = 20 * time.Second
	t.Run("before the send", func(t *testing.T) {
		s := newFakeReplica(t, "a", ok("fine"))
		tf := newFleet(t, route(catalog.Once, 1), s)
		tf.f.Dialect = suspendingDialect{suspend: func() { clock.Skip(suspended) }}
		defer clock.Skip(-suspended)
		resp, _, err := tf.ask(t)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(s.requests()) != 0 {
			t.Errorf("got %v, %v, and %d sends, want 503 and no sends", resp, err, len(s.requests()))
		}
	})
	t.Run("while a replica works", func(t *testing.T) {
		working := make(chan struct{})
		s := newFakeReplica(t, "a", func(c net.Conn, _ *http.Request) bool {
			close(working)
			_, _ = io.Copy(io.Discard, c) // until the VM closes the connection
			return false
		})
		r := route(catalog.Once, 1)
		r.Timeout = suspended / 2
		tf := newFleet(t, r, s)
		go func() {
			<-working
			clock.Skip(suspended)
			if n := tf.f.AfterSuspension(); n != 1 {
				t.Errorf("%d calls were cancelled, want 1", n)
			}
		}()
		defer clock.Skip(-suspended)
		began := time.Now()
		resp, _, err := tf.ask(t)
		if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("got %v, %v, want 504", resp, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the call ended %v after it began, want at most 1 s", took)
		}
	})
}
