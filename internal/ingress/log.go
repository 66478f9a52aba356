package ingress

import "github.com/rs/zerolog"

// ClosedLog returns a function that logs the connections that listeners have closed, and the requests that they have refused, since it
// was last called: at most one line for each listener. line begins a line. Calls of the function must not overlap.
func ClosedLog(line func() *zerolog.Event, peers *PeerListener, listeners ...*Listener) func() {
	before := make([][causes]int64, len(listeners))
	peersBefore := int64(0)
	return func() {
		for i, l := range listeners {
			l.logClosed(line, &before[i])
		}
		if n := peers.Closed(); n > peersBefore {
			line().Str("listener", "peers").Int("open", peers.Open()).Int("max_conns", peers.max).Int64("room-silent", n-peersBefore).Send()
			peersBefore = n
		}
	}
}

// logClosed logs what was closed or refused since the counts were as before, and brings those up to date.
func (l *Listener) logClosed(line func() *zerolog.Event, before *[causes]int64) {
	now := [causes]int64{}
	for cause := range causes {
		now[cause] = l.counts[cause].Load()
	}
	if now == *before {
		return
	}
	s := l.Stats()
	e := line().Str("listener", l.config.Name).Int("open", s.Open).Int("max_conns", s.MaxConns).Int64("used_bytes", s.Used).Int64("limit_bytes", s.Limit)
	for cause := range causes {
		if n := now[cause] - before[cause]; n > 0 {
			e = e.Int64(cause.String(), n)
		}
	}
	e.Send()
	*before = now
}
