package ingress

import (
	"bytes"
	"strconv"
	"strings"
)

// headScan finds the end of a head while it arrives in parts, and counts its bytes and lines. Its zero value is at the beginning of a
// head.
type headScan struct {
	bytes int
	lines int
	line  int  // bytes of the current line so far
	cr    bool // the first byte of the current line is a carriage return
}

// add scans the next bytes. It returns how many of them belong to the head, and whether the head ends there.
func (s *headScan) add(p []byte) (n int, whole bool) {
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if s.line == 0 {
			s.cr = p[n] == '\r'
		}
		if end < 0 {
			s.line += len(p) - n
			n = len(p)
			break
		}
		empty := s.line+end == 0 || s.line+end == 1 && s.cr
		n += end + 1
		s.line = 0
		s.lines++
		if empty {
			whole = true
			break
		}
	}
	s.bytes += n
	return n, whole
}

// cost returns what the server will hold for the head and its request, in bytes.
func (s *headScan) cost() int64 {
	return int64(s.bytes)*headFactor + int64(s.lines)*lineBytes + callBytes
}

// framing is how a body ends.
type framing struct {
	kind   framingKind
	length int64 // bytes, of a body with a length
}

type framingKind int

const (
	noBody framingKind = iota
	withLength
	inChunks
	// unclear is a body of which two readers might find different ends. Its request is refused.
	unclear
)

// framingOf returns how the body after a whole head ends (RFC 9112, section 6).
func framingOf(head []byte) framing {
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	f, lengths, codings := framing{}, 0, 0
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			if lengths+codings > 0 {
				return framing{kind: unclear} // it may continue the field that says where the body ends
			}
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch text := strings.Trim(string(value), " \t\r"); {
		case equalName(name, "content-length"):
			n, err := strconv.ParseUint(text, 10, 62)
			if err != nil {
				return framing{kind: unclear}
			}
			f = framing{kind: withLength, length: int64(n)}
			lengths++
		case equalName(name, "transfer-encoding"):
			if !strings.EqualFold(text, "chunked") {
				return framing{kind: unclear}
			}
			f = framing{kind: inChunks}
			codings++
		}
	}
	switch {
	case lengths+codings > 1, codings > 0 && !bytes.HasSuffix(bytes.TrimRight(first, "\r"), []byte("HTTP/1.1")):
		return framing{kind: unclear}
	case f.kind == withLength && f.length == 0:
		return framing{}
	default:
		return f
	}
}

// equalName reports whether a field's name, with any white space around it, is the given one in lower case.
func equalName(name []byte, want string) bool {
	name = bytes.TrimSpace(name)
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}
