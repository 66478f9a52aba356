package engine

import (
	"errors"
	"testing"
	"time"

	"github.com/threadwall/threadwall/internal/intake"
	"github.com/threadwall/threadwall/internal/lab/endless"
	"github.com/threadwall/threadwall/internal/relay"
)

// TestResponseWithoutAnEnd has an engine respond to a call, a probe and a poll of cache events with bytes without an end. It guards
// against bytes that are read at the speed of the link until the call's deadline.
func TestResponseWithoutAnEnd(t *testing.T) {
	const most = 4 << 20 // bytes, with chunks and what the kernel holds
	start := func(c *Client, addr string) (*Response, error) {
		return c.Start(t.Context(), &Call{Target: "e1", Addr: addr, Path: "/v1/chat/completions", Attempt: "a1"})
	}
	reads := map[string]func(c *Client, addr string) error{
		"stream": func(c *Client, addr string) error {
			r, err := start(c, addr)
			if err != nil {
				return err
			}
			defer func() { _ = r.Body.Close() }()
			_, err = relay.NewReader(r.Body).Next()
			return err
		},
		"probe": func(c *Client, addr string) error { _, err := c.Probe(t.Context(), addr, 10*time.Second); return err },
		"events": func(c *Client, addr string) error {
			_, err := c.Events(t.Context(), addr, 0, 10*time.Second)
			return err
		},
	}
	for name, read := range reads {
		for form, text := range endless.Forms {
			t.Run(name+"/"+form, func(t *testing.T) {
				s, err := endless.Start(text[0], text[1])
				if err != nil {
					t.Fatal(err)
				}
				if err := read(NewClient(time.Second), s.Addr); err == nil {
					t.Error("got no error")
				}
				if n := s.Sent(); n > most {
					t.Errorf("the engine could send %d bytes, want %d at most", n, most)
				}
			})
		}
	}
}

// TestBlankLinesAreUseless names the cause of the error when an engine sends nothing but blank lines.
func TestBlankLinesAreUseless(t *testing.T) {
	form := endless.Forms["white space"]
	s, err := endless.Start(form[0], form[1])
	if err != nil {
		t.Fatal(err)
	}
	defer s.Sent()
	r, err := NewClient(time.Second).Start(t.Context(), &Call{Target: "e1", Addr: s.Addr, Path: "/", Attempt: "a1"})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := relay.NewReader(r.Body).Next(); !errors.Is(err, intake.ErrUseless) {
		t.Errorf("got %v, want ErrUseless", err)
	}
}
