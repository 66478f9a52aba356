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
	Target  string // target or dependency that the line refers to
	// Fingerprint identifies a request and its repeats, in lines about the request's effects.
	Fingerprint string
	fields      map[string]any
}

// Limits of an explanation.
const (
	// stateWindow is how long before a request's first line the lines about the state of its
	// targets are included.
	stateWindow = 5 * time.Second
	// maxLogLine is the maximum length of a line in bytes.
	maxLogLine = 1 << 20
)

// readLogs reads lines that contain a JSON object. It ignores text before the object, such as a
// time or host name that a log collector added, and skips lines without an object.
func readLogs(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue // not written by the daemon
		}
		out = append(out, newLogLine(fields))
	}
	return out, eris.Wrap(scanner.Err(), "read logs")
}

func newLogLine(fields map[string]any) logLine {
	text := func(name string) string { s, _ := fields[name].(string); return s }
	l := logLine{VM: text("vm"), Event: text("event"), Request: text("request"), Target: text("target"), Fingerprint: text("fingerprint"), fields: fields}
	if l.Target == "" {
		l.Target = text("dependency")
	}
	l.Time, _ = time.Parse(time.RFC3339, text("time")) // zero if missing or malformed
	return l
}

// repeatEvents are the events of lines about crashes of targets that ran a request or a repeat of
// it, and about the resulting quarantine. Explanations include them from all VMs and without a
// limit on their age, because a VM refuses a request for crashes that its repeats caused at other
// VMs.
var repeatEvents = []string{"crashed-under", "quarantined", "quarantine-trial", "quarantine-lifted"}

// explainLogs returns the lines about a request and its repeats. From stateWindow before the
// request's first line to its last, it adds those lines about the state of the request's VM that
// concern the store, one of the request's targets, or no particular target. The result is sorted
// by time.
func explainLogs(lines []logLine, request string) []logLine {
	var own []logLine
	targets, fingerprints := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
			targets[l.Target] = true
			fingerprints[l.Fingerprint] = true
		}
	}
	delete(fingerprints, "")
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	first, last := own[0].Time.Add(-stateWindow), own[len(own)-1].Time
	out := own
	for _, l := range lines {
		inWindow := !l.Time.Before(first) && !l.Time.After(last)
		if l.Request == "" && inWindow && l.VM == own[0].VM && (l.Target == "" || targets[l.Target] || strings.HasPrefix(l.Target, "store ")) {
			out = append(out, l)
			continue
		}
		if l.Request != request && fingerprints[l.Fingerprint] && slices.Contains(repeatEvents, l.Event) && !l.Time.After(last) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return out
}

// text returns the line's remaining fields as sorted name=value pairs.
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

// openLogs reads the named files; "-" stands for the standard input.
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
	defer func() { _ = f.Close() }() // opened for reading only
	return readLogs(f)
}
