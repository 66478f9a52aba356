package forward

// recordSignals applies what the replica announces in a response, whatever the response's status.
func (t *attempt) recordSignals(reply *Reply) {
	id, inc := t.c.target.ID, t.c.target.Incarnation
	if t.r.superseded(t.c) || reply.Replica != "" && reply.Replica != id {
		return // the response is from another incarnation or replica
	}
	if !t.r.f.Fleet.ApplySignals(id, inc, reply.Signals, t.sent).Any() {
		return
	}
	s := &reply.Signals
	t.r.f.Log.State("replica-signals").Str("target", string(id)).Uint64("incarnation", uint64(inc)).Str("request", string(t.r.call.ID)).
		Bool("leaving", s.Leaving).Int64("rest_ms", s.Rest.Milliseconds()).
		Bool("brittle", s.Brittle.Announced).Float64("refusals_per_s", s.Brittle.Refusals).
		Bool("limited", s.Limit.Announced).Bool("limit_garbled", s.Limit.Malformed).Float64("limit_per_s", s.Limit.PerSecond).Send()
}
