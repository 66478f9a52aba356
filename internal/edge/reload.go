package edge

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/threadwall/threadwall/internal/settings"
)

// liveSettings are those that a reload puts into force. What else has changed takes
// effect at the next start.
var liveSettings = []string{"key_ttl", "weights_within", "retry_ratio", "retry_burst"}

// reloads reads the settings again at each signal.
func (d *Daemon) reloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.options.Hangup:
			d.reload()
		}
	}
}

// reload puts what may change while the daemon runs into force. Settings that can't be
// read or are not valid change nothing.
func (d *Daemon) reload() {
	s, err := d.options.Reload()
	if err == nil && s.Edge == nil {
		err = errNoEdge
	}
	if err != nil {
		d.Log.Belief("reload-rejected").Str("error", err.Error()).Send()
		return
	}
	var live, later []string
	for _, name := range differences(d.current, s) {
		if slices.Contains(liveSettings, name) {
			live = append(live, name)
		} else {
			later = append(later, name)
		}
	}
	d.apply(s.Edge)
	d.current = s
	d.Log.Belief("reload").Strs("in_force", live).Strs("at_next_start", later).Send()
}

// apply puts the live settings into force.
func (d *Daemon) apply(e *settings.Edge) {
	d.Forward.KeyTTL.Store(keyAge(e.KeyTTL.D()))
	d.Weights.SetWithin(e.WeightsWithin.D() - weightsMargin)
	d.budgets.SetBounds(e.RetryRatio*budgetUse, e.RetryBurst*budgetUse)
}

// keyAge is how old a proof may be for keys that must stop working within ttl; zero: any
// age.
func keyAge(ttl time.Duration) int64 {
	if ttl == 0 {
		return 0
	}
	return int64(max(ttl-keyMargin, 1))
}

// differences names the settings that differ, those of the section edge by their own
// names.
func differences(a, b settings.Settings) []string {
	x, y := fields(a), fields(b)
	differ := map[string]bool{}
	for _, m := range []map[string]any{x, y} {
		for name := range m {
			if !reflect.DeepEqual(x[name], y[name]) {
				differ[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(differ))
}

// fields returns settings by their names in the file.
func fields(s settings.Settings) map[string]any {
	out := map[string]any{}
	for _, part := range []any{s, s.Edge} {
		data, err := json.Marshal(part)
		if err == nil {
			err = json.Unmarshal(data, &out)
		}
		if err != nil {
			panic(err) // settings were read from JSON
		}
	}
	delete(out, "edge")
	return out
}
