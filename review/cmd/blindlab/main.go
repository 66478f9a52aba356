// Command blindlab plays a small deployment of which machines were replaced over two days. Then half of the machines
// lose power at once, and operators move a route to another service. It checks whether VMs that nothing happened to still
// send requests to the service that the route had before.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Figures of the site solano-carretes.
const (
	configApply = 2 * time.Second // configApplyMs
	contact     = 3 * time.Second // contactMs
	// requestPause is the time between two plain requests at a VM: 23.5/s of its zone at two VMs, of which 23.6 in 86 are plain.
	requestPause = 310 * time.Millisecond
	replacePause = 2 * time.Second // x of replace_core
	powerOff     = 5 * time.Second // for_s of herd_kill, as it is if a day names none
	settle       = 6 * time.Second
	// changeAfter is how long after the loss of power the route is moved.
	changeAfter = 50 * time.Millisecond
)

// The zones of the site with the numbers of their machines, and the zones in which a machine is replaced: one in each
// on the first day, as many as the site has spare machines, and one on the second. Beside the zone of the VM that reads
// the store, the machine of alsoOff loses power.
var (
	zones = []struct {
		name     string
		machines int
	}{{"sala-heredia", 3}, {"sala-cartago", 2}, {"sala-alajuela", 1}, {"sala-sanjose", 2}}
	replaced = []string{"sala-heredia", "sala-cartago", "sala-alajuela", "sala-sanjose", "sala-cartago"}
	alsoOff  = "sala-alajuela"
)

func main() {
	program := flag.String("program", "target/threadwalld", "the daemon")
	template := flag.String("template", "deploy/threadwalld.json.tmpl", "the template of its settings")
	recordFile := flag.String("record", "record.txt", "the file to write what was seen to")
	trouble := flag.Bool("trouble", true, "with the loss of power")
	flag.Parse()
	record, err := os.Create(*recordFile)
	if err != nil {
		log.Print(err)
		os.Exit(2)
	}
	f := &fleet{program: *program, template: *template, rec: &recorder{to: record, began: time.Now()}}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(2)
	}()
	broken, err := f.run(*trouble)
	f.stop()
	_ = record.Close()
	switch {
	case err != nil:
		log.Print(err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// fleet is the deployment.
type fleet struct {
	program, template string
	rec               *recorder
	dir               string
	p                 *platform
	vms               []*machine // that are there
	numbers           map[string]int
}

var errNotReady = errors.New("a VM did not become ready")

// add starts a machine in a zone, with the next number.
func (f *fleet) add(zone string) error {
	f.numbers[zone]++
	m, err := newMachine(f, fmt.Sprintf("front-%s-%d", zone, f.numbers[zone]), zone)
	if err != nil {
		return err
	}
	f.vms = append(f.vms, m)
	return nil
}

// replace removes the oldest machine of a zone for good, and adds one at another address.
func (f *fleet) replace(zone string) error {
	for i, m := range f.vms {
		if m.zone != zone {
			continue
		}
		f.rec.printf("%s is gone for good", m.name)
		f.vms = append(f.vms[:i:i], f.vms[i+1:]...)
		m.stop()
		m.keepSilent()
		break
	}
	time.Sleep(replacePause)
	if err := f.add(zone); err != nil {
		return err
	}
	m := f.vms[len(f.vms)-1]
	f.rec.printf("%s takes its place", m.name)
	if !m.awaitReady(10 * time.Second) {
		return errNotReady
	}
	return nil
}

func (f *fleet) run(trouble bool) (broken bool, err error) {
	if f.dir, err = os.MkdirTemp("", "blindlab-"); err != nil {
		return false, err
	}
	f.numbers = map[string]int{}
	if f.p, err = newPlatform(f.rec); err != nil {
		return false, err
	}
	for _, z := range zones {
		for range z.machines {
			if err := f.add(z.name); err != nil {
				return false, err
			}
		}
	}
	for _, m := range f.vms {
		if !m.awaitReady(10 * time.Second) {
			return false, errNotReady
		}
	}
	for i, zone := range replaced {
		if i == len(zones) {
			f.rec.printf("the second day")
		}
		if err := f.replace(zone); err != nil {
			return false, err
		}
	}
	all := make([]*callers, 0, len(f.vms))
	for _, m := range f.vms {
		c := newCallers(m, f.p, f.rec)
		all = append(all, c)
		go c.run()
	}
	time.Sleep(settle)
	return f.disrupt(trouble, all)
}

// disrupt takes the power of four of eight machines, the VM that reads the store for the others among them, moves the route, and reports whether a VM that
// nothing happened to went by the old configuration for too long.
func (f *fleet) disrupt(trouble bool, all []*callers) (broken bool, err error) {
	reader := ""
	for _, m := range f.vms {
		s := m.status()
		f.rec.printf("%s reads the store by %s", m.name, s.Source)
		if s.Source == "store" && reader == "" {
			reader = m.zone
		}
	}
	var off []*machine
	if trouble {
		for _, m := range f.vms {
			if f.isOff(m, reader) {
				f.rec.printf("%s loses power", m.name)
				m.pause()
				off = append(off, m)
			}
		}
	}
	time.Sleep(changeAfter)
	confirmed := time.Now()
	f.p.putConfig(2)
	f.rec.printf("the route is moved from %s to %s: confirmed", oldService, newService)
	for _, m := range f.vms {
		if !trouble || !f.isOff(m, reader) {
			go f.logAdoption(m, confirmed)
		}
	}
	time.Sleep(time.Until(confirmed.Add(powerOff)))
	for _, m := range off {
		f.rec.printf("%s has power again", m.name)
		m.restart()
	}
	time.Sleep(contact)
	for _, c := range all {
		if f.isOff(c.vm, reader) && trouble {
			continue // not in touch
		}
		late := c.lateAt(confirmed)
		f.rec.printf("%s: requests sent later than configApplyMs after the confirmation and run by %s: %d", c.vm.name, oldService, late)
		broken = broken || late > 0
	}
	f.rec.printf("rule CONFIG broken: %v", broken)
	return broken, nil
}

// isOff reports whether a machine is one that loses power.
func (f *fleet) isOff(m *machine, reader string) bool { return m.zone == reader || m.zone == alsoOff }

// logAdoption records when a VM has the new configuration, as its admin interface tells.
func (f *fleet) logAdoption(m *machine, confirmed time.Time) {
	for time.Since(confirmed) < powerOff {
		if s := m.status(); s.Catalog == 2 {
			f.rec.printf("%s has the new configuration %d ms after the confirmation, by %s", m.name, time.Since(confirmed).Milliseconds(), s.Source)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *fleet) stop() {
	for _, m := range f.vms {
		m.stop()
	}
	if f.p != nil {
		f.p.close()
	}
	_ = os.RemoveAll(f.dir)
}
