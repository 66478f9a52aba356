package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/lab/cutlink"
	"github.com/threadwall/threadwall/internal/lab/platformlab"
	"github.com/threadwall/threadwall/internal/timing"
)

const (
	// cutSource selects the random source of cuts, so that a seed draws the same other faults with and without.
	cutSource = 0xc07
	// maxCut is how long VMs are cut off from all replicas at most, and maxBrittle how long replicas are brittle.
	maxCut     = 8 * time.Second
	maxBrittle = 6 * time.Second
	// maxLinkedVMs is the number of VMs that can have links of their own: one digit of an address tells them apart.
	maxLinkedVMs = 8
)

// links are one VM's own links to all replicas. Each leads from an address with the replica's port and an IP of the VM's
// own; the VM's connections to the store are rewritten so that it sees these addresses.
type links struct {
	ip string // of the same length as replicasIP

	mu  sync.Mutex
	all map[string]*cutlink.Link // by port
	cut cutlink.Cut
}

// replicasIP is the IP of the replicas' published addresses.
const replicasIP = "127.0.0.1"

// newLinks returns the links of the VM with the given number, from 0.
func newLinks(number int) *links {
	const firstDigit = 2
	return &links{ip: "127.0.0." + strconv.Itoa(firstDigit+number), all: map[string]*cutlink.Link{}}
}

// add creates the link to the replica at a published address.
func (l *links) add(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	link, err := cutlink.New(net.JoinHostPort(l.ip, port), addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[port] = link
	return link.Set(l.cut)
}

// set cuts all links, or restores them.
func (l *links) set(cut cutlink.Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	var all sync.WaitGroup
	for _, link := range l.all {
		all.Go(func() {
			if err := link.Set(cut); err != nil {
				panic(err) // the soak needs all its links
			}
		})
	}
	all.Wait()
}

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.all {
		link.Close()
	}
}

// rewrite replaces the replicas' published addresses in data of the store by those of the links. Both have the same
// length. Data may end within an address; the returned tail is to be put before the next data.
func (l *links) rewrite(data []byte) (out, tail []byte) {
	before, after := []byte(`"address":"`+replicasIP+":"), []byte(`"address":"`+l.ip+":")
	data = bytes.ReplaceAll(data, before, after)
	for n := min(len(before)-1, len(data)); n > 0; n-- {
		if cut := len(data) - n; bytes.HasPrefix(before, data[cut:]) {
			return data[:cut], bytes.Clone(data[cut:])
		}
	}
	return data, nil
}

// injectCuts cuts VMs off from all replicas, and makes replicas brittle, one after the other until ctx ends. The returned
// function waits for the last one and returns their number by name.
func (h *harness) injectCuts(ctx context.Context, seed uint64) (wait func() map[string]int) {
	counts := make(chan map[string]int, 2)
	for i, play := range []func(*rand.Rand) string{h.cutVMs, h.brittleService} {
		rng := rand.New(rand.NewPCG(seed, cutSource+uint64(i)))
		go func() {
			n := map[string]int{}
			for timing.Sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))) {
				n[play(rng)]++
			}
			counts <- n
		}()
	}
	return func() map[string]int {
		all := <-counts
		for name, n := range <-counts {
			all[name] += n
		}
		return all
	}
}

// cutVMs cuts one VM, all but one, or all off from the replicas. Calls at a VM that is cut off count as without a fault
// some time after the cut began, if another VM has its links.
func (h *harness) cutVMs(rng *rand.Rand) string {
	name, n := "cut a VM off from all replicas", 1
	switch rng.IntN(4) {
	case 0:
		name, n = "cut all VMs but one off from all replicas", len(h.vms)-1
	case 1:
		name, n = "cut all VMs off from all replicas", len(h.vms)
	}
	cut := []cutlink.Cut{cutlink.Hangs, cutlink.Refuses, cutlink.Resets, cutlink.OldLives}[rng.IntN(4)]
	off := rng.Perm(len(h.vms))[:n]
	if n == len(h.vms) {
		defer h.begin()()
	}
	change := func(cut cutlink.Cut) {
		for _, i := range off {
			h.vms[i].markFault()
			h.vms[i].links.set(cut)
			h.vms[i].markFault()
		}
	}
	change(cut)
	sleep(rng, maxCut)
	change(cutlink.Up)
	return fmt.Sprintf("%s (%d)", name, cut)
}

// brittleService makes the replicas of the plain service brittle for a while, with little room.
func (h *harness) brittleService(rng *rand.Rand) string {
	defer h.begin()()
	refusals := 2 + rng.IntN(6)
	h.setBrittle(strconv.Itoa(refusals), refusals)
	sleep(rng, maxBrittle)
	h.setBrittle("", 0)
	return "replicas are brittle"
}

const (
	// brittleSlots and brittleWaiting are the room of a brittle replica, and roomySlots that of the others.
	brittleSlots, brittleWaiting = 4, 1
	roomySlots                   = 1000
)

// setBrittle makes the replicas of the plain service announce that they are brittle, and fall over beyond so many
// refusals; zero ends both.
func (h *harness) setBrittle(announced string, refusals int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brittle = refusals
	for _, r := range h.replicas {
		if r.Room != nil {
			r.SetSignals(platformlab.Signals{Brittle: announced})
			h.setRoom(r)
		}
	}
}

// setRoom gives a replica the room of the present time. The caller holds h.mu.
func (h *harness) setRoom(r *replica) {
	slots, waiting := roomySlots, 0
	if h.brittle > 0 {
		slots, waiting = brittleSlots, brittleWaiting
	}
	r.Room.Set(slots, waiting, h.brittle)
}

func (h *harness) countFalls() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.falls
}

// fell replaces a replica that has fallen over, after a while.
func (h *harness) fell(r *replica) {
	end := h.begin()
	h.mu.Lock()
	h.falls++
	for i, other := range h.replicas {
		if other == r {
			h.replicas = append(h.replicas[:i], h.replicas[i+1:]...)
			break
		}
	}
	h.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		defer end()
		h.store.Remove("servers", r.ID)
		h.replace(r)
	})
}
