// Package intake bounds the bytes that are read from a peer while none of them can be used.
//
// A peer may send bytes without an end that are no response: in a head or in a body, and in any form. Each read would have to know all
// forms to bound them one by one. A Reader counts every byte instead, whatever it is, and the consumer reports what it could use of
// them (Used). Bytes that nobody reports use up the Reader's allowance, and reading then fails with ErrUseless.
package intake

import (
	"io"

	"github.com/rotisserie/eris"
)

const (
	// MaxUnused is the largest number of bytes that are read without a use. It holds the largest event of a stream, which can
	// be used only when it is complete, and its framing.
	MaxUnused = 3 << 19
	// renewal is how many bytes each byte that was used allows to be read. Chunks of one byte need six.
	renewal = 8
)

var (
	// ErrUseless is the error of a read beyond MaxUnused.
	ErrUseless = eris.New("the peer sends bytes of which nothing can be used")
	// ErrLongHead is the error of a read beyond the bound that BeginHead has set.
	ErrLongHead = eris.New("the head of the response exceeds the size limit")
)

// Reader reads from a peer and bounds what is read without a use. Calls of its methods must not overlap.
type Reader struct {
	from   io.Reader
	left   int64 // bytes that may be read without a further use
	inHead bool
	head   int64 // bytes that may be read for the head, while inHead is set
}

// NewReader returns a Reader that may read MaxUnused bytes without a use.
func NewReader(from io.Reader) *Reader { return &Reader{from: from, left: MaxUnused} }

// Read implements io.Reader. It returns ErrUseless or ErrLongHead once a bound is used up.
func (r *Reader) Read(p []byte) (int, error) {
	left := r.left
	if r.inHead {
		left = min(left, r.head)
	}
	if left <= 0 && len(p) > 0 {
		if r.left > 0 {
			return 0, ErrLongHead
		}
		return 0, ErrUseless
	}
	n, err := r.from.Read(p[:min(int64(len(p)), left)])
	r.left -= int64(n)
	r.head -= int64(n)
	return n, err
}

// Used reports that bytes were used: passed on, or judged as a part of what the peer was asked for.
func (r *Reader) Used(bytes int) { r.left = min(r.left+renewal*int64(bytes), MaxUnused) }

// Renew allows MaxUnused bytes again, at the beginning of an exchange.
func (r *Reader) Renew() { r.left = MaxUnused }

// BeginHead bounds what is read until EndHead, in bytes, because a head is kept in memory.
func (r *Reader) BeginHead(limit int64) { r.inHead, r.head = true, limit }

// EndHead ends the bound that BeginHead has set.
func (r *Reader) EndHead() { r.inHead = false }

// UsedReader is a part of a response of which every byte can be used, such as a body that is passed on whatever it contains.
type UsedReader struct {
	From io.Reader
	Used func(bytes int) // of the Reader below From
}

// Read implements io.Reader.
func (u UsedReader) Read(p []byte) (int, error) {
	n, err := u.From.Read(p)
	u.Used(n)
	return n, err
}
