package e2e

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"

	"github.com/threadwall/threadwall/internal/daemon"
	"github.com/threadwall/threadwall/internal/durations"
	"github.com/threadwall/threadwall/internal/lab"
)

// TestPromptLateInDrainIsNotCut guards against calls that a stopping VM takes although they may last longer than its drain.
func TestPromptLateInDrainIsNotCut(t *testing.T) {
	h := start(t, 1)
	old := h.vms.Daemons[0]
	if err := old.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	s := old.Settings
	s.ReadyNotice, s.DrainTimeout = durations.Duration(500*time.Millisecond), durations.Duration(5300*time.Millisecond)
	d, err := daemon.New(s, daemon.Options{LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.vms.Daemons[0] = d
	waitFor(t, func() bool { return d.Status().Ready })
	if _, err := h.stream("before"); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan error)
	go func() { stopped <- d.Stop(context.Background()) }()
	time.Sleep(200 * time.Millisecond)

	// Bookings take at most 5 s, so that they end in the drain.
	resp, body := h.post(0, "/v1/services/booking/bookings", lab.KeyOf(workspace), "late", "{}")
	if resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("a booking that ends in the drain: got %d %s, connection closed: %v; want 200 and a close", resp.StatusCode, body, resp.Close)
	}
	// Prompts may take 60 s, and this one takes 6 s.
	p := params("late?")
	p.MaxTokens = openai.Int(3000)
	c, began := h.client(), time.Now()
	st := c.Chat.Completions.NewStreaming(t.Context(), p)
	events := 0
	for st.Next() {
		events++
	}
	var refusal *openai.Error
	if e, ok := st.Err().(*openai.Error); ok { //nolint:errorlint // the client does not wrap it
		refusal = e
	}
	if refusal == nil || refusal.StatusCode != http.StatusServiceUnavailable || refusal.Response.Header.Get("X-Threadwall-Outcome") != "not-run" ||
		refusal.Response.Header.Get("Retry-After") == "" || !refusal.Response.Close {
		t.Errorf("a prompt that may last longer than the drain: %d events, then %v after %v; want a refusal as not run that closes the connection",
			events, st.Err(), time.Since(began))
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	h.vms.Daemons = h.vms.Daemons[1:]
}

// TestVMStoppedWhileItStartsIsNotReady guards against a VM that becomes ready while it stops.
func TestVMStoppedWhileItStartsIsNotReady(t *testing.T) {
	h := start(t, 1)
	if err := h.vms.Daemons[0].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	s := h.vms.Daemons[0].Settings
	s.ReadyNotice, s.Peers = durations.Duration(3*time.Second), nil
	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d, err := daemon.New(s, daemon.Options{LogTo: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.vms.Daemons = h.vms.Daemons[1:]
	stopped := make(chan error)
	go func() { stopped <- d.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	h.s.Store.SetFaults(lab.StoreFaults{})
	for ends := time.Now().Add(2500 * time.Millisecond); time.Now().Before(ends); time.Sleep(20 * time.Millisecond) {
		if d.Status().Ready {
			t.Error("the VM is ready while it stops")
			break
		}
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
