// Command memorylab plays callers of entry VMs and the platform around the VMs: its store, its
// replicas, and its limit on the memory of a process. It checks whether a VM closes kept connections
// whose requests sound replicas have begun, without a complete answer.
package main

import (
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
	memoryMB     = 134
	ratePerS     = (27.6 + 34.8) / 8 // stream requests/s at one of its 8 VMs
	maxBodyBytes = 4194304
	eventPause   = 60 * time.Millisecond
	smallBody    = 1700 // bytes
	before       = 10 * time.Second
	after        = 8 * time.Second
	// mostLost is how often a VM may break off such requests by the rule.
	mostLost = 3
)

// route is one of the two kinds of streams.
type route struct {
	name, path, tokens, shared string
	timeout                    time.Duration // also of callers
	objectiveMs, priority      int
	events, attempts           int
	resumable                  bool
}

var (
	clauseCheck = route{name: "clause-check", path: "/clauses/", tokens: "9190,9", shared: "a1:2520,b%d:3780", timeout: 4 * time.Second, objectiveMs: 600, priority: 1, events: 9, attempts: 1}
	returnNote  = route{name: "return-note", path: "/notes/", tokens: "628,49", shared: "c1:119,d%d:79", timeout: 12 * time.Second, objectiveMs: 500, events: 49, attempts: 2, resumable: true}
)

// clauseChecksIn is the number of clause checks in nineRequests: 27.6 of 62.4.
const (
	clauseChecksIn = 4
	nineRequests   = 9
)

// routeOf returns the route of a caller's n-th request.
func routeOf(n int64) *route {
	if n*clauseChecksIn%nineRequests < clauseChecksIn {
		return &clauseCheck
	}
	return &returnNote
}

// scenario is a case, with its disruption.
type scenario struct {
	vms       int
	bodyBytes int           // of each request, sent in chunks
	length    time.Duration // of the disruption
	burst     float64       // factor of the rate during the disruption
	garblers  int           // replicas that spoil answers during the disruption
	oneIn     int           // of their answers is spoilt
}

var scenarios = map[string]scenario{
	"bodies": {vms: 2, bodyBytes: 4_000_000, length: 3 * time.Second, burst: 1.7},
	"garble": {vms: 6, bodyBytes: smallBody, length: 5500 * time.Millisecond, burst: 1, garblers: 3, oneIn: 50},
}

func main() {
	program := flag.String("program", "target/threadwalld", "the daemon")
	template := flag.String("template", "deploy/threadwalld.json.tmpl", "the template of its settings")
	recordFile := flag.String("record", "record.txt", "the file to write what was seen to")
	name := flag.String("case", "bodies", "bodies or garble")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	s, known := scenarios[*name]
	record, err := os.Create(*recordFile)
	if err != nil || !known {
		log.Print("no such case, or no record: ", err)
		os.Exit(2)
	}
	broken, err := run(&s, *program, *template, *trouble, &recorder{to: record, began: time.Now()})
	_ = record.Close()
	switch {
	case err != nil:
		log.Print(err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// run plays the case and reports whether the rule was broken.
func run(s *scenario, program, template string, trouble bool, rec *recorder) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "memorylab-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p, err := newPlatform(s.garblers, rec)
	if err != nil {
		return false, err
	}
	defer p.close()
	var all []*callers
	stopAll := func() {
		for _, c := range all {
			c.vm.stop()
		}
	}
	defer stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		stopAll()
		os.Exit(2)
	}()
	for i := range s.vms {
		m, err := newMachine(dir, program, template, fmt.Sprint("front-", i+1), p.store.URL(), rec)
		if err != nil {
			return false, err
		}
		all = append(all, newCallers(m, p, rec))
	}
	for _, c := range all {
		if !c.vm.awaitReady(10 * time.Second) {
			return false, fmt.Errorf("%s did not become ready", c.vm.name)
		}
	}
	play(s, p, all, trouble, rec)
	if s.garblers > 0 && trouble && (!p.spoilt || p.answers < int64(s.oneIn)) {
		return false, fmt.Errorf("one of %d answers was spoilt: %v, want one of %d or more", p.answers, p.spoilt, s.oneIn)
	}
	for _, c := range all {
		rec.printf("%s: most anonymous memory %d MiB of %d, killed for memory %d times; requests %d, answered whole %d, refused or failed %d, lost on a kept connection after a sound replica had begun them %d",
			c.vm.name, c.vm.peak.Load()>>20, memoryMB, c.vm.kills.Load(), c.sent.Load(), c.whole.Load(), c.refused.Load(), c.lost.Load())
		broken = broken || c.lost.Load() > mostLost
	}
	rec.printf("rule LOST broken: %v", broken)
	return broken, nil
}

// play sends the requests, and brings about the disruption if trouble is set.
func play(s *scenario, p *platform, all []*callers, trouble bool, rec *recorder) {
	for _, c := range all {
		c.openConnections()
	}
	began := time.Now()
	disrupted := false
	for now := time.Duration(0); now < before+s.length+after; now = time.Since(began) {
		if in := trouble && now >= before && now < before+s.length; in != disrupted {
			disrupted = in
			rec.printf("the disruption: %v", in)
			for _, r := range p.replicas[:s.garblers] {
				r.oneIn.Store(int64(s.oneIn))
				if !in {
					r.oneIn.Store(0)
				}
			}
		}
		rate := ratePerS
		if disrupted {
			rate *= s.burst
		}
		for _, c := range all {
			c.send(s.bodyBytes)
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	rec.printf("the last request was sent")
	for _, c := range all {
		c.wait()
	}
	rec.printf("one of %d answers was spoilt: %v", p.answers, p.spoilt)
}
