package gateway

import (
	"time"

	"github.com/gin-gonic/gin"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ingress"
	"github.com/threadwall/threadwall/internal/outcome"
)

// drainRetryAfter is the Retry-After of a VM that shuts down. Other VMs take the call at once.
const drainRetryAfter = 100 * time.Millisecond

// Drain begins the shutdown: from now on a call is taken only if its template's deadline lies before the given time, and responses ask
// callers to use another connection.
func (g *Gateway) Drain(ends time.Time) { g.drainEnds.Store(&ends) }

// refuseInDrain refuses a call that may last until the given deadline, if that is after the end of the drain.
func (g *Gateway) refuseInDrain(deadline time.Duration) *outcome.Error {
	ends := g.drainEnds.Load()
	if ends == nil || deadline <= clock.Until(*ends) {
		return nil
	}
	return outcome.New(outcome.NotRun, outcome.CodeNotReady, "drain", "", "this VM shuts down, and the call may take longer than that").After(drainRetryAfter)
}

// closeIfDraining asks the caller to use another connection next time, unless a further request has come on this one.
func (g *Gateway) closeIfDraining(c *gin.Context) {
	if g.drainEnds.Load() != nil && !ingress.Followed(c.Request.Context()) {
		c.Header("Connection", "close")
	}
}
