package ingress

import "bytes"

// bodyScan follows a body to its end. Its zero value is at the end of a body.
type bodyScan struct {
	framing
	left  int64 // bytes, of a body with a length or of the current chunk's data
	at    chunkPart
	size  int64 // of the chunk whose size line is being read
	line  int   // bytes of the current line of the trailers, without carriage returns
	ended bool
}

// chunkPart is a part of a body in chunks (RFC 9112, section 7.1).
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkExtension
	chunkData
	chunkEnd
	chunkTrailers
)

func newBodyScan(f framing) bodyScan {
	return bodyScan{framing: f, left: f.length, ended: f.kind == noBody}
}

// most returns how many bytes may be read without reading beyond the body, of the n that are asked for. More of a body in chunks may be
// read, since add finds its end.
func (s *bodyScan) most(n int) int {
	switch {
	case s.ended:
		return min(n, 1)
	case s.kind == withLength:
		return int(min(int64(n), s.left))
	default:
		return int(min(int64(n), s.left+pastChunk))
	}
}

// add follows the next bytes and returns how many of them belong to the body.
func (s *bodyScan) add(p []byte) int {
	if s.kind == inChunks {
		return s.addChunked(p)
	}
	n := min(int64(len(p)), s.left)
	s.left -= n
	s.ended = s.left == 0
	return int(n)
}

func (s *bodyScan) addChunked(p []byte) int {
	for i := 0; i < len(p); {
		if s.at == chunkData {
			n := min(int64(len(p)-i), s.left)
			s.left -= n
			i += int(n)
			if s.left == 0 {
				s.at = chunkEnd
			}
			continue
		}
		s.addByte(p[i])
		i++
		if s.ended {
			return i
		}
	}
	return len(p)
}

// addByte follows a byte that is not data. What is no chunked coding has the server end the connection, so it may be followed
// anyhow.
func (s *bodyScan) addByte(b byte) {
	switch s.at {
	case chunkSize:
		s.addSize(b)
	case chunkExtension:
		if b == '\n' {
			s.endSize()
		}
	case chunkEnd:
		if b == '\n' {
			s.at, s.size = chunkSize, 0
		}
	case chunkTrailers:
		switch {
		case b == '\n':
			s.ended = s.line == 0
			s.line = 0
		case b != '\r':
			s.line++
		}
	case chunkData: // followed in addChunked
	}
}

func (s *bodyScan) addSize(b byte) {
	digit := bytes.IndexByte([]byte("0123456789abcdef"), b|0x20)
	switch {
	case b == '\n':
		s.endSize()
	case digit < 0 || b < '0':
		s.at = chunkExtension
	case s.size < 1<<58:
		s.size = s.size<<4 | int64(digit)
	}
}

func (s *bodyScan) endSize() {
	s.left, s.at = s.size, chunkData
	if s.size == 0 {
		s.at, s.line = chunkTrailers, 0
	}
}
