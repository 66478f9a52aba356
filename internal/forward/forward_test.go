package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/catalog"
)

func TestResponsePassedUnchanged(t *testing.T) {
	s := newFakeReplica(t, "a", ok("the answer"))
	tf := newFleet(t, route(catalog.Once, 1), s)
	resp, body, err := tf.ask(t, "Salt", "forged", "Workspace", "forged", "X-Mine", "kept")
	if err != nil || resp.StatusCode != http.StatusOK || body != "the answer" || resp.Header.Get("Signed") != "yes" {
		t.Fatalf("got %v, %q, %v; want 200 and the signed body of the replica", resp, body, err)
	}
	got := s.requests()[0]
	if got.Method != http.MethodPost || got.RequestURI != "/x?q=1" || got.Host != "h.example" {
		t.Fatalf("the replica received %s %s with host %s, want POST /x?q=1 with host h.example", got.Method, got.RequestURI, got.Host)
	}
	if got.Header.Get("Salt") != "" || got.Header.Get("Workspace") != "" || got.Header.Get("X-Mine") != "kept" {
		t.Fatalf("the replica received the headers %v, want X-Mine as sent and neither Salt nor Workspace", got.Header)
	}
}

// TestAtMostOnce checks, for each way in which a send can end, how a call that may not be repeated
// is handled: it goes to a second replica only if the first did not run it, and it is reported as
// "not run" only if no replica ran it.
func TestAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  func(net.Conn, *http.Request) bool
		status int
		sends  int // to the second replica
	}{
		{"refused as not run", status(http.StatusServiceUnavailable, notRun), http.StatusOK, 1},
		{"another incarnation", status(http.StatusMisdirectedRequest, "By: x\r\n"), http.StatusOK, 1},
		{"response lost", hangUp, http.StatusBadGateway, 0},
		{"failed", status(http.StatusInternalServerError, signed), http.StatusInternalServerError, 0},
		{"no signature", status(http.StatusOK), http.StatusBadGateway, 0},
		{"503 without a not-run header", status(http.StatusServiceUnavailable), http.StatusBadGateway, 0},
		{"429 without a not-run header", status(http.StatusTooManyRequests), http.StatusBadGateway, 0},
		{"response to another call", func(c net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nno")
			return false
		}, http.StatusBadGateway, 0},
		{"truncated", func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: 20\r\n\r\nhalf", r.Header.Get("Id"))
			return false
		}, http.StatusBadGateway, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newFakeReplica(t, "a", c.first), newFakeReplica(t, "b", ok("fine"))
			tf := newFleet(t, route(catalog.Once, 1), first, second)
			for range 20 { // until the first replica is picked first
				resp, body, err := tf.ask(t)
				if err != nil {
					t.Fatal(err)
				}
				if len(first.requests()) == 0 {
					continue
				}
				before := len(second.requests())
				if resp.StatusCode != c.status {
					t.Fatalf("got %d %q, want %d", resp.StatusCode, body, c.status)
				}
				id := first.requests()[0].Header.Get("Id")
				sends := 0
				for _, r := range second.requests()[:before] {
					if r.Header.Get("Id") == id {
						sends++
					}
				}
				if sends != c.sends {
					t.Fatalf("%d sends to the second replica, want %d", sends, c.sends)
				}
				return
			}
			t.Fatal("the first replica was never picked")
		})
	}
}

// TestRefusalHasRetryAfter checks that a call which has not run is refused at once, with the right
// status and a Retry-After.
func TestRefusalHasRetryAfter(t *testing.T) {
	s := newFakeReplica(t, "a", status(http.StatusServiceUnavailable, notRun))
	tf := newFleet(t, route(catalog.Once, 1), s)
	began := time.Now()
	resp, _, err := tf.ask(t)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, %v, want 503 with a Retry-After", resp, err)
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Fatalf("the refusal took %v, want at most 500 ms", took)
	}
}

// TestNotRunNotClaimedAfterUnknownAttempt lets one replica lose the response of a call that may be
// repeated, and the other refuse the call: the outcome is unknown, not "not run".
func TestNotRunNotClaimedAfterUnknownAttempt(t *testing.T) {
	a, b := newFakeReplica(t, "a", hangUp), newFakeReplica(t, "b", status(http.StatusServiceUnavailable, notRun))
	tf := newFleet(t, route(catalog.Idempotent, 2), a, b)
	for range 10 {
		resp, _, err := tf.ask(t)
		if err != nil {
			t.Fatal(err)
		}
		if len(a.requests()) > 0 && resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("got %d after an attempt whose response was lost, want 502", resp.StatusCode)
		}
		if len(a.requests()) > 0 {
			return
		}
	}
	t.Fatal("the replica that loses responses was never picked")
}

func TestIdempotentCallRetriedElsewhere(t *testing.T) {
	a, b := newFakeReplica(t, "a", hangUp), newFakeReplica(t, "b", ok("fine"))
	tf := newFleet(t, route(catalog.Idempotent, 2), a, b)
	for range 10 {
		if resp, body, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
			t.Fatalf("got %v, %q, %v, want 200 and the body of the second replica", resp, body, err)
		}
	}
}

// TestStalledReplicaIsAbandoned lets one replica hang: the other answers a call that may be
// repeated, soon after its objective.
func TestStalledReplicaIsAbandoned(t *testing.T) {
	a := newFakeReplica(t, "a", func(net.Conn, *http.Request) bool { time.Sleep(3 * time.Second); return false })
	tf := newFleet(t, route(catalog.Idempotent, 2), a, newFakeReplica(t, "b", ok("fine")))
	for range 5 {
		began := time.Now()
		resp, _, err := tf.ask(t)
		if err != nil || resp.StatusCode != http.StatusOK || time.Since(began) > time.Second {
			t.Fatalf("got %v, %v after %v, want 200 within 1 s", resp, err, time.Since(began))
		}
	}
}

// TestRouteTimeout checks that a call ends at its route's timeout even if its caller would wait
// longer.
func TestRouteTimeout(t *testing.T) {
	a := newFakeReplica(t, "a", func(net.Conn, *http.Request) bool { time.Sleep(3 * time.Second); return false })
	r := route(catalog.Once, 1)
	r.Timeout = 300 * time.Millisecond
	tf := newFleet(t, r, a)
	began := time.Now()
	resp, _, err := tf.ask(t, "Deadline", "5s")
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("got %v, %v, want 504", resp, err)
	}
	if took := time.Since(began); took < 250*time.Millisecond || took > 800*time.Millisecond {
		t.Fatalf("the response took %v, want 250 ms to 800 ms", took)
	}
}

// TestCallerDisconnectCancelsReplica checks that within half a second after the caller disconnects
// the VM closes its connection to the replica, also while it still waits for the response.
func TestCallerDisconnectCancelsReplica(t *testing.T) {
	closed := make(chan struct{})
	a := newFakeReplica(t, "a", func(c net.Conn, _ *http.Request) bool {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
		return false
	})
	tf := newFleet(t, route(catalog.Once, 1), a)
	conn, err := net.Dial("tcp", strings.TrimPrefix(tf.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: h.example\r\nId: gone\r\nContent-Length: 2\r\n\r\nhi")
	time.Sleep(100 * time.Millisecond)
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the connection to the replica is still open after the caller has disconnected")
	}
}

// TestKeyAuthorization checks the workspace that is sent along with a call, and the status from a
// VM that can't prove that its configuration is the newest.
func TestKeyAuthorization(t *testing.T) {
	s := newFakeReplica(t, "a", ok("fine"))
	r := route(catalog.Once, 1)
	r.Public = false
	tf := newFleet(t, r, s)
	tf.f.KeyTTL.Store(int64(time.Second))
	tf.f.Catalog.Adopt(catalog.New(catalog.Declaration{
		Version: 2, Routes: []catalog.Route{r},
		Workspaces: []catalog.Workspace{{Name: "w1", Keys: []string{"k1"}}},
	}))
	for _, c := range []struct {
		key    string
		proven time.Duration // age of the catalog's proof
		status int
	}{
		{"k1", 0, http.StatusOK},
		{"wrong", 0, http.StatusUnauthorized},
		{"", 0, http.StatusUnauthorized},
		{"k1", 2 * time.Second, http.StatusServiceUnavailable},
		{"wrong", 2 * time.Second, http.StatusServiceUnavailable}, // it may be a new key that this VM does not know yet
	} {
		fresh := &catalog.Current{}
		fresh.Adopt(tf.f.Catalog.Get())
		fresh.Prove(time.Now().Add(-c.proven))
		tf.f.Catalog = fresh
		resp, _, err := tf.ask(t, "Key", c.key)
		if err != nil || resp.StatusCode != c.status {
			t.Fatalf("key %q, proven %v ago: got %v, %v, want %d", c.key, c.proven, resp, err, c.status)
		}
	}
	if got := s.requests(); len(got) != 1 || got[0].Header.Get("Workspace") != "w1" || got[0].Header.Get("Key") != "" {
		t.Fatalf("the replica received %d requests, the first with %v, want one with workspace w1 and no key", len(got), got[0].Header)
	}
}

// TestNoConfiguration checks that a VM without a configuration does not refuse a route or a key as
// unknown.
func TestNoConfiguration(t *testing.T) {
	tf := newFleet(t, route(catalog.Once, 1), newFakeReplica(t, "a", ok("fine")))
	tf.f.Catalog = &catalog.Current{}
	if resp, _, err := tf.ask(t); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("got %v, %v, want 503", resp, err)
	}
}
