package retry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
)

// MaxAfter bounds what After returns. A target that asks for more is as good as gone.
const MaxAfter = time.Hour

// After reads for how long an answer's sender wants to be left alone (Retry-After, RFC 9110,
// 10.2.3), in seconds, which may have a fraction, or until a date. Zero: it does not say, or
// what it says can't be read.
func After(h http.Header) time.Duration {
	text := strings.TrimSpace(h.Get("Retry-After"))
	if text == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if !(seconds > 0) { // NaN is none, too
			return 0
		}
		return time.Duration(min(seconds, MaxAfter.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0
	}
	// By the sender's own clock where it tells it: that of this VM may have jumped.
	said, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		said = clock.Now()
	}
	return min(max(until.Sub(said), 0), MaxAfter)
}
