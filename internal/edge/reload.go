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

// reloadableSettings are the settings that a reload applies. Changes of other settings take effect
// at the next start.
var reloadableSettings = []string{"key_ttl", "weights_within", "retry_ratio", "retry_burst"}

// watchReload reloads the settings at each signal.
func (d *Daemon) watchReload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.options.Hangup:
			d.reload()
		}
	}
}

// reload reads the settings and applies those that may change while the daemon runs. Settings
// that are unreadable or invalid change nothing.
func (d *Daemon) reload() {
	s, err := d.options.Reload()
	if err == nil && s.Edge == nil {
		err = errNoEdge
	}
	if err != nil {
		d.Log.State("reload-rejected").Str("error", err.Error()).Send()
		return
	}
	var live, later []string
	for _, name := range differences(d.current, s) {
		if slices.Contains(reloadableSettings, name) {
			live = append(live, name)
		} else {
			later = append(later, name)
		}
	}
	d.apply(s.Edge)
	d.current = s
	d.Log.State("reload").Strs("in_force", live).Strs("at_next_start", later).Send()
}

// apply applies the reloadable settings.
func (d *Daemon) apply(e *settings.Edge) {
	d.Forward.KeyTTL.Store(maxProofAge(e.KeyTTL.D()))
	d.Weights.SetWithin(e.WeightsWithin.D() - weightsMargin)
	d.budgets.SetBounds(e.RetryRatio*budgetUse, e.RetryBurst*budgetUse)
}

// maxProofAge returns the maximum age, in nanoseconds, of the proof that the configuration is the
// newest, given that revoked keys must stop working within ttl. Zero means no limit.
func maxProofAge(ttl time.Duration) int64 {
	if ttl == 0 {
		return 0
	}
	return int64(max(ttl-keyMargin, 1))
}

// differences returns the names of the settings that differ, sorted. Settings of the section edge
// appear without a prefix.
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

// fields returns the settings by their names in the file.
func fields(s settings.Settings) map[string]any {
	out := map[string]any{}
	for _, section := range []any{s, s.Edge} {
		data, err := json.Marshal(section)
		if err == nil {
			err = json.Unmarshal(data, &out)
		}
		if err != nil {
			panic(err) // not reached: the settings were read from JSON
		}
	}
	delete(out, "edge")
	return out
}
