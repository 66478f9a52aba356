package fleet

import (
	"time"

	"github.com/threadwall/threadwall/internal/routing"
)

// maxHerd returns the Request.MaxHerd of a request. While calls do not wait, herds of the usual size
// are computed before the next requests arrive, and smaller samples would only cost cached prefixes
// and near targets. Requests without a prompt have no prefill time to bound.
func (f *Fleet) maxHerd(r *routing.Request, now time.Time) float32 {
	if r.Tokens <= 0 || f.UsualPrefill == nil || !f.Load.CallsWait(now) {
		return 0
	}
	return routing.HerdOf(f.UsualPrefill(r.Service))
}
