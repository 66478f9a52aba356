package objectapi

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func newTestClient(t *testing.T, h http.Handler) *Client {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return NewClient(srv.URL, 5*time.Second, Budget{WritesPerSecond: 1000, ReadsPerSecond: 1000})
}

func TestClientOperations(t *testing.T) {
	c, ctx := newTestClient(t, Handler(NewMemory())), t.Context()
	v, err := c.Create(ctx, "a/b c?&", []byte("one"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Create(ctx, "a/b c?&", nil); !errors.Is(err, ErrExists) {
		t.Errorf("create twice: got error %v, want ErrExists", err)
	}
	if _, err := c.Update(ctx, "a/b c?&", nil, v+1); !errors.Is(err, ErrConflict) {
		t.Errorf("update another version: got error %v, want ErrConflict", err)
	}
	v2, err := c.Update(ctx, "a/b c?&", []byte("two"), v)
	if err != nil || v2 <= v {
		t.Fatal(v2, err)
	}
	if o, err := c.Get(ctx, "a/b c?&"); err != nil || string(o.Value) != "two" || o.Version != v2 {
		t.Errorf("get: got %+v, %v; want value two at the version of the update", o, err)
	}
	if _, err := c.Get(ctx, "none"); !errors.Is(err, ErrNotFound) {
		t.Errorf("get a missing object: got error %v, want ErrNotFound", err)
	}
	events, rev, err := c.Watch(ctx, "a/", v)
	if err != nil || len(events) != 1 || rev != v2 {
		t.Errorf("watch: got %v, revision %d, %v; want one event, at the revision of the update", events, rev, err)
	}
	if err := c.Delete(ctx, "a/b c?&", v2); err != nil {
		t.Error(err)
	}
	if list, _, err := c.List(ctx, ""); err != nil || len(list) != 0 {
		t.Errorf("list: got %v, %v; want no objects", list, err)
	}
}

// TestClientWriteErrors checks that a write is reported as not applied only if it certainly was
// not.
func TestClientWriteErrors(t *testing.T) {
	respond := func(status int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	}
	for _, c := range []struct {
		name string
		h    http.Handler
		want error
	}{
		{"500", respond(500), ErrAmbiguous},
		{"502", respond(502), ErrAmbiguous},
		{"503", respond(503), ErrUnavailable},
		{"429", respond(429), ErrUnavailable},
		{"connection closed", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), ErrAmbiguous},
		{"no JSON", respond(200), ErrAmbiguous},
	} {
		if _, err := newTestClient(t, c.h).Create(t.Context(), "k", nil); !errors.Is(err, c.want) {
			t.Errorf("%s: got unexpected error %v", c.name, err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	slow := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	if _, err := newTestClient(t, slow).Create(ctx, "k", nil); !errors.Is(err, ErrAmbiguous) {
		t.Errorf("timeout: got error %v, want ErrAmbiguous", err)
	}
	refused := NewClient("http://127.0.0.1:1", time.Second, Budget{WritesPerSecond: 1, ReadsPerSecond: 1})
	if _, err := refused.Create(t.Context(), "k", nil); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous) {
		t.Errorf("connection refused: got error %v, want only ErrUnavailable", err)
	}
}

func TestClientCallBudget(t *testing.T) {
	srv := httptest.NewServer(Handler(NewMemory()))
	defer srv.Close()
	c := NewClient(srv.URL, time.Second, Budget{WritesPerSecond: 0.001, ReadsPerSecond: 0.001})
	if _, err := c.Get(t.Context(), "x"); !errors.Is(err, ErrNotFound) {
		t.Fatal(err)
	}
	if _, err := c.Get(t.Context(), "x"); !errors.Is(err, ErrOverBudget) {
		t.Errorf("beyond the budget: got error %v, want ErrOverBudget", err)
	}
}
