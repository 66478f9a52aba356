package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// named returns the fingerprint of the request with a name.
func named(name string) Fingerprint { return (&Request{Body: [][]byte{[]byte(name)}}).Fingerprint() }

// replicaNamed returns the identifier of the replica with a name.
func replicaNamed(name string) Replica { return Replica(named(name)[0])<<8 | Replica(named(name)[1]) }

// TestJudge reads cases from testdata, one per line:
//
//	NAME [answered] REPLICA@SENT-ENDED ...
//
// with times in milliseconds, and prints the requests that Judge returns.
func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/judge", func(t *testing.T, d *datadriven.TestData) string {
		var cases []Case
		names := map[Fingerprint]string{}
		for line := range strings.Lines(d.Input) {
			fields := strings.Fields(line)
			c := Case{Request: named(fields[0])}
			names[c.Request] = fields[0]
			for _, f := range fields[1:] {
				if f == "answered" {
					c.Answered = true
					continue
				}
				var sent, ended int
				replica, times, _ := strings.Cut(f, "@")
				if _, err := fmt.Sscanf(times, "%d-%d", &sent, &ended); err != nil {
					t.Fatalf("%s: %v", f, err)
				}
				c.Crashes = append(c.Crashes, Crash{
					Replica: replicaNamed(replica),
					Sent:    start.Add(time.Duration(sent) * time.Millisecond), Ended: start.Add(time.Duration(ended) * time.Millisecond),
				})
			}
			cases = append(cases, c)
		}
		var out []string
		for _, f := range Judge(cases, nil) {
			out = append(out, names[f])
		}
		slices.Sort(out)
		if len(out) == 0 {
			return "none\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}
