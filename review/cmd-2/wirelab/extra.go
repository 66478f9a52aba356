package main

import (
	"fmt"
	"time"
)

// extraEvery is after how many answers a faulty replica sends additional bytes: 3 of 100.
const extraEvery = 34

// loadTime is how long bookings are sent.
const loadTime = 30 * time.Second

// extraCase has half of the replicas send additional bytes after some of their complete answers, and counts the bookings that ran more than once, and those
// that were answered as not run and have run.
func extraCase(w *world, program string, trouble bool) (broken int, err error) {
	for n := range 4 {
		r, err := w.addReplica(fmt.Sprint("i-book", n), service, 60*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if trouble && n < 2 {
			r.extraEvery = extraEvery
		}
	}
	if err := w.startVMs(program, 3); err != nil {
		return 0, err
	}
	w.load(w.vms, "q", 1, 20*time.Millisecond, loadTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	served := 0
	for id, events := range w.events {
		runs, refused := 0, false
		for _, e := range events {
			switch {
			case e.what == "run":
				runs++
			case e.what == "answered" && (e.status == 503 || e.status == 429):
				refused = true
			case e.what == "answered" && e.status == 200:
				served++
			}
		}
		if runs > 1 || runs > 0 && refused {
			broken++
			w.noteLocked("broken: %s ran %d times, answered as not run: %v", id, runs, refused)
		}
	}
	w.noteLocked("%d bookings sent, %d answered with 200", len(w.events), served)
	if served < len(w.events)/2 {
		return 0, fmt.Errorf("only %d of %d bookings were served", served, len(w.events))
	}
	return broken, nil
}

// startVMs starts VMs and waits until they are ready and have been so for the time in which they find each other.
func (w *world) startVMs(program string, n int) error {
	for i := range n {
		if _, err := w.startVM(program, fmt.Sprint("front-", i+1), "sala-heredia"); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if err := v.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}
