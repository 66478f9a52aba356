package bodies

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrNoMemory is the error of a body that exceeds the limit of its Memory.
var ErrNoMemory = errors.New("the memory for bodies is used up")

// Body is the body of a call. Its bytes may be read until the last holder has released it. Nil is an empty body.
type Body struct {
	memory  *Memory
	small   []byte  // the whole body if it has no pieces
	pieces  []piece // in the order of the body
	length  int
	holders atomic.Int32
}

// Read reads a body of the given length; negative: it is not known. The memory for a known length is taken before anything is
// read, so that a body that doesn't fit is refused at once. The caller holds the body and must release it. The error
// is ErrNoMemory or that of the reader, and then there is no body.
func Read(from io.Reader, length int64, m *Memory) (*Body, error) {
	b := &Body{memory: m}
	b.holders.Store(1)
	var err error
	switch {
	case length < 0:
		err = b.readGrowing(from)
	case length <= pieceBytes:
		err = b.readSmall(from, int(length))
	default:
		err = b.readPieces(from, int(length))
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

// readSmall reads a body of a known length into a slice.
func (b *Body) readSmall(from io.Reader, length int) error {
	if !b.memory.takeSmall(int64(length)) {
		return ErrNoMemory
	}
	b.small, b.length = make([]byte, length), length
	_, err := io.ReadFull(from, b.small)
	return err
}

// readPieces reads a body of a known length into pieces.
func (b *Body) readPieces(from io.Reader, length int) error {
	for len(b.pieces)*pieceBytes < length {
		if !b.grow() {
			return ErrNoMemory
		}
	}
	b.length = length
	for _, segment := range b.Segments() {
		if _, err := io.ReadFull(from, segment); err != nil {
			return err
		}
	}
	return nil
}

// readGrowing reads a body of unknown length into pieces.
func (b *Body) readGrowing(from io.Reader) error {
	for {
		if !b.grow() {
			return ErrNoMemory
		}
		n, err := fill(from, b.pieces[len(b.pieces)-1].bytes())
		b.length += n
		if errors.Is(err, io.EOF) {
			b.shrink()
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// fill reads until p is full or reading ends. Unlike io.ReadFull, it returns the reader's own error, so that a body that breaks off
// (io.ErrUnexpectedEOF) can be told from one that ends (io.EOF).
func fill(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = from.Read(p[n:])
		n += m
	}
	return n, err
}

// grow adds a piece, and reports whether there is memory for it.
func (b *Body) grow() bool {
	p, ok := b.memory.take()
	if ok {
		b.pieces = append(b.pieces, p)
	}
	return ok
}

// shrink moves a body that fills less than half of its only piece to a slice.
func (b *Body) shrink() {
	if len(b.pieces) != 1 || b.length > pieceBytes/2 || !b.memory.takeSmall(int64(b.length)) {
		return
	}
	b.small = append(make([]byte, 0, b.length), b.pieces[0].bytes()[:b.length]...)
	b.memory.put(b.pieces)
	b.pieces = nil
}

// Len returns the length of the body, in bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// Segments returns the bytes of the body in as few slices as possible, which are valid as long as somebody holds it.
func (b *Body) Segments() [][]byte {
	if b == nil || b.length == 0 {
		return nil
	}
	if b.pieces == nil {
		return [][]byte{b.small}
	}
	var out [][]byte
	left := b.length
	for i := 0; i < len(b.pieces); {
		first := b.pieces[i]
		run := 1
		for i+run < len(b.pieces) && b.pieces[i+run] == (piece{first.block, first.index + run}) {
			run++
		}
		from, size := first.index*pieceBytes, min(run*pieceBytes, left)
		if size > 0 {
			out = append(out, first.block.bytes[from:from+size:from+size])
		}
		left -= size
		i += run
	}
	return out
}

// Hold adds a holder, which must release the body. Only a holder may call it.
func (b *Body) Hold() {
	if b != nil {
		b.holders.Add(1)
	}
}

// Release ends what one holder has: none of the body's bytes may be read by it any more.
func (b *Body) Release() {
	if b == nil {
		return
	}
	switch left := b.holders.Add(-1); {
	case left > 0:
		return
	case left < 0:
		panic("bodies: a body was released more often than it was held")
	}
	if b.small != nil {
		b.memory.returnSmall(int64(len(b.small)))
	}
	if len(b.pieces) > 0 {
		b.memory.put(b.pieces)
	}
	b.small, b.pieces, b.length = nil, nil, 0
}
