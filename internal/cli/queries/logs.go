package queries

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// logLine is one line of a daemon's log.
type logLine struct {
	Time    time.Time
	VM      string
	Event   string
	Request string
	Target  string // the target or dependency that the line is about
	// Fingerprint names the request over its repeats, in lines about what it did.
	Fingerprint string
	fields      map[string]any
}

// Bounds of an explanation.
const (
	// beliefsBefore is how long before a request lines about its targets count.
	beliefsBefore = 5 * time.Second
	// maxLogLine bounds one line, in bytes.
	maxLogLine = 1 << 20
)

// readLogs reads lines of JSON; what stands before the JSON on a line, such as a
// time or a host that a collector has added, is left out.
func readLogs(from io.Reader) ([]logLine, error) {
	var out []logLine
	in := bufio.NewScanner(from)
	in.Buffer(nil, maxLogLine)
	for in.Scan() {
		start := bytes.IndexByte(in.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(in.Bytes()[start:], &fields) != nil {
			continue // not a line of ours
		}
		out = append(out, newLogLine(fields))
	}
	return out, eris.Wrap(in.Err(), "read logs")
}

func newLogLine(fields map[string]any) logLine {
	text := func(name string) string { s, _ := fields[name].(string); return s }
	l := logLine{VM: text("vm"), Event: text("event"), Request: text("request"), Target: text("target"), Fingerprint: text("fingerprint"), fields: fields}
	if l.Target == "" {
		l.Target = text("dependency")
	}
	l.Time, _ = time.Parse(time.RFC3339, text("time")) // zero: the line has none
	return l
}

// repeatEvents are the lines that tell what the repeats of a request did to targets, and what
// VMs made of it. They count at all VMs and from long before: a request is turned away for
// what its repeats did elsewhere.
var repeatEvents = []string{"crashed-under", "quarantined", "quarantine-trial", "quarantine-lifted"}

// explainLogs returns the lines about a request, those about its VM's beliefs of the targets
// that it met shortly before, and those about its repeats, in the order of time.
func explainLogs(lines []logLine, request string) []logLine {
	var own []logLine
	targets, prints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
			targets[l.Target] = true
			prints[l.Fingerprint] = true
		}
	}
	delete(prints, "")
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	first, last := own[0].Time.Add(-beliefsBefore), own[len(own)-1].Time
	out := own
	for _, l := range lines {
		inTime := !l.Time.Before(first) && !l.Time.After(last)
		if l.Request == "" && inTime && l.VM == own[0].VM && (l.Target == "" || targets[l.Target] || strings.HasPrefix(l.Target, "store ")) {
			out = append(out, l)
			continue
		}
		if l.Request != request && prints[l.Fingerprint] && slices.Contains(repeatEvents, l.Event) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return out
}

// text renders a line's other fields.
func (l logLine) text() string {
	var parts []string
	for name, v := range l.fields {
		switch name {
		case "time", "vm", "event", "request", "level":
		default:
			parts = append(parts, fmt.Sprintf("%s=%v", name, v))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// openLogs reads the named files; "-" is the standard input.
func openLogs(names []string, stdin io.Reader) ([]logLine, error) {
	var all []logLine
	for _, name := range names {
		lines, err := openLog(name, stdin)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func openLog(name string, stdin io.Reader) ([]logLine, error) {
	if name == "-" {
		return readLogs(stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(err, "open logs")
	}
	defer func() { _ = f.Close() }() // it was only read
	return readLogs(f)
}
