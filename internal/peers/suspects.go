package peers

import (
	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/peerpb"
	"github.com/threadwall/threadwall/internal/quarantine"
	"github.com/threadwall/threadwall/internal/routing"
)

// suspectsProto encodes reports on requests that were in progress when targets crashed.
func suspectsProto(reports []quarantine.Report) []*peerpb.Suspect {
	out := make([]*peerpb.Suspect, 0, len(reports))
	for i := range reports {
		r := &reports[i]
		s := &peerpb.Suspect{Fingerprint: r.Request[:], Answers: r.Answers, Trials: r.Trials, Quarantined: r.Quarantined}
		for _, c := range r.Crashes {
			s.Crashes = append(s.Crashes, &peerpb.Crash{Target: uint64(c.Replica), SentMs: uint64(c.SentMs), EndedMs: uint64(c.EndedMs)})
		}
		out = append(out, s)
	}
	return out
}

// applySuspects applies a peer's reports on requests that were in progress when targets crashed. It
// skips reports whose fingerprint is too short. forward is set if this VM passes the reports on to
// its own domain.
func (n *Node) applySuspects(from ids.VM, suspects []*peerpb.Suspect, forward bool) {
	if n.Crashes == nil || len(suspects) == 0 {
		return
	}
	reports := make([]quarantine.Report, 0, len(suspects))
	for _, s := range suspects {
		r := quarantine.Report{Answers: s.Answers, Trials: s.Trials, Quarantined: s.Quarantined}
		if copy(r.Request[:], s.Fingerprint) != len(r.Request) {
			continue
		}
		for _, c := range s.Crashes {
			r.Crashes = append(r.Crashes, quarantine.ReportedCrash{
				Replica: quarantine.Replica(c.Target), SentMs: int64(c.SentMs), EndedMs: int64(c.EndedMs),
			})
		}
		reports = append(reports, r)
	}
	n.Crashes.Receive(from, reports, forward)
}

// FleetRank returns how many VMs rank before this one, by rendezvous weight of name, for a task
// that one VM of the fleet does. VMs of other domains count as alive: waiting for one that is dead
// only costs time.
func (n *Node) FleetRank(name ids.Target) int {
	own, before := routing.VMWeight(name, n.VM), 0
	for _, p := range n.Fleet.Members.Peers(clock.Now()) {
		alive := p.State >= routing.Joining || p.FailureDomain != n.Domain
		if p.ID != n.VM && alive && routing.VMWeight(name, p.ID) > own {
			before++
		}
	}
	return before
}
