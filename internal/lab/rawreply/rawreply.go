// Package rawreply is a stand-in for a server whose replies are bytes of a test's choice, valid HTTP or not.
package rawreply

import (
	"bufio"
	"io"
	"net"
	"net/textproto"
	"strings"
)

// receiveBuffer is the size of the kernel's receive buffer of a connection, in bytes. It is small, so that the client is still writing
// a long body when the reply comes.
const receiveBuffer = 4 << 10

// Server is a running stand-in.
type Server struct {
	// Addr is the server's address, ip:port.
	Addr string

	l net.Listener
}

// Request is the head of a request; its body stays unread.
type Request struct {
	Line   string // the request line
	Header textproto.MIMEHeader
}

// Start starts a server on loopback. It reads the head of one request on each connection, calls reply, and closes the connection. The
// caller must call Close.
func Start(reply func(c *net.TCPConn, r Request)) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), reply)
		}
	}()
	return &Server{Addr: l.Addr().String(), l: l}, nil
}

// Close ends the server. Connections in use go on.
func (s *Server) Close() { _ = s.l.Close() }

func serve(c *net.TCPConn, reply func(c *net.TCPConn, r Request)) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadBuffer(receiveBuffer)
	in := textproto.NewReader(bufio.NewReaderSize(c, receiveBuffer))
	line, err := in.ReadLine()
	if err != nil {
		return
	}
	header, err := in.ReadMIMEHeader()
	if err != nil {
		return
	}
	reply(c, Request{line, header})
}

// Write writes text to a connection, with line breaks as HTTP has them.
func Write(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

// Reset makes the end of the connection a reset.
func Reset(c *net.TCPConn) { _ = c.SetLinger(0) }
