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

// FirstEvent is the event that comes first in some of Streams.
const FirstEvent = "id: 1\ndata: one\n\n"

// Headers stands in Streams for the headers by which a response names its request, with the line breaks after them.
const Headers = "{headers}"

const (
	streamHead  = "HTTP/1.1 200 OK\r\n" + Headers + "Content-Type: text/event-stream\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\n" + Headers + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// Streams are responses to calls for a stream, without an end, of which nothing can be passed on after at most one event: what comes
// once, and what comes again and again after it.
var Streams = map[string][2]string{
	"status line":                 {"HTTP/1.1 200 ", "x"},
	"header lines":                {"HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"},
	"interim responses":           {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
	"short interim responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"responses to other requests": {"", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"},
	"blank lines":                 {streamHead, "\n"},
	"blank lines, CRLF":           {streamHead, "\r\n"},
	"comments":                    {streamHead, ": 0123456789\n"},
	"blocks of comments":          {streamHead, ": 0123456789\n\n"},
	"blocks without data":         {streamHead, "event: ping\n\n"},
	"line without an end":         {streamHead + "data: ", "x"},
	"event without an end":        {streamHead, "data: 0123456789\n"},
	"blank lines in chunks":       {chunkedHead, "2\r\n\n\n\r\n"},
	"comments in chunks":          {chunkedHead, "f\r\n: 0123456789\n\n\r\n"},
	"chunk extension":             {chunkedHead, "1;" + strings.Repeat("x", 1000) + "\r\n\n\r\n"},
	"trailers":                    {chunkedHead + "0\r\n", "X-Filler: 0123456789\r\n"},
	"the same event":              {streamHead + FirstEvent, FirstEvent},
	"comments after an event":     {streamHead + FirstEvent, ": 0123456789\n\n"},
	"blank lines after an event":  {streamHead + FirstEvent, "\n"},
}

// Forms are responses to other calls without an end, as those of Streams.
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
	s.conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Go(func() { s.respond(c, start, part) })
		}
	})
	return s, nil
}

func (s *Server) respond(c net.Conn, start, part string) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.sent.Add(Write(c, start, part, Limit-s.sent.Load()))
}

// Write writes start once and part again and again, until the client closes the connection or limit bytes are sent, and returns how
// many were sent of the latter.
func Write(c net.Conn, start, part string, limit int64) (sent int64) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer) // on failure the kernel's default applies
	}
	_, err := io.WriteString(c, start)
	block := strings.Repeat(part, max(1, blockBytes/len(part)))
	for err == nil && sent < limit {
		var n int
		n, err = io.WriteString(c, block)
		sent += int64(n)
	}
	return sent
}

// Sent returns what all connections together have sent, in bytes, once their clients have closed them.
func (s *Server) Sent() int64 {
	_ = s.l.Close()
	s.conns.Wait()
	return s.sent.Load()
}
