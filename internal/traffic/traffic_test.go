package traffic

import (
	"encoding/json"
	"net"
	"testing"
)

// TestBytesAreCountedByPurposeAndDomain exchanges bytes over a counted connection and checks
// that they are counted by purpose and failure domain.
func TestBytesAreCountedByPurposeAndDomain(t *testing.T) {
	for _, crossDomain := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 5)
			_, _ = c.Read(buf)
			_, _ = c.Write([]byte("answer!"))
			_ = c.Close()
		}()
		asked := ""
		m := &Meter{CrossDomain: func(addr string) bool { asked = addr; return crossDomain }}
		plain, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c := m.Conn(plain, Requests, Responses)
		if _, err := c.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 16)
		for n := 0; n < len("answer!"); {
			k, err := c.Read(buf)
			if err != nil {
				t.Fatal(err)
			}
			n += k
		}
		want := map[string]Count{"requests": {Within: 5}, "answers": {Within: 7}}
		if crossDomain {
			want = map[string]Count{"requests": {Beyond: 5}, "answers": {Beyond: 7}}
		}
		for p, n := range m.Counts() {
			if n != want[p] {
				t.Errorf("cross domain %v: %s: got %+v, want %+v", crossDomain, p, n, want[p])
			}
		}
		if asked != l.Addr().String() {
			t.Errorf("CrossDomain was called with %q, want %q", asked, l.Addr())
		}
		if _, err := json.Marshal(m); err != nil {
			t.Error(err)
		}
	}
}

// TestNoMeter checks that a nil Meter returns the connection unchanged.
func TestNoMeter(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	var m *Meter
	if m.Conn(a, Requests, Responses) != a {
		t.Fatal("the connection was wrapped")
	}
	m.Add(PeerUpdates, true, 10)
}
