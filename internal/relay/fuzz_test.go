package relay

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/threadwall/threadwall/internal/storetest"
)

func TestMain(m *testing.M) {
	storetest.FixSeed()
	m.Run()
}

const attempt = "att-1"

// validStream returns the events of a correct stream: n numbered chunks, the last with a
// finish reason, then the end marker.
func validStream(n int) []string {
	var out []string
	for i := 1; i <= n; i++ {
		finish := "null"
		if i == n {
			finish = `"stop"`
		}
		out = append(out, fmt.Sprintf("id: %d\ndata: {\"id\":\"%s\",\"n\":%d,\"finish_reason\":%s}\n\n", i, attempt, i, finish))
	}
	return append(out, fmt.Sprintf("id: %d\ndata: [DONE]\n\n", n+1))
}

// damage applies random faults of targets and networks to the events and returns the stream.
func damage(rt *rapid.T, events []string) string {
	for range rapid.IntRange(0, 3).Draw(rt, "damages") {
		i := rapid.IntRange(0, len(events)-1).Draw(rt, "at")
		j := rapid.IntRange(0, len(events)-1).Draw(rt, "other")
		switch rapid.IntRange(0, 4).Draw(rt, "damage") {
		case 0: // an event is lost
			events = append(events[:i:i], events[i+1:]...)
		case 1: // an event is sent twice
			events = append(events[:i+1:i+1], events[i:]...)
		case 2: // two events are swapped
			events[i], events[j] = events[j], events[i]
		case 3: // an event belongs to another response
			events[i] = strings.ReplaceAll(events[i], attempt, "att-2")
		default: // an error event replaces an event
			events[i] = "event: error\ndata: {}\n\n"
		}
		if len(events) == 0 {
			return ""
		}
	}
	text := strings.Join(events, "")
	if rapid.Bool().Draw(rt, "cut") {
		text = text[:rapid.IntRange(0, len(text)).Draw(rt, "cut at")]
	}
	return text
}

// readAll verifies the stream of one connection and returns the data of the forwarded events.
func readAll(v *Verifier, text string) (forwarded []string, err error) {
	r := NewReader(strings.NewReader(text))
	for {
		ev, err := r.Next()
		if err != nil {
			return forwarded, err
		}
		verdict, err := v.Accept(ev)
		if err != nil {
			return forwarded, err
		}
		if verdict == Forward {
			forwarded = append(forwarded, string(ev.Data))
		}
		if verdict == Done {
			return forwarded, nil
		}
	}
}

// TestDamagedStreams damages streams at random and resumes after the damage. The forwarded
// events must always be a prefix of the true response, and the response counts as complete only
// if all of its events were forwarded.
func TestDamagedStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "events")
		v := NewVerifier(attempt)
		var got []string
		for range rapid.IntRange(1, 3).Draw(rt, "connections") {
			if v.Complete() {
				break
			}
			forwarded, err := readAll(v, damage(rt, validStream(n)[v.Last():]))
			got = append(got, forwarded...)
			if (err == nil) != v.Complete() {
				rt.Fatalf("error %v, complete %v", err, v.Complete())
			}
		}
		for i, data := range got {
			if !strings.Contains(data, fmt.Sprintf(`"n":%d,`, i+1)) || !strings.Contains(data, attempt) {
				rt.Fatalf("forwarded event %d is %s", i+1, data)
			}
		}
		if v.Complete() && len(got) != n {
			rt.Fatalf("the response counts as complete with %d of %d events", len(got), n)
		}
	})
}

// TestUnnumbered checks that the stream of a target that does not number its events is
// verified by finish reason and end marker alone.
func TestUnnumbered(t *testing.T) {
	text := "data: {\"id\":\"att-1\",\"finish_reason\":null}\n\ndata: {\"id\":\"att-1\",\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n"
	v := NewVerifier(attempt)
	if got, err := readAll(v, text); err != nil || len(got) != 2 {
		t.Fatalf("%v, %v", got, err)
	}
	v = NewVerifier(attempt)
	if _, err := readAll(v, strings.Replace(text, `"stop"`, "null", 1)); err == nil {
		t.Fatal("a stream that ended without a finish reason was accepted, want an error")
	}
}

// TestBufferedIsCompleteEvent checks Buffered after a first event: only a complete second event
// counts, since the remainder of a partial one may never arrive.
func TestBufferedIsCompleteEvent(t *testing.T) {
	const event = "id: 2\ndata: x\n\n"
	cases := map[string]bool{event: true, "\n" + event: true, strings.ReplaceAll(event, "\n", "\r\n"): true, event + "id": true, "\n": false, "\n\n": false, "\r\n\r\n": false}
	for n := range len(event) {
		cases[event[:n]] = false
		cases["\n\n"+event[:n]] = false
	}
	for text, want := range cases {
		r, raw := NewReader(strings.NewReader("data: 1\n\n"+text)), NewRawReader(strings.NewReader("data: 1\n\n"+text))
		_, err := r.Next()
		_, rawErr := raw.Next()
		if err != nil || rawErr != nil {
			t.Fatal(err, rawErr)
		}
		if r.Buffered() != want || raw.Buffered() != want {
			t.Errorf("%q: got %v and %v, want %v", text, r.Buffered(), raw.Buffered(), want)
		}
	}
}

func TestReaderLimits(t *testing.T) {
	long := "data: " + strings.Repeat("x", maxEventBytes+10) + "\n\n"
	if _, err := NewReader(strings.NewReader(long)).Next(); err == nil {
		t.Fatal("an event that is longer than maxEventBytes was read, want an error")
	}
	line := "data: " + strings.Repeat("y", 3*readBuffer) + "\n\n"
	ev, err := NewReader(strings.NewReader(line)).Next()
	if err != nil || len(ev.Data) != 3*readBuffer {
		t.Fatalf("%d bytes, %v", len(ev.Data), err)
	}
	if _, err := NewReader(strings.NewReader("data: half")).Next(); err != io.ErrUnexpectedEOF {
		t.Fatalf("the input ended within a line: got %v, want io.ErrUnexpectedEOF", err)
	}
}

func BenchmarkRelay(b *testing.B) {
	text := strings.Join(validStream(1000), "")
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		v := NewVerifier(attempt)
		if _, err := readAll(v, text); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(1000*b.N)/b.Elapsed().Seconds(), "events/s")
}
