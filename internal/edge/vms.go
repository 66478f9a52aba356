package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// prefixVMs is where entry VMs register. Nothing there expires: a VM that is gone
// only makes the others' shares of common budgets smaller.
const prefixVMs = "entry-vms/"

// vmRecord is a VM's entry.
type vmRecord struct {
	VM            ids.VM            `json:"vm"`
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	PeerAddr      string            `json:"peer_addr"`
	LinkMbps      int               `json:"link_mbps,omitempty"`
}

// registerRetry is the pause between tries to register.
const registerRetry = time.Second

// register writes this VM's entry once.
func (d *Daemon) register(ctx context.Context) {
	if !d.vms.await(ctx) {
		return
	}
	value, err := json.Marshal(vmRecord{VM: d.Settings.VM, FailureDomain: d.Settings.FailureDomain, PeerAddr: d.Settings.PeerListen, LinkMbps: int(d.Settings.Edge.LinkMbps)})
	if d.vms.lists(value) {
		return // this VM has started again
	}
	for err == nil {
		err = d.writeEntry(ctx, prefixVMs+string(d.Settings.VM), value)
		if err == nil {
			return
		}
		d.Log.Belief("not-registered").Str("error", err.Error()).Send()
		if !timing.Sleep(ctx, registerRetry/2+rand.N(registerRetry)) {
			return
		}
		err = nil
	}
}

func (d *Daemon) writeEntry(ctx context.Context, key string, value []byte) error {
	_, err := d.store.Create(ctx, key, value)
	if !errors.Is(err, objectapi.ErrExists) {
		return err
	}
	o, err := d.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if slices.Equal(o.Value, value) {
		return nil
	}
	_, err = d.store.Update(ctx, key, value, o.Version)
	return eris.Wrap(err, "update this VM's entry")
}

// vmList follows the list of entry VMs.
type vmList struct {
	d  *Daemon
	mu sync.Mutex
	at map[string]vmRecord // nil: it has not been read yet
	// alive are the VMs that live, as last looked at; nil: not yet.
	alive   *livingVMs
	aliveAt time.Time // the look
}

var _ follow.Handler = (*vmList)(nil)

// Listed implements follow.Handler.
func (c *vmList) Listed(objects []objectapi.Object, at follow.At, _ bool) {
	c.mu.Lock()
	c.at = map[string]vmRecord{}
	c.mu.Unlock()
	c.Changed(objects, at)
}

// Changed implements follow.Handler.
func (c *vmList) Changed(events []objectapi.Object, _ follow.At) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range events {
		if o.Deleted {
			delete(c.at, o.Key)
			continue
		}
		var r vmRecord
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.d.Log.Belief("vm-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
			continue
		}
		c.at[o.Key] = r
	}
	c.d.budgets.SetVMs(len(c.at))
	c.d.Fleet.SetPeerCount(len(c.at) - 1)
	names := make([]ids.VM, 0, len(c.at))
	peers := make([]news.Peer, 0, len(c.at))
	for _, r := range c.at {
		peers = append(peers, news.Peer{VM: r.VM, FailureDomain: r.FailureDomain, Addr: r.PeerAddr, LinkMbps: r.LinkMbps})
		names = append(names, r.VM)
	}
	c.d.news.SetPeers(peers)
	c.d.allowed.SetVMs(names)
	c.d.Log.Belief("vms").Int("count", len(c.at)).Send()
}

// listedEvery is how often a VM that has started looks whether the list has been read.
const listedEvery = 20 * time.Millisecond

// await waits until the list has been read; false: ctx has ended.
func (c *vmList) await(ctx context.Context) bool {
	for ; ctx.Err() == nil; timing.Sleep(ctx, listedEvery) {
		c.mu.Lock()
		listed := c.at != nil
		c.mu.Unlock()
		if listed {
			return true
		}
	}
	return false
}

// lists tells whether this VM's entry is there as it should be.
func (c *vmList) lists(value []byte) bool {
	var own vmRecord
	if err := json.Unmarshal(value, &own); err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at[prefixVMs+string(own.VM)] == own
}

// Unchanged implements follow.Handler.
func (c *vmList) Unchanged(follow.At) {}

// domainOf returns the failure domain of the VM whose peers speak to it at addr.
func (c *vmList) domainOf(addr string) (ids.FailureDomain, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.at {
		if r.PeerAddr == addr {
			return r.FailureDomain, true
		}
	}
	return "", false
}

// domain returns the failure domain of a VM; empty: it is not listed.
func (c *vmList) domain(vm ids.VM) ids.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.at {
		if r.VM == vm {
			return r.FailureDomain
		}
	}
	return ""
}

// count is how many VMs are listed.
func (c *vmList) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// aliveFor is for how long a VM counts as alive after its last news. VMs with work send
// some every few hundred milliseconds.
const aliveFor = 3 * time.Second

// rank is how many living VMs come before this one for a target, by rendezvous. Entries
// do not expire, so those of VMs that are gone must not count; one that has just nothing
// to tell is passed over, too, and then two VMs take the same rank.
func (c *vmList) rank(id ids.Target) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, before := routing.VMWeight(id, c.d.Settings.VM), 0
	for _, r := range c.at {
		if routing.VMWeight(id, r.VM) > own && c.d.news.SeenWithin(r.VM, aliveFor) {
			before++
		}
	}
	return before
}
