package httphead

import (
	"bufio"
	"bytes"

	"github.com/rotisserie/eris"
)

// ErrCoding is the error of a response of HTTP/1.0 with a transfer coding, whose framing is faulty (RFC 9112, 6.1).
var ErrCoding = eris.New("the response is of HTTP/1.0 and has a transfer coding")

// oldVersion begins a response of HTTP/1.0.
const oldVersion = "HTTP/1.0 "

// checkCoding returns ErrCoding if the next response is of HTTP/1.0 and has a transfer coding. http.ReadResponse drops that field, and takes
// the coded body for the body itself. checkCoding waits for the head of a response of HTTP/1.0, which it does not consume, as far as the
// buffer has room for it.
func checkCoding(in *bufio.Reader) error {
	if start, _ := in.Peek(len(oldVersion)); string(start) != oldVersion {
		return nil // http.ReadResponse reports what is wrong with it
	}
	for {
		head, _ := in.Peek(in.Buffered())
		if hasCoding(head) {
			return ErrCoding
		}
		if isWhole(head) {
			return nil
		}
		if _, err := in.Peek(len(head) + 1); err != nil {
			return nil // as above
		}
	}
}

// isWhole reports whether a text holds a whole head.
func isWhole(text []byte) bool {
	return bytes.Contains(text, []byte("\n\r\n")) || bytes.Contains(text, []byte("\n\n"))
}

// hasCoding reports whether a field of the head at the beginning of a text names a transfer coding.
func hasCoding(text []byte) bool {
	for line := range bytes.Lines(text) {
		if len(bytes.TrimSpace(line)) == 0 {
			return false
		}
		name, _, isField := bytes.Cut(line, []byte(":"))
		if isField && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return true
		}
	}
	return false
}
