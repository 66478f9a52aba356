package relay

import (
	"io"
	"slices"
	"strings"
	"testing"
)

// TestBlocksThatSayNothing checks what RawReader makes of comments, blank lines and types without data before, between and after events: none
// of them is an event, and all but blank lines are passed on beside events.
func TestBlocksThatSayNothing(t *testing.T) {
	const comment, event, kind, failure = ": ping\n\n", "id: 1\ndata: x\n\n", "event: ping\n\n", "event: error\n\n"
	for text, want := range map[string]struct {
		events []string
		err    error
	}{
		"":                            {nil, io.EOF},
		event:                         {[]string{event}, io.EOF},
		comment:                       {[]string{comment}, io.EOF},
		comment + kind:                {[]string{comment + kind}, io.EOF},
		comment + event:               {[]string{comment + event}, io.EOF},
		"\n\n" + event + "\n":         {[]string{event}, io.EOF},
		event + comment + event:       {[]string{event, comment + event}, io.EOF},
		event + comment + kind:        {[]string{event, comment + kind}, io.EOF},
		failure:                       {[]string{failure}, io.EOF},
		"data\n\n":                    {[]string{"data\n\n"}, io.EOF},
		comment + "data: x":           {nil, io.ErrUnexpectedEOF},
		comment + "data: x\n":         {nil, io.ErrUnexpectedEOF},
		event + comment + ": half":    {[]string{event}, io.ErrUnexpectedEOF},
		event + comment + ": whole\n": {[]string{event}, io.ErrUnexpectedEOF},
	} {
		r := NewRawReader(strings.NewReader(text))
		var got []string
		ev, err := r.Next()
		for ; err == nil; ev, err = r.Next() {
			got = append(got, string(ev.Raw))
		}
		if !slices.Equal(got, want.events) || err != want.err {
			t.Errorf("%q: got %q and %v, want %q and %v", text, got, err, want.events, want.err)
		}
	}
}

// TestBlocksThatSayNothingAreNotBuffered checks that an event is not held back for a block that says nothing: Buffered reports only a
// complete event.
func TestBlocksThatSayNothingAreNotBuffered(t *testing.T) {
	const event = "data: 1\n\n"
	for text, want := range map[string]bool{": ping\n\n": false, "event: ping\n\n": false, ": ping\n\n" + event: true, ": ping\n" + event: true, "\n: x\n\n\n" + event: true} {
		r, raw := NewReader(strings.NewReader(event+text)), NewRawReader(strings.NewReader(event+text))
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		if _, err := raw.Next(); err != nil {
			t.Fatal(err)
		}
		if r.Buffered() != want || raw.Buffered() != want {
			t.Errorf("%q: got %v and %v, want %v", text, r.Buffered(), raw.Buffered(), want)
		}
	}
}
