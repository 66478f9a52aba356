// Package durations provides a duration for settings and templates that is written with
// its unit, such as "250ms" or "2s".
package durations

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded in JSON as a string with a unit. Decoding
// rejects negative values.
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns d with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// Or returns d, or def when d is zero.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Errorf("a duration is a string with a unit, such as \"250ms\"; got %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Errorf("%q is no duration; write for example \"250ms\" or \"2s\"", s)
	}
	if v < 0 {
		return eris.Errorf("%q is negative", s)
	}
	*d = Duration(v)
	return nil
}
