package durations

import "time"

// Set changes d.
func (d *Duration) Set(v time.Duration) { *d = Duration(v) }
