package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/threadwall/threadwall/internal/config"
	"github.com/threadwall/threadwall/internal/daemon"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/lab"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/orders"
	"github.com/threadwall/threadwall/internal/platform"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/settings"
	"github.com/threadwall/threadwall/internal/timeline"
)

// TestGracefulShutdown checks that a graceful shutdown, which reports not ready first, does not
// cut off a request in flight.
func TestGracefulShutdown(t *testing.T) {
	h := start(t, 1)
	c := h.client()
	p := params("in flight?")
	p.MaxTokens = openai.Int(400)
	st := c.Chat.Completions.NewStreaming(t.Context(), p)
	if !st.Next() {
		t.Fatal(st.Err())
	}
	text := st.Current().Choices[0].Delta.Content
	stopped := make(chan error)
	go func() { stopped <- h.vms.Daemons[0].Stop(context.Background()) }()
	for st.Next() {
		if ch := st.Current().Choices; len(ch) > 0 {
			text += ch[0].Delta.Content
		}
	}
	if st.Err() != nil || text != wantText("in flight?", 400) {
		t.Fatalf("request in flight at the shutdown: error %v, text %q", st.Err(), text)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	h.vms.Daemons = h.vms.Daemons[1:]
}

// TestLeavingTarget checks that a leaving target gets no new requests, also while the platform
// is unreachable.
func TestLeavingTarget(t *testing.T) {
	h := start(t, 2)
	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	var leaving string
	for _, r := range h.s.Records {
		if r.Role == platform.RoleEngine {
			leaving = r.ID
			break
		}
	}
	h.s.Engines[leaving].SetLeaving(true)
	waitFor(t, func() bool {
		for _, d := range h.vms.Daemons {
			for _, x := range d.Status().Targets {
				if string(x.ID) == leaving && x.StateName != "leaving" {
					return false
				}
			}
		}
		return true
	})
	before := h.s.Engines[leaving].Served.Load()
	for i := range 40 {
		q := fmt.Sprint("leaving ", i)
		if text, err := h.stream(q); err != nil || text != wantText(q, 20) {
			t.Fatalf("error %v, text %q", err, text)
		}
	}
	if got := h.s.Engines[leaving].Served.Load(); got != before {
		t.Fatalf("the leaving target served %d requests, want none", got-before)
	}
}

// TestConfigurationPropagates checks that a configuration change reaches every VM, although not
// every VM watches the store.
func TestConfigurationPropagates(t *testing.T) {
	h := start(t, 3)
	o, err := h.s.Store.Get(t.Context(), "config/workspace/"+workspace)
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(o.Value, []byte(`"weight":2`), []byte(`"weight":9`), 1)
	rev, err := h.s.Store.Update(t.Context(), o.Key, changed, o.Version)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		for _, d := range h.vms.Daemons {
			if d.Node.Config.Revision() < rev || d.Config.Get().Workspaces[workspace].Limits.Weight != 9 {
				return false
			}
		}
		return true
	})
}

// TestRollingWeights changes the weights on all engines of a domain while requests are
// served. No request may fail, and the engines must apply orders with a fencing token. The
// test does not check that responses report no cached tokens of the old weights.
func TestRollingWeights(t *testing.T) {
	h := start(t, 1)
	var updated []string
	for _, r := range h.s.Records {
		if r.Role == platform.RoleEngine && r.FailureDomain == domains[0] {
			updated = append(updated, r.ID)
			intent := orders.Intent{Target: ids.Target(r.ID), Desired: orders.DesiredState{Weights: "w2"}}
			value, _ := json.Marshal(intent)
			if _, err := h.s.Store.Create(t.Context(), orders.Prefix+r.ID, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	sent := 0
	waitFor(t, func() bool {
		q := fmt.Sprint("rolling ", sent)
		sent++
		if text, err := h.stream(q); err != nil || text != wantText(q, 20) {
			t.Fatalf("request %d: error %v, text %q", sent, err, text)
		}
		for _, id := range updated {
			if h.s.Engines[id].Weights() != "w2" {
				return false
			}
		}
		return true
	})
	for _, id := range updated {
		if got := h.s.Engines[id].AppliedFences(); len(got) == 0 || got[0] == 0 {
			t.Errorf("%s applied orders with fencing tokens %v, want at least one and the first above 0", id, got)
		}
	}
}

// restart replaces a VM by a new incarnation with the same settings.
func (h *harness) restart(i int) *daemon.Daemon {
	h.Helper()
	old := h.vms.Daemons[i]
	if err := old.Stop(context.Background()); err != nil {
		h.Fatal(err)
	}
	d, err := daemon.New(old.Settings, daemon.Options{LogTo: io.Discard})
	if err != nil {
		h.Fatal(err)
	}
	if err := d.Start(h.Context()); err != nil {
		h.Fatal(err)
	}
	h.vms.Daemons[i] = d
	return d
}

// TestRestartKeepsKnowledge checks that a VM restarted with the platform down has the
// configuration, the targets and the cache view of its peer once it reports ready.
func TestRestartKeepsKnowledge(t *testing.T) {
	h := start(t, 2)
	for i := range 6 {
		if _, err := h.stream(fmt.Sprint("warm ", i)); err != nil {
			t.Fatal(err)
		}
	}
	peer := h.vms.Daemons[1]
	waitFor(t, func() bool { return len(peer.Fleet.Cache.Entries(100)) > 0 })
	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d := h.restart(0)
	waitFor(t, func() bool { return d.Status().Ready })
	if got, want := len(d.Fleet.Cache.Entries(100)), len(peer.Fleet.Cache.Entries(100)); got < want || want == 0 {
		t.Errorf("%d cache view entries after the restart, want the peer's %d or more, and not 0", got, want)
	}
	if d.Node.Config.Revision() != peer.Node.Config.Revision() {
		t.Errorf("configuration revision %d after the restart, want the peer's %d", d.Node.Config.Revision(), peer.Node.Config.Revision())
	}
	if text, err := h.stream("after the restart"); err != nil || text != wantText("after the restart", 20) {
		t.Errorf("after the restart: error %v, text %q", err, text)
	}
}

// TestLargeConfigurationFromPeer checks that a restarted VM gets a configuration of eight
// documents of 900,000 bytes each from a peer.
func TestLargeConfigurationFromPeer(t *testing.T) {
	h := start(t, 2)
	var last objectapi.Revision
	for i := range 8 {
		o := config.Object{Kind: config.KindDocument, Name: fmt.Sprint("large-", i), Document: &config.Document{Text: strings.Repeat("x", 900_000)}}
		value, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		if last, err = h.s.Store.Create(t.Context(), o.Key(), value); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, func() bool { return h.vms.Daemons[1].Node.Config.Revision() >= last })
	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d := h.restart(0)
	waitFor(t, func() bool { return d.Status().Ready && d.Node.Config.Revision() >= last })
}

// TestConcurrentRestartsWithOnePeer restarts all VMs of a domain but one at the same time,
// with the platform down.
func TestConcurrentRestartsWithOnePeer(t *testing.T) {
	h := start(t, 4)
	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	restarted := []int{1, 2, 3}
	done := make(chan *daemon.Daemon)
	for _, i := range restarted {
		go func() { done <- h.restart(i) }()
	}
	for range restarted {
		d := <-done
		waitFor(t, func() bool { return d.Status().Ready })
	}
}

// TestNotReadyReportsReason checks that a VM with neither a peer nor the platform is not ready
// and reports the reason.
func TestNotReadyReportsReason(t *testing.T) {
	h := start(t, 1)
	h.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d := h.restart(0)
	waitFor(t, func() bool { return strings.Contains(d.Status().Reason, "neither a peer nor the object API") })
	if resp, body := h.post(0, "/v1/chat/completions", lab.KeyOf(workspace), "", "{}"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, body %s; want status 503 and a Retry-After", resp.StatusCode, resp.Header.Get("Retry-After"), body)
	}
}

// TestDecisionsReplay checks that replaying a recorded decision gives the recorded choice, and
// that a changed record gives another.
func TestDecisionsReplay(t *testing.T) {
	h := start(t, 2)
	for i := range 30 {
		if _, err := h.stream(fmt.Sprint("replay ", i%7)); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	for _, d := range h.vms.Daemons {
		for _, e := range d.Events.Events("") {
			var rec routing.Record
			if e.Kind != timeline.KindDecision || json.Unmarshal(e.Detail, &rec) != nil || len(rec.Levels) == 0 {
				continue
			}
			n++
			if got := routing.Replay(routing.NewCost(), &rec); got != rec.Chosen {
				t.Errorf("replayed choice is %s, want the recorded %s", got, rec.Chosen)
			}
			for i := range rec.Candidates {
				if rec.Candidates[i].Target == rec.Chosen {
					rec.Candidates[i].Input.QueueTokens = 1e9
				}
			}
			if got := routing.Replay(routing.NewCost(), &rec); len(rec.Candidates) > 1 && got == rec.Chosen {
				t.Error("replay still gives the recorded choice after its queue was made the longest")
			}
		}
	}
	if n < 30 {
		t.Fatalf("%d decisions were recorded, want at least 30", n)
	}
}

// link returns a link to an address. The link is closed at the end of the test.
func link(t *testing.T, to string) *lab.Link {
	t.Helper()
	k, err := lab.NewLink(to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

// TestDomainPartition partitions one of two failure domains from the VMs of the other and from
// the platform. Both domains keep serving. The partitioned domain refuses bookings as not run,
// and gets the configuration of the other VMs after the partition heals.
func TestDomainPartition(t *testing.T) {
	var links []*lab.Link
	h := startWithNetwork(t, 1, func(s *lab.StandIns) func(settings.Settings) (string, string) {
		storeLink := link(t, strings.TrimPrefix(s.StoreURL, "http://"))
		links = append(links, storeLink)
		return func(set settings.Settings) (string, string) {
			peers := link(t, set.PeerListen)
			links = append(links, peers)
			if set.FailureDomain == domains[0] {
				return "http://" + storeLink.Addr, peers.Addr
			}
			return s.StoreURL, peers.Addr
		}
	})
	for _, k := range links {
		k.SetDown(true)
	}
	for i := range h.vms.Daemons {
		c := openai.NewClient(option.WithBaseURL(h.vms.Entries()[i]+"/v1"), option.WithAPIKey(lab.KeyOf(workspace)), option.WithMaxRetries(0))
		got, err := c.Chat.Completions.New(t.Context(), params("cut off?"))
		if err != nil || got.Choices[0].Message.Content != wantText("cut off?", 20) {
			t.Fatalf("VM %d: %v", i, err)
		}
	}
	book := func(vm int, key string) (int, string) {
		resp, _ := h.post(vm, "/v1/services/booking/bookings", lab.KeyOf(workspace), key, "{}")
		return resp.StatusCode, resp.Header.Get("X-Threadwall-Outcome")
	}
	if status, outcome := book(0, "cut"); status != 503 || outcome != "not-run" || h.runs("cut") != 0 {
		t.Errorf("booking in the partitioned domain: got status %d, outcome %q, %d runs; want 503, not-run and none", status, outcome, h.runs("cut"))
	}
	if status, outcome := book(1, "cut"); status != 200 || outcome != "ran" {
		t.Errorf("the same booking in the other domain: got status %d, outcome %q; want 200 and ran", status, outcome)
	}
	o := config.Object{Kind: config.KindDocument, Name: "during-the-cut", Document: &config.Document{Text: "text"}}
	value, _ := json.Marshal(o)
	rev, err := h.s.Store.Create(t.Context(), o.Key(), value)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return h.vms.Daemons[1].Node.Config.Revision() >= rev })
	if got := h.vms.Daemons[0].Node.Config.Revision(); got >= rev {
		t.Fatalf("the partitioned domain has configuration revision %d, want one below %d", got, rev)
	}
	for _, k := range links {
		k.SetDown(false)
	}
	waitFor(t, func() bool { return h.vms.Daemons[0].Node.Config.Revision() >= rev })
	waitFor(t, func() bool { status, _ := book(0, "cut"); return status == 200 })
	if h.runs("cut") != 1 {
		t.Errorf("the booking ran %d times, want once", h.runs("cut"))
	}
}
