package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/follow"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/news"
	"github.com/threadwall/threadwall/internal/routing"
	"github.com/threadwall/threadwall/internal/timing"
)

// A few VMs prove by short watches of the store that the configuration is the
// newest; the others ask them, and the store itself only when no answer helps.
const (
	// provers is how many VMs watch with short waits. With fewer VMs than some, each
	// proves for itself: that costs less than what a lost prover would.
	provers = 6
	// askedAtOnce is how many provers are asked each time.
	askedAtOnce = 2
	// idleWait is how long the watch of a VM waits that proves nothing by it.
	idleWait = 20 * time.Second
	// ownShare is the age of a proof, as a part of KeyTTL, at which a VM asks the store.
	ownShare = 0.6
	// gatherEach is how long changes of replicas are gathered, for each entry VM: in a
	// large fleet a change wakes many watches, and changes come in rows.
	gatherEach = 8 * time.Millisecond
	// gatherMost bounds that; a replica that leaves must be noticed within seconds.
	gatherMost = 600 * time.Millisecond
)

// proverVMs returns the VMs that prove for all: those with the highest rendezvous
// weight for the configuration.
func (d *Daemon) proverVMs() []ids.VM {
	key := ids.Target(d.adapter.KeyConfig)
	all := d.vms.names()
	slices.SortFunc(all, func(a, b ids.VM) int { return cmp.Compare(routing.VMWeight(key, b), routing.VMWeight(key, a)) })
	return all[:min(len(all), provers)]
}

// proves tells whether this VM is one of them.
func (d *Daemon) proves() bool {
	all := d.proverVMs()
	return len(all) < provers || slices.Contains(all, d.Settings.VM)
}

// configWait is how long this VM's watch of the configuration waits.
func (d *Daemon) configWait() time.Duration {
	if d.proves() {
		return d.Settings.Edge.ProofEvery.D()
	}
	return idleWait
}

// gather is how long changes of replicas are gathered.
func (d *Daemon) gather() time.Duration {
	return min(time.Duration(len(d.vms.names()))*gatherEach, gatherMost)
}

// askProofs keeps this VM's proof fresh by those of others.
func (d *Daemon) askProofs(ctx context.Context) {
	ttl := d.Settings.Edge.KeyTTL.D()
	if ttl == 0 {
		return
	}
	every := d.Settings.Edge.ProofEvery.D() / 2
	for timing.Sleep(ctx, every/2+rand.N(every)) {
		if d.proves() {
			continue
		}
		from := d.proverVMs()
		rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		d.news.AskProof(from[:min(len(from), askedAtOnce)])
		old := d.Catalog.ProofAge(time.Now()) > time.Duration(float64(ttl)*ownShare)
		if behind := d.behind.Swap(0); old || behind > d.version() {
			d.askStore(ctx)
		}
	}
}

// version is that of the configuration in force; zero: none is.
func (d *Daemon) version() uint64 {
	if c := d.Catalog.Get(); c != nil {
		return c.Version
	}
	return 0
}

// askStore reads the configuration itself.
func (d *Daemon) askStore(ctx context.Context) {
	sent := time.Now()
	objects, _, err := d.adapter.Store.List(ctx, d.adapter.PrefixConfig)
	if err != nil {
		return // the follower's lines tell of the store's loss
	}
	d.catalogs().Listed(objects, sent, false)
}

func (d *Daemon) catalogs() *follow.Catalogs {
	return &follow.Catalogs{Current: d.Catalog, Decode: d.adapter.DecodeConfig, Key: d.adapter.KeyConfig, Log: d.Log}
}

// proof is this VM's own proof, for a peer that asks.
func (d *Daemon) proof() (news.Proof, bool) {
	c := d.Catalog.Get()
	if c == nil {
		return news.Proof{}, false
	}
	return news.Proof{Version: c.Version, Age: d.Catalog.ProofAge(time.Now())}, true
}

// proven takes in a peer's proof of the version that is in force here. One of a newer
// version says that ours is old: this VM's own watch brings the newer one, or, if it
// has not by the next question, the store is asked.
func (d *Daemon) proven(p news.Proof, asked time.Time) {
	switch own := d.version(); {
	case p.Version > own:
		d.behind.Store(p.Version)
	case p.Version == own && own > 0 && p.Age <= d.Settings.Edge.KeyTTL.D():
		d.Catalog.Prove(asked.Add(-p.Age))
	}
}
