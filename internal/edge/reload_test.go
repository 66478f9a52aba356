package edge

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/retry"
	"github.com/threadwall/threadwall/internal/settings"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// TestReload checks that a reload applies the settings that may change while the daemon runs, logs
// those that take effect at the next start, and changes nothing if the file is invalid.
func TestReload(t *testing.T) {
	first := settings.Settings{VM: "a", Listen: "127.0.0.1:1", Edge: &settings.Edge{
		KeyTTL: durations.Duration(5 * time.Second), RetryBurst: 10, RetryWindow: durations.Duration(10 * time.Second),
	}}
	second := first
	second.Listen = "127.0.0.1:2"
	second.Edge = &settings.Edge{KeyTTL: durations.Duration(2 * time.Second), RetryBurst: 20, RetryWindow: first.Edge.RetryWindow}
	var out lockedBuffer
	next, bad := second, error(nil)
	d, err := New(first, Options{
		Adapter: Adapter{Store: objectapi.NewMemory()}, LogTo: &out,
		Reload: func() (settings.Settings, error) { return next, bad },
	})
	if err != nil {
		t.Fatal(err)
	}
	d.budgets.EntryCreated(1)
	d.budgets.SetList(retry.List{VMs: []ids.VM{"a"}, Revision: 1, Sent: clock.Now(), OwnEntry: 1})
	bad = eris.New("a comma is missing")
	d.reload()
	if ttl := d.Forward.KeyTTL.Load(); ttl != int64(5*time.Second-keyMargin) {
		t.Fatalf("an invalid file set the maximum age of proofs to %v", time.Duration(ttl))
	}
	bad = nil
	d.reload()
	if ttl, remaining := d.Forward.KeyTTL.Load(), d.budgets.Of("svc").Remaining(); ttl != int64(2*time.Second-keyMargin) || remaining != 20*budgetUse {
		t.Fatalf("maximum age of proofs %v, %v retries remain", time.Duration(ttl), remaining)
	}
	d.Log.Close()
	for _, want := range []string{`"event":"reload-rejected"`, `"in_force":["key_ttl","retry_burst"]`, `"at_next_start":["listen"]`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log lacks %s: %s", want, out.String())
		}
	}
	if maxProofAge(0) != 0 || maxProofAge(time.Millisecond) <= 0 {
		t.Error("a short TTL of keys is treated as no TTL")
	}
}
