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

// TestExplainLogs checks that an explanation consists of the request's own lines and its VM's lines
// about the state of its target and of the store, and excludes other VMs, targets and requests.
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

const repeatLogs = `
{"vm":"vm-2","event":"crashed-under","request":"r1","fingerprint":"f1","target":"e1","time":"2026-12-02T09:59:01.000Z"}
{"vm":"vm-3","event":"crashed-under","request":"r2","fingerprint":"f1","target":"e2","time":"2026-12-02T09:59:02.000Z"}
{"vm":"vm-3","event":"crashed-under","request":"r3","fingerprint":"f2","target":"e2","time":"2026-12-02T09:59:02.000Z"}
{"vm":"vm-2","event":"quarantined","fingerprint":"f1","told_by":"","crashes":3,"time":"2026-12-02T09:59:03.000Z"}
{"vm":"vm-1","event":"quarantined","fingerprint":"f1","told_by":"vm-2","crashes":3,"time":"2026-12-02T09:59:03.200Z"}
{"vm":"vm-2","event":"end","request":"r4","fingerprint":"f1","status":400,"time":"2026-12-02T10:00:00.000Z"}
{"vm":"vm-1","event":"end","request":"q1","fingerprint":"f1","status":400,"code":"quarantined","time":"2026-12-02T10:00:01.000Z"}
{"vm":"vm-1","event":"quarantine-lifted","fingerprint":"f1","time":"2026-12-02T10:00:02.000Z"}
`

// TestExplainRepeats checks the explanation of a request that was refused because its repeats had
// crashed targets: it shows the crashes at other VMs, and which VM quarantined the request and
// which one received the report.
func TestExplainRepeats(t *testing.T) {
	lines, err := readLogs(strings.NewReader(repeatLogs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range explainLogs(lines, "q1") {
		got = append(got, l.VM+" "+l.Event)
	}
	const want = "vm-2 crashed-under|vm-3 crashed-under|vm-2 quarantined|vm-1 quarantined|vm-1 end"
	if strings.Join(got, "|") != want {
		t.Fatalf("got %q, want %q", strings.Join(got, "|"), want)
	}
}
