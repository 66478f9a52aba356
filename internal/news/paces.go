package news

import (
	"cmp"
	"slices"

	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/loadview"
)

// wirePace is a loadview.Pace, in about 22 bytes. Answers and Slow are in hundredths of an answer, Measured
// and Predicted in milliseconds: integers can't carry NaN or infinity.
type wirePace struct {
	_         struct{} `cbor:",toarray"`
	Target    shortID
	Domain    uint16
	Seed      bool
	Answers   int64
	Slow      int64
	Measured  int64
	Predicted int64
}

const (
	paceAnswerUnit = 100
	paceTimeUnit   = 1000
	// maxDigestPaces bounds the paces in a digest, one for each target and failure domain, to 3.6 KB:
	// 40 targets in 3 failure domains. Beyond it a digest has only the slowest targets. With 128 the
	// largest total of 2,000 VMs exceeded maxDatagram and was not sent (TestTotalFitsInDatagram).
	maxDigestPaces = 120
)

func toWirePaces(all []loadview.Pace) []wirePace {
	var out []wirePace
	for i := range all {
		p := &all[i]
		out = append(out, wirePace{
			Target: shorten(p.Target), Domain: p.Domain, Seed: p.Seed, Answers: int64(p.Answers*paceAnswerUnit + 0.5),
			Slow: int64(p.Slow * paceAnswerUnit), Measured: int64(p.Measured*paceTimeUnit + 0.5), Predicted: int64(p.Predicted*paceTimeUnit + 0.5),
		})
	}
	return out
}

// pace converts w, apart from the target.
func (w *wirePace) pace() loadview.Pace {
	return loadview.Pace{Domain: w.Domain, Seed: w.Seed, PaceSums: loadview.PaceSums{
		Answers: float64(w.Answers) / paceAnswerUnit, Slow: float64(w.Slow) / paceAnswerUnit,
		Measured: float64(w.Measured) / paceTimeUnit, Predicted: float64(w.Predicted) / paceTimeUnit,
	}}
}

// fromWirePaces leaves out targets that resolve does not know, and implausible sums.
func fromWirePaces(all []wirePace, resolve func(short uint32) (ids.Target, bool)) []loadview.Pace {
	var out []loadview.Pace
	for i := range all {
		p := all[i].pace()
		if t, ok := resolve(uint32(all[i].Target)); ok && p.Valid() {
			p.Target = t
			out = append(out, p)
		}
	}
	return out
}

// sumPaces adds up the paces of digests by target and failure domain.
func sumPaces(parts []receivedDigest) []wirePace {
	type key struct {
		target shortID
		domain uint16
	}
	var sums map[key]wirePace
	for i := range parts {
		for _, w := range parts[i].Paces {
			if p := w.pace(); !p.Valid() {
				continue
			}
			if sums == nil {
				sums = map[key]wirePace{}
			}
			k := key{w.Target, w.Domain}
			s := sums[k]
			sums[k] = wirePace{
				Target: w.Target, Domain: w.Domain, Seed: s.Seed || w.Seed, Answers: s.Answers + w.Answers, Slow: s.Slow + w.Slow,
				Measured: s.Measured + w.Measured, Predicted: s.Predicted + w.Predicted,
			}
		}
	}
	if len(sums) == 0 {
		return nil
	}
	out := make([]wirePace, 0, len(sums))
	scores := make(map[key]float64, len(sums))
	for k, w := range sums {
		p := w.pace()
		scores[k] = p.Score()
		out = append(out, w)
	}
	slices.SortFunc(out, func(a, b wirePace) int {
		return cmp.Or(cmp.Compare(scores[key{b.Target, b.Domain}], scores[key{a.Target, a.Domain}]), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Domain, b.Domain))
	})
	return out[:min(len(out), maxDigestPaces)]
}

// includes reports whether members contain a VM.
func includes(members []member, vm ids.VM) bool {
	short := shortenVM(vm)
	return slices.ContainsFunc(members, func(m member) bool { return m.vm == short })
}
