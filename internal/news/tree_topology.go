package news

import (
	"cmp"
	"time"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/routing"
)

// This file decides who is the parent of a VM, and to whom a root reports.

// avoidance is the state of a skipped parent. The zero value is not active.
type avoidance struct {
	since     time.Time
	announced bool // it has announced itself since
}

func (a avoidance) active(now time.Time) bool {
	if a.announced {
		return now.Sub(a.since) < avoidAnnounced
	}
	return now.Sub(a.since) < avoidUnannounced
}

// compareTreeOrder sorts the VMs of a failure domain: widest links first, since a parent sends
// the total to all its children.
func compareTreeOrder(a, b Peer) int {
	if a.LinkMbps != b.LinkMbps {
		return cmp.Compare(b.LinkMbps, a.LinkMbps)
	}
	return cmp.Compare(routing.VMWeight(treeKey, b.VM), routing.VMWeight(treeKey, a.VM))
}

// treeKey is the rendezvous key that ranks VMs with equal links.
const treeKey ids.Target = "news tree"

// chooseParent returns the parent of this VM; false: this VM is a root. The caller holds the lock.
func (t *tree) chooseParent(now time.Time) (Peer, bool) {
	if t.parent != "" && now.Sub(maxTime(t.parentSince, t.total.receivedAt)) > parentTimeout {
		if t.avoided == nil {
			t.avoided = map[ids.VM]avoidance{}
		}
		t.avoided[t.parent] = avoidance{since: now}
	}
	for _, p := range t.parentCandidates {
		if t.avoided[p.VM].active(now) {
			continue
		}
		if t.parent != p.VM {
			t.parent, t.parentSince, t.total = p.VM, now, receivedDigest{}
		}
		return p, true
	}
	t.parent = ""
	return Peer{}, false
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// peerAnnounced records that a VM has announced itself. If this VM skips it as a parent, the skip
// then ends avoidAnnounced after it began. It does not end at once, since a VM that can send but
// not receive announces itself, too.
func (t *tree) peerAnnounced(vm ids.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.avoided[vm]; ok {
		a.announced = true
		t.avoided[vm] = a
	}
}

// peersAbove returns the receivers of this VM's reports: the parent, or the other roots if this VM is
// one. The caller holds the lock.
func (t *tree) peersAbove(now time.Time) (peers []Peer, isRoot bool) {
	if parent, ok := t.chooseParent(now); ok {
		return []Peer{parent}, false
	}
	return t.otherRoots(now), true
}

// otherRoots returns the roots of the other domains and, for each domain with an unknown root, some
// VMs that may be it. The caller holds the lock.
func (t *tree) otherRoots(now time.Time) []Peer {
	var out []Peer
	if t.rootUnknownSince == nil {
		t.rootUnknownSince = map[ids.FailureDomain]uint64{}
	}
	for domain, peers := range t.otherDomains {
		known := false
		for _, p := range peers {
			if _, ok := t.roots[p.VM]; ok {
				out, known = append(out, p), true
			}
		}
		if known {
			delete(t.rootUnknownSince, domain)
			continue
		}
		if t.rootUnknownSince[domain] == 0 {
			t.rootUnknownSince[domain] = t.fullRounds
		}
		for i := range min(rootCandidates, len(peers)) {
			at := int((t.fullRounds-t.rootUnknownSince[domain])/rootCandidateRounds)*rootCandidates + i
			out = append(out, peers[at%len(peers)])
		}
	}
	return out
}
