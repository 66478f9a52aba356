// Package endless is a stand-in of a server that responds with bytes without an end.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Limit is where a server stops sending if the client still reads, in bytes.
const Limit = 32 << 20

// sendBuffer is the kernel's send buffer of a connection, in bytes: small, so that Sent is close to what the client read.
const sendBuffer = 64 << 10

// blockBytes is the size of one write, in bytes.
const blockBytes = 16 << 10

// Forms are responses without an end: what comes once, and what comes again and again after it.
var Forms = map[string][2]string{
	"status line":          {"HTTP/1.1 200 ", "x"},
	"header lines":         {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"},
	"interim responses":    {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"body until the close": {"HTTP/1.1 200 OK\r\n\r\n{\"stage\":\"", "x"},
	"white space":          {"HTTP/1.1 200 OK\r\n\r\n", "\n"},
	"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	"chunk extension":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 1000) + "\r\n\n\r\n"},
	"trailers":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: 0123456789\r\n"},
}

// Server is a server that responds to each request with one of Forms.
type Server struct {
	Addr  string
	l     net.Listener
	sent  atomic.Int64
	conns sync.WaitGroup
}

// Start starts a server whose responses begin with start and go on with part without an end.
func Start(start, part string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: l.Addr().String(), l: l}
	block := strings.Repeat(part, max(1, blockBytes/len(part)))
	s.conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.respond(c, start, block) })
		}
	})
	return s, nil
}

func (s *Server) respond(c net.Conn, start, block string) {
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, start)
	for s.sent.Load() < Limit {
		n, err := io.WriteString(c, block)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Sent returns what all connections together have sent, in bytes, once their clients have closed them.
func (s *Server) Sent() int64 {
	_ = s.l.Close()
	s.conns.Wait()
	return s.sent.Load()
}
