package queries

import (
	"strings"
	"testing"
)

const sampleLogs = `
   1.0 vm-1 {"vm":"vm-1","event":"replica","target":"e1","state":"live","time":"2026-12-02T10:00:01.000Z"}
   2.0 vm-1 {"vm":"vm-1","event":"dependency-lost","dependency":"store servers/","time":"2026-12-02T10:00:02.000Z"}
   2.0 vm-2 {"vm":"vm-2","event":"replica-gone","target":"e1","time":"2026-12-02T10:00:02.500Z"}
   2.0 vm-1 {"vm":"vm-1","event":"replica","target":"e2","time":"2026-12-02T10:00:02.600Z"}
a line of another program
{"vm":"vm-1","event":"decide","request":"q1","target":"e1","cost_s":0.1,"time":"2026-12-02T10:00:03.000Z"}
{"vm":"vm-1","event":"decide","request":"q2","target":"e2","time":"2026-12-02T10:00:03.100Z"}
{"vm":"vm-1","event":"end","request":"q1","status":502,"step":"read","peer":"e1","time":"2026-12-02T10:00:03.500Z"}
`

// TestExplainLogs checks that an explanation holds the request's own lines and what
// its VM believed of its target and of the store, and nothing else.
func TestExplainLogs(t *testing.T) {
	lines, err := readLogs(strings.NewReader(sampleLogs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range explainLogs(lines, "q1") {
		got = append(got, l.Event+" "+l.Target)
	}
	if want := "replica e1|dependency-lost store servers/|decide e1|end "; strings.Join(got, "|") != want {
		t.Fatalf("got %q, want %q", strings.Join(got, "|"), want)
	}
	if len(explainLogs(lines, "unknown")) != 0 {
		t.Fatal("an unknown request was explained")
	}
}
