package main

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of the deployment, and how the case uses them.
const (
	drainTime   = 2 * time.Second          // drainMs: how long a leaving replica may be sent requests
	contactTime = 3 * time.Second          // contactMs
	lingerTime  = 2 * time.Second          // how long beyond drainMs the replica goes on
	watchText   = "objects/servers?waitMs" // in the request line of a watch of the replicas
)

// silentCase has one open connection of one VM to the store go silent, and a replica leave after the VM is in touch again. It counts the bookings that
// reach the replica later than drainMs after the store's confirmation, and those that were accepted and lost with it.
func silentCase(w *world, program string, trouble bool) (broken int, err error) {
	for n := range 4 {
		if _, err := w.addReplica(fmt.Sprint("i-book", n), service, 60*time.Millisecond); err != nil {
			return 0, err
		}
	}
	if err := w.startVMs(program, 3); err != nil {
		return 0, err
	}
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		w.load(w.vms, "q", 1, 10*time.Millisecond, 18*time.Second)
	}()
	silent := time.Now()
	if trouble {
		v := w.vms[0]
		v.proxy.silence(watchText)
		select {
		case silent = <-v.proxy.silenced:
		case <-time.After(8 * time.Second):
			return 0, errors.New("the VM has not begun a watch of the replicas")
		}
		w.note("one connection of %s to the store goes silent", v.name)
	}
	time.Sleep(time.Until(silent.Add(contactTime + 100*time.Millisecond)))
	leaving := w.replicas[0]
	leaving.leaving.Store(true)
	w.store.Remove("servers", leaving.id)
	confirmed := time.Now()
	w.note("the entry of %s is removed, confirmed by the store", leaving.id)
	time.Sleep(time.Until(confirmed.Add(drainTime + lingerTime)))
	leaving.end()
	w.note("%s has exited", leaving.id)
	<-loaded
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := confirmed.Add(drainTime).Sub(w.began)
	lost := 0
	for id, events := range w.events {
		late, answered := false, false
		for _, e := range events {
			late = late || e.what == "run" && e.where == leaving.id && e.at > limit
			answered = answered || e.what == "answered" && e.status == 200
		}
		if late {
			broken++
			w.noteLocked("broken: %s reached %s later than drainMs, served: %v", id, leaving.id, answered)
		}
		if late && !answered {
			lost++
		}
	}
	w.noteLocked("%d bookings sent, %d reached the replica too late, of which %d were not served", len(w.events), broken, lost)
	return broken, nil
}
