package retry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// MaxAfter is the longest delay that After returns; it cuts longer ones to this. A target that asks
// for more is gone in practice.
const MaxAfter = time.Hour

// After returns the delay that the Retry-After header of a response asks for (RFC 9110,
// 10.2.3). The value is a number of seconds, which may have a fraction, or a date. It returns
// zero if the header is missing or malformed, or asks for no delay.
func After(h http.Header) time.Duration {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if text == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds > 0) { // true for NaN, too
			return 0
		}
		return time.Duration(min(seconds, MaxAfter.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	// Prefers the sender's own clock (Date): the clock of this VM may have jumped.
	sent, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		sent = clock.Now()
	}
	return min(max(until.Sub(sent), 0), MaxAfter)
}
