package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The machines of the site solano-carretes by zone, the zones in which one is replaced for good (one in each, as many as the site has spare
// machines, and one more on another day), and bounds.
var (
	zones = []struct {
		name     string
		machines int
	}{{"sala-heredia", 3}, {"sala-cartago", 2}, {"sala-alajuela", 1}, {"sala-sanjose", 2}}
	replacedIn = []string{"sala-heredia", "sala-cartago", "sala-alajuela", "sala-sanjose", "sala-cartago"}
)

const (
	// alsoOff loses power beside the zone of the VM that reads the store.
	alsoOff = "sala-alajuela"
	// configTime is configApplyMs.
	configTime = 2 * time.Second
	// powerTime is how long machines have no power: for_s of herd_kill where a day names none.
	powerTime = 5 * time.Second
	// settleTime is how long the VMs run undisturbed before the loss of power, at least.
	settleTime = 6 * time.Second
	// replaceTime is x of replace_core: how long after the loss of a machine the new one comes.
	replaceTime = 2 * time.Second
	// bookingPause is the time between two bookings at one VM.
	bookingPause = 40 * time.Millisecond
	// loadOfRound is how long bookings are sent in a round.
	loadOfRound = 8 * time.Second
	// rounds is how often half of the VMs lose power.
	rounds = 3
)

// fleet is the VMs that are there, in the order of their starts.
type fleet struct {
	w       *world
	program string
	there   []*vm
	numbers map[string]int
}

// add starts a VM in a zone and waits until it is ready.
func (f *fleet) add(zone string) error {
	f.numbers[zone]++
	v, err := f.w.startVM(f.program, fmt.Sprintf("front-%s-%d", zone, f.numbers[zone]), zone)
	if err != nil {
		return err
	}
	f.there = append(f.there, v)
	return v.awaitReady(10 * time.Second)
}

// replace removes the oldest VM of a zone for good and starts another one at other addresses.
func (f *fleet) replace(zone string) error {
	for i, v := range f.there {
		if v.zone == zone {
			if err := v.remove(); err != nil {
				return err
			}
			f.w.note("%s is gone for good", v.name)
			f.there = append(f.there[:i:i], f.there[i+1:]...)
			break
		}
	}
	time.Sleep(replaceTime)
	return f.add(zone)
}

// replacedCase replaces five of eight VMs over time. Then, in each round, half of the VMs lose power at once, the one that reads the store among them, and
// operators move the route. It counts the bookings that were sent to VMs to which nothing happened later than configApplyMs after the confirmation, and
// that the old service ran.
func replacedCase(w *world, program string, trouble bool) (broken int, err error) {
	for n := range 8 {
		to := service
		if n%2 == 1 {
			to = otherService
		}
		if _, err := w.addReplica(fmt.Sprintf("i-%s-%d", to, n), to, 20*time.Millisecond); err != nil {
			return 0, err
		}
	}
	f := &fleet{w: w, program: program, numbers: map[string]int{}}
	for _, z := range zones {
		for range z.machines {
			if err := f.add(z.name); err != nil {
				return 0, err
			}
		}
	}
	for _, zone := range replacedIn {
		if err := f.replace(zone); err != nil {
			return 0, err
		}
	}
	from, to := service, otherService
	for n := range rounds {
		late, err := f.round(n, from, to, trouble)
		if err != nil {
			return 0, err
		}
		broken += late
		from, to = to, from
	}
	return broken, nil
}

// round takes the power of half of the VMs, moves the route, and returns how many bookings were run by its old service too late. Then the power is back.
func (f *fleet) round(n int, from, to string, trouble bool) (broken int, err error) {
	w := f.w
	time.Sleep(settleTime)
	reader := ""
	for range 10 {
		if reader = f.readerZone(); reader != "" {
			break
		}
	}
	if reader == "" {
		return 0, errors.New("no single zone reads the configuration from the store")
	}
	w.note("round %d: a VM of %s reads the store for the others", n, reader)
	var calm, off []*vm
	for _, v := range f.there {
		if v.zone == reader || v.zone == alsoOff {
			off = append(off, v)
		} else {
			calm = append(calm, v)
		}
	}
	prefix := fmt.Sprintf("round%d-", n)
	var loads sync.WaitGroup
	for i, v := range calm {
		loads.Go(func() { w.load([]*vm{v}, fmt.Sprintf("%svm%d-", prefix, i), 1, bookingPause, loadOfRound) })
	}
	time.Sleep(time.Second + rand.N(time.Second)) // at any moment
	if trouble {
		for _, v := range off {
			w.note("%s loses power", v.name)
			_ = v.cmd.Process.Signal(syscall.SIGSTOP)
		}
	}
	w.configure(firstVersion+1+n, to)
	confirmed := time.Now()
	w.note("the route leads to %s, confirmed by the store", to)
	if trouble {
		time.Sleep(time.Until(confirmed.Add(powerTime)))
		for _, v := range off {
			v.kill()
			w.note("%s has power again", v.name)
			if err := v.start(); err != nil {
				return 0, err
			}
		}
	}
	loads.Wait()
	return w.runByOldService(prefix, from, confirmed.Add(configTime).Sub(w.began)), nil
}

// readerZone returns the zone of the VMs that call the store about the configuration; empty: it isn't one zone.
func (f *fleet) readerZone() string {
	before := map[*vm]int64{}
	for _, v := range f.there {
		before[v] = v.proxy.configCalls.Load()
	}
	time.Sleep(1500 * time.Millisecond)
	zone := ""
	for _, v := range f.there {
		if v.proxy.configCalls.Load() == before[v] {
			continue
		}
		if zone != "" && zone != v.zone {
			return ""
		}
		zone = v.zone
	}
	return zone
}

// runByOldService counts the bookings of a round that were sent after a time and run by the service to which the route led before.
func (w *world) runByOldService(prefix, from string, limit time.Duration) (broken int) {
	old := map[string]bool{}
	for _, r := range w.replicas {
		old[r.id] = r.service == from
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := 0
	for id, events := range w.events {
		if !strings.HasPrefix(id, prefix) {
			continue
		}
		sent++
		late := false
		for _, e := range events {
			late = late || e.what == "sent" && e.at > limit
			if late && e.what == "run" && old[e.where] {
				broken++
				w.noteLocked("broken: %s was sent %v after configApplyMs and run by %s", id, events[0].at-limit, e.where)
			}
		}
	}
	w.noteLocked("%s %d bookings sent, %d too late at the old service", prefix, sent, broken)
	return broken
}
