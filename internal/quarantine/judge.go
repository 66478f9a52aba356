package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// Replica names one incarnation of a target, the same at all VMs.
type Replica uint64

// ReplicaOf returns the name of an incarnation.
func ReplicaOf(t ids.Target, inc ids.Incarnation) Replica {
	return Replica(xxh3.HashStringSeed(string(t), uint64(inc)))
}

// Crash is the end of a replica while it ran a request.
type Crash struct {
	Replica Replica
	Sent    time.Time // of the run that ended with it; the last one, if there were several
	Ended   time.Time
}

// Case is what speaks against one request.
type Case struct {
	Request Fingerprint
	// Answered is set when the request was answered since the VMs remember it: it does not
	// crash whatever runs it.
	Answered bool
	Crashes  []Crash // in the order of Ended
}

// Limits of the judgement.
const (
	// crashesNeeded is how many crashes quarantine a request. Two are too few: of a stream
	// and its one retry both replicas may end by themselves, or under a request beside it.
	crashesNeeded = 3
	// crashesIfAnswered is the same for a request that was answered before: one that many
	// callers share is under way wherever replicas end.
	crashesIfAnswered = 6
	// crashesApart is the time between two crashes that are taken for one event unless the
	// later run was sent after the earlier crash: what ends several replicas at once ends
	// them within some ten milliseconds.
	crashesApart = 300 * time.Millisecond
)

// Judge returns the requests that are to be kept from replicas.
//
// Whatever was under way on a replica that crashes loses its run, and is then tried again
// together with the request that did it. So a crash counts against one request only: the
// one with the most crashes is taken for the cause of all of its own, and the others are
// judged by what that leaves. Of two with the same crashes one is quarantined; if it was
// the wrong one, the next crash tells, and lets it go.
func Judge(cases []Case) map[Fingerprint]bool {
	quarantined := map[Fingerprint]bool{}
	explained := map[Replica]bool{}
	open := slices.Clone(cases)
	for {
		worst := -1
		var most score
		for i := range open {
			s := scoreOf(&open[i], explained)
			if s.counted < open[i].needed() {
				continue
			}
			if worst < 0 || s.compare(most) > 0 {
				worst, most = i, s
			}
		}
		if worst < 0 {
			return quarantined
		}
		quarantined[open[worst].Request] = true
		for _, c := range open[worst].Crashes {
			explained[c.Replica] = true
		}
		open = slices.Delete(open, worst, worst+1)
	}
}

func (c *Case) needed() int {
	if c.Answered {
		return crashesIfAnswered
	}
	return crashesNeeded
}

// score orders cases: the one that explains most comes first.
type score struct {
	counted int // separate events
	all     int
	request Fingerprint
}

func (s score) compare(o score) int {
	return cmp.Or(cmp.Compare(s.counted, o.counted), cmp.Compare(s.all, o.all), bytes.Compare(s.request[:], o.request[:]))
}

// scoreOf counts the crashes that nothing else explains.
func scoreOf(c *Case, explained map[Replica]bool) score {
	s := score{request: c.Request}
	var last Crash
	for _, crash := range c.Crashes {
		if explained[crash.Replica] {
			continue
		}
		s.all++
		separate := !crash.Sent.Before(last.Ended) || crash.Ended.Sub(last.Ended) >= crashesApart
		if s.counted == 0 || separate {
			s.counted++
			last = crash
		}
	}
	return s
}
