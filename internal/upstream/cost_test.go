package upstream

import (
	"bufio"
	"net"
	"testing"
	"time"
)

// answerAll answers all requests of a connection.
func answerAll(c net.Conn) {
	for in := bufio.NewReader(c); readID(in) != ""; {
		writeString(c, "HTTP/1.1 200 OK\r\nId: a\r\nX-Response-Signature: 0123456789\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\nok")
	}
}

// BenchmarkCall makes one call after another, with a short body and with one that a goroutine writes.
func BenchmarkCall(b *testing.B) {
	for name, length := range map[string]int{"short": 200, "long": 64 << 10} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					go answerAll(c)
				}
			}()
			c := NewClient(time.Second)
			to := Replica{ID: "r1", Addr: l.Addr().String()}
			r := request("a", make([]byte, length))
			b.ReportAllocs()
			for b.Loop() {
				a, err := c.Send(b.Context(), to, r)
				if err != nil {
					b.Fatal(err)
				}
				var buf [16]byte
				_, _ = a.Body.Read(buf[:])
				_, _ = a.Body.Read(buf[:])
				a.Close()
			}
		})
	}
}
