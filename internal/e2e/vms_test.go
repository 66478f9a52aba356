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

// A graceful shutdown says "not ready" first, and cuts no request in flight.
func TestGracefulShutdown(t *testing.T) {
	w := start(t, 1)
	c := w.client()
	p := params("in flight?")
	p.MaxTokens = openai.Int(400)
	st := c.Chat.Completions.NewStreaming(t.Context(), p)
	if !st.Next() {
		t.Fatal(st.Err())
	}
	text := st.Current().Choices[0].Delta.Content
	stopped := make(chan error)
	go func() { stopped <- w.vms.Daemons[0].Stop(context.Background()) }()
	for st.Next() {
		if ch := st.Current().Choices; len(ch) > 0 {
			text += ch[0].Delta.Content
		}
	}
	if st.Err() != nil || text != wantText("in flight?", 400) {
		t.Fatalf("cut by the shutdown: %v", st.Err())
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	w.vms.Daemons = w.vms.Daemons[1:]
}

// A target that leaves gets no new work, also while the platform is unreachable.
func TestLeavingTarget(t *testing.T) {
	w := start(t, 2)
	w.s.Store.SetFaults(lab.StoreFaults{Down: true})
	var leaver string
	for _, r := range w.s.Records {
		if r.Role == platform.RoleEngine {
			leaver = r.ID
			break
		}
	}
	w.s.Engines[leaver].SetLeaving(true)
	waitFor(t, func() bool {
		for _, d := range w.vms.Daemons {
			for _, x := range d.Status().Targets {
				if string(x.ID) == leaver && x.StateName != "leaving" {
					return false
				}
			}
		}
		return true
	})
	before := w.s.Engines[leaver].Served.Load()
	for i := range 40 {
		q := fmt.Sprint("leaving ", i)
		if text, err := w.stream(q); err != nil || text != wantText(q, 20) {
			t.Fatal(err)
		}
	}
	if got := w.s.Engines[leaver].Served.Load(); got != before {
		t.Fatalf("the leaving target got %d requests", got-before)
	}
}

// A change of configuration is in force on every VM, though not every VM watches.
func TestConfigurationSpreads(t *testing.T) {
	w := start(t, 3)
	o, err := w.s.Store.Get(t.Context(), "config/workspace/"+workspace)
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(o.Value, []byte(`"weight":2`), []byte(`"weight":9`), 1)
	rev, err := w.s.Store.Update(t.Context(), o.Key, changed, o.Version)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		for _, d := range w.vms.Daemons {
			if d.Node.Config.Revision() < rev || d.Config.Get().Workspaces[workspace].Limits.Weight != 9 {
				return false
			}
		}
		return true
	})
}

// Weights change on all engines of a domain while requests are served: no request
// fails, and none is told cached tokens of the old weights' blocks.
func TestRollingWeights(t *testing.T) {
	w := start(t, 1)
	var moved []string
	for _, r := range w.s.Records {
		if r.Role == platform.RoleEngine && r.FailureDomain == domains[0] {
			moved = append(moved, r.ID)
			intent := orders.Intent{Target: ids.Target(r.ID), Desired: orders.DesiredState{Weights: "w2"}}
			value, _ := json.Marshal(intent)
			if _, err := w.s.Store.Create(t.Context(), orders.Prefix+r.ID, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	asked := 0
	waitFor(t, func() bool {
		q := fmt.Sprint("rolling ", asked)
		asked++
		if text, err := w.stream(q); err != nil || text != wantText(q, 20) {
			t.Fatalf("request %d: %v", asked, err)
		}
		for _, id := range moved {
			if w.s.Engines[id].Weights() != "w2" {
				return false
			}
		}
		return true
	})
	for _, id := range moved {
		if got := w.s.Engines[id].AppliedFences(); len(got) == 0 || got[0] == 0 {
			t.Errorf("%s followed orders with fences %v", id, got)
		}
	}
}

// restart replaces a VM by a new life of it, with the same settings.
func (w *world) restart(i int) *daemon.Daemon {
	w.Helper()
	old := w.vms.Daemons[i]
	if err := old.Stop(context.Background()); err != nil {
		w.Fatal(err)
	}
	d, err := daemon.New(old.Settings, daemon.Options{LogTo: io.Discard})
	if err != nil {
		w.Fatal(err)
	}
	if err := d.Start(w.Context()); err != nil {
		w.Fatal(err)
	}
	w.vms.Daemons[i] = d
	return d
}

// A restarted VM has its peer's configuration, targets and cache beliefs when it
// says that it is ready, with the platform down.
func TestRestartKeepsKnowledge(t *testing.T) {
	w := start(t, 2)
	for i := range 6 {
		if _, err := w.stream(fmt.Sprint("warm ", i)); err != nil {
			t.Fatal(err)
		}
	}
	peer := w.vms.Daemons[1]
	waitFor(t, func() bool { return len(peer.Fleet.Cache.Entries(100)) > 0 })
	w.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d := w.restart(0)
	waitFor(t, func() bool { return d.Status().Ready })
	if got, want := len(d.Fleet.Cache.Entries(100)), len(peer.Fleet.Cache.Entries(100)); got < want || want == 0 {
		t.Errorf("%d beliefs after the restart, the peer has %d", got, want)
	}
	if d.Node.Config.Revision() != peer.Node.Config.Revision() {
		t.Errorf("configuration %d, the peer has %d", d.Node.Config.Revision(), peer.Node.Config.Revision())
	}
	if text, err := w.stream("after the restart"); err != nil || text != wantText("after the restart", 20) {
		t.Errorf("%v", err)
	}
}

// A configuration of several large documents reaches a restarted VM from a peer.
func TestLargeConfigurationFromPeer(t *testing.T) {
	w := start(t, 2)
	var last objectapi.Revision
	for i := range 8 {
		o := config.Object{Kind: config.KindDocument, Name: fmt.Sprint("large-", i), Document: &config.Document{Text: strings.Repeat("x", 900_000)}}
		value, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		if last, err = w.s.Store.Create(t.Context(), o.Key(), value); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, func() bool { return w.vms.Daemons[1].Node.Config.Revision() >= last })
	w.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d := w.restart(0)
	waitFor(t, func() bool { return d.Status().Ready && d.Node.Config.Revision() >= last })
}

// All VMs of a domain but one restart at once, with the platform down.
func TestHerdWithOneSurvivor(t *testing.T) {
	w := start(t, 4)
	w.s.Store.SetFaults(lab.StoreFaults{Down: true})
	herd := []int{1, 2, 3}
	done := make(chan *daemon.Daemon)
	for _, i := range herd {
		go func() { done <- w.restart(i) }()
	}
	for range herd {
		d := <-done
		waitFor(t, func() bool { return d.Status().Ready })
	}
}

// With no peer and no platform, a VM is not ready and says why.
func TestNotReadySaysWhy(t *testing.T) {
	w := start(t, 1)
	w.s.Store.SetFaults(lab.StoreFaults{Down: true})
	d := w.restart(0)
	waitFor(t, func() bool { return strings.Contains(d.Status().Reason, "neither a peer nor the object API") })
	if resp, body := w.post(0, "/v1/chat/completions", lab.KeyOf(workspace), "", "{}"); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %s", resp.StatusCode, body)
	}
}

// Every recorded decision comes out the same when it is made again from its
// record; a record that was tampered with does not.
func TestDecisionsReplay(t *testing.T) {
	w := start(t, 2)
	for i := range 30 {
		if _, err := w.stream(fmt.Sprint("replay ", i%7)); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	for _, d := range w.vms.Daemons {
		for _, e := range d.Events.Events("") {
			var rec routing.Record
			if e.Kind != timeline.KindDecision || json.Unmarshal(e.Detail, &rec) != nil || len(rec.Levels) == 0 {
				continue
			}
			n++
			if got := routing.Replay(routing.NewCost(), &rec); got != rec.Chosen {
				t.Errorf("recorded %s, replayed %s", rec.Chosen, got)
			}
			for i := range rec.Candidates {
				if rec.Candidates[i].Target == rec.Chosen {
					rec.Candidates[i].Input.QueueTokens = 1e9
				}
			}
			if got := routing.Replay(routing.NewCost(), &rec); len(rec.Candidates) > 1 && got == rec.Chosen {
				t.Error("the choice does not depend on the record")
			}
		}
	}
	if n < 30 {
		t.Fatalf("%d decisions were recorded", n)
	}
}

// link returns a link to an address that ends with the test.
func link(t *testing.T, to string) *lab.Link {
	t.Helper()
	k, err := lab.NewLink(to)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

// One of two failure domains is cut off from the other's VMs and from the
// platform. Both go on serving; the cut-off one refuses bookings with a true "not
// run"; when the cut heals, it takes over the configuration of the others.
func TestDomainCutOff(t *testing.T) {
	var links []*lab.Link
	w := startOn(t, 1, func(s *lab.StandIns) func(settings.Settings) (string, string) {
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
	for i := range w.vms.Daemons {
		c := openai.NewClient(option.WithBaseURL(w.vms.Entries()[i]+"/v1"), option.WithAPIKey(lab.KeyOf(workspace)), option.WithMaxRetries(0))
		got, err := c.Chat.Completions.New(t.Context(), params("cut off?"))
		if err != nil || got.Choices[0].Message.Content != wantText("cut off?", 20) {
			t.Fatalf("VM %d: %v", i, err)
		}
	}
	book := func(vm int, key string) (int, string) {
		resp, _ := w.post(vm, "/v1/services/booking/bookings", lab.KeyOf(workspace), key, "{}")
		return resp.StatusCode, resp.Header.Get("X-Threadwall-Outcome")
	}
	if status, told := book(0, "cut"); status != 503 || told != "not-run" || w.runs("cut") != 0 {
		t.Errorf("booking in the cut-off domain: %d %s, %d runs", status, told, w.runs("cut"))
	}
	if status, told := book(1, "cut"); status != 200 || told != "ran" {
		t.Errorf("the same booking in the other domain: %d %s", status, told)
	}
	o := config.Object{Kind: config.KindDocument, Name: "during-the-cut", Document: &config.Document{Text: "text"}}
	value, _ := json.Marshal(o)
	rev, err := w.s.Store.Create(t.Context(), o.Key(), value)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return w.vms.Daemons[1].Node.Config.Revision() >= rev })
	if got := w.vms.Daemons[0].Node.Config.Revision(); got >= rev {
		t.Fatalf("the cut-off domain has revision %d", got)
	}
	for _, k := range links {
		k.SetDown(false)
	}
	waitFor(t, func() bool { return w.vms.Daemons[0].Node.Config.Revision() >= rev })
	waitFor(t, func() bool { status, _ := book(0, "cut"); return status == 200 })
	if w.runs("cut") != 1 {
		t.Errorf("the booking ran %d times", w.runs("cut"))
	}
}
