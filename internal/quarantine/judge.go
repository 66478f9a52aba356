package quarantine

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// Replica identifies one incarnation of a target. All VMs derive the same value.
type Replica uint64

// ReplicaOf returns the identifier of an incarnation of a target.
func ReplicaOf(t ids.Target, inc ids.Incarnation) Replica {
	return Replica(xxh3.HashStringSeed(string(t), uint64(inc)))
}

// next returns the identifier of an incarnation that followed r and whose number is unknown.
func (r Replica) next() Replica {
	return Replica(xxh3.Hash(binary.BigEndian.AppendUint64(nil, uint64(r))))
}

// Crash is the end of a replica while it ran a request.
type Crash struct {
	Replica Replica
	Sent    time.Time // when the run that ended with the replica was sent
	Ended   time.Time
}

// Case is the evidence against one request.
type Case struct {
	Request Fingerprint
	// Answered is set if a VM has seen the request answered, so that it does not crash every
	// replica that runs it.
	Answered bool
	// Quarantined is set if this VM or another already quarantined the request.
	Quarantined bool
	Crashes     []Crash // in the order of Ended
	// Needed is the number of crashes that quarantines the request; zero: crashesNeeded, or crashesIfAnswered.
	Needed int
}

const (
	// crashesNeeded is the number of crashes that quarantines a request. Two are too few: the
	// replicas of a stream and of its one retry may both end by themselves, or because of
	// another request.
	crashesNeeded = 3
	// crashesIfAnswered is the same number for a request that was answered before without
	// crashing its replica. A frequent request is in progress wherever replicas end.
	crashesIfAnswered = 12
	// crashesOfPart is the same number for a part of prompts: one more than for a request, since many requests share
	// it. Operators count the requests that come after the fifth crash.
	crashesOfPart = 4
	// crashesIfShared is the same number for a request that shares parts of its prompt. It exceeds crashesOfPart, so that a
	// part is found before the requests that hold it and those that run beside them.
	crashesIfShared = 5
	// sameEventWindow is the time within which several crashes are one event. A cause that
	// ends all replicas of a service at once breaks a run at one replica and its retry at
	// the next. When each crash counted, a harmless request that twelve callers shared was
	// quarantined in each of 40 simulated fleets.
	sameEventWindow = 50 * time.Millisecond
	// separateEventGap is the time between two crashes from which they are separate events
	// even if the later run was sent before the earlier crash.
	separateEventGap = 300 * time.Millisecond
)

// Judge returns the requests that crash replicas according to the cases, without those already
// quarantined. elsewhere reports which replicas crashed for another known reason; nil: none.
//
// Every request in progress on a crashing replica loses its run and is retried together with the
// request that caused the crash. So a crash counts against one request only: the request that
// first has enough crashes is taken for the cause of all its crashes, and the other requests are
// judged by the remaining crashes. Of two requests with the same crashes Judge finds one. If it is
// the wrong one, the next crash identifies the other, and a trial lifts the quarantine of the first.
func Judge(cases []Case, elsewhere func(Replica) bool) []Fingerprint {
	explained := map[Replica]bool{}
	var open []Case
	for _, c := range cases {
		if !c.Quarantined {
			open = append(open, c)
			continue
		}
		for _, crash := range c.Crashes {
			explained[crash.Replica] = true
		}
	}
	if elsewhere != nil {
		for i := range open {
			for _, crash := range open[i].Crashes {
				explained[crash.Replica] = explained[crash.Replica] || elsewhere(crash.Replica)
			}
		}
	}
	var found []Fingerprint
	for {
		first := -1
		var best score
		for i := range open {
			s := scoreOf(&open[i], explained)
			if !s.reachedAt.IsZero() && (first < 0 || s.compare(best) < 0) {
				first, best = i, s
			}
		}
		if first < 0 {
			return found
		}
		found = append(found, open[first].Request)
		for _, c := range open[first].Crashes {
			explained[c.Replica] = true
		}
		open = slices.Delete(open, first, first+1)
	}
}

func (c *Case) needed() int {
	switch {
	case c.Needed > 0:
		return c.Needed
	case c.Answered:
		return crashesIfAnswered
	case c.Request.sharesParts():
		return crashesIfShared
	}
	return crashesNeeded
}

// score orders cases by the time at which they had enough crashes; at the same time the case
// with the most crashes comes first. Requests that were ever answered come after all others,
// since they are in progress wherever the others crash replicas.
type score struct {
	answered  int       // 1 if the request was answered, else 0
	reachedAt time.Time // time of the crash that completed the needed number; zero if there are too few
	crashes   int       // crashes that no other request explains
	request   Fingerprint
}

func (s score) compare(o score) int {
	return cmp.Or(cmp.Compare(s.answered, o.answered), s.reachedAt.Compare(o.reachedAt), -cmp.Compare(s.crashes, o.crashes), bytes.Compare(s.request[:], o.request[:]))
}

// scoreOf returns the score of a case by the crashes that no other request explains.
func scoreOf(c *Case, explained map[Replica]bool) score {
	s := score{request: c.Request}
	if c.Answered {
		s.answered = 1
	}
	counted := 0
	var last Crash
	for _, crash := range c.Crashes {
		if explained[crash.Replica] {
			continue
		}
		s.crashes++
		if counted > 0 && !separate(last, crash) {
			continue
		}
		counted++
		last = crash
		if counted == c.needed() {
			s.reachedAt = crash.Ended
		}
	}
	return s
}

// separate reports whether a crash and an earlier one are separate events.
func separate(earlier, crash Crash) bool {
	gap := crash.Ended.Sub(earlier.Ended)
	return gap >= separateEventGap || gap >= sameEventWindow && !crash.Sent.Before(earlier.Ended)
}
