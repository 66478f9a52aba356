// Package intake bounds the bytes that are read from a peer while none of them can be used.
//
// A peer may send bytes without an end that are no response: in a head or in a body, and in any form. Each read would have to know all
// forms to bound them one by one. A Reader counts every byte instead, whatever it is, and the consumer reports what it could use of
// them (Used). Bytes that nobody reports use up the Reader's allowance, and reading then fails with ErrUseless.
//
// What many readers hold at the same moment comes out of one Account.
package intake

import (
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// MaxUnused is the largest number of bytes that are read without a use. It holds the largest event of a stream, which can
	// be used only when it is complete, and its framing.
	MaxUnused = 3 << 19
	// renewal is how many bytes each byte that was used allows to be read. Chunks of one byte need six.
	renewal = 8
	// unusedFactor is what a byte that was not used yet costs, in bytes: a buffer that grows is copied.
	unusedFactor = 2
	// FieldBytes is what a field of a head costs in addition to its bytes: its entry in a map, which is copied when it is passed on.
	FieldBytes = 256
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
	share  *Share
	unused int64 // bytes read since the last use
	lines  int64 // of the head, while inHead is set
}

// NewReader returns a Reader that may read MaxUnused bytes without a use.
func NewReader(from io.Reader) *Reader { return &Reader{from: from, left: MaxUnused, share: &Share{}} }

// Count has what was read and not used yet come out of a share.
func (r *Reader) Count(s *Share) { r.share = s }

// Read implements io.Reader. It returns ErrUseless or ErrLongHead once a bound is used up, and ErrCrowded if the account has no room.
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
	r.share.Unpin()
	n, err := r.from.Read(p[:min(int64(len(p)), left)])
	r.left -= int64(n)
	r.head -= int64(n)
	r.unused += int64(n)
	if r.inHead {
		r.lines += int64(bytes.Count(p[:n], newline))
	}
	if crowded := r.charge(); crowded != nil {
		return 0, crowded
	}
	return n, err
}

var newline = []byte("\n")

// charge has the share hold what was read and not used yet.
func (r *Reader) charge() error { return r.share.Set(unusedFactor*r.unused + FieldBytes*r.lines) }

// release has the share hold nothing.
func (r *Reader) release() {
	r.unused, r.lines = 0, 0
	_ = r.charge() // fails only if the share was evicted, which the next Read reports
}

// Used reports that bytes were used: passed on, or judged as a part of what the peer was asked for. Nothing that was read before is held
// any more.
func (r *Reader) Used(bytes int) {
	r.left = min(r.left+renewal*int64(bytes), MaxUnused)
	r.release()
}

// Pin states that what was read can't be let go of until it is used, whatever becomes of the connection.
func (r *Reader) Pin() { r.share.Pin() }

// Renew allows MaxUnused bytes again, at the beginning of an exchange.
func (r *Reader) Renew() {
	r.left = MaxUnused
	r.release()
}

// Close states that nothing that was read is held any more. Unlike the other methods it may be called at any time.
func (r *Reader) Close() { _ = r.share.Set(0) } // fails only if the share was evicted

// BeginHead bounds what is read until EndHead, in bytes, because a head is kept in memory.
func (r *Reader) BeginHead(limit int64) { r.inHead, r.head = true, limit }

// EndHead ends the bound that BeginHead has set. What the head holds from now on is its owner's to count.
func (r *Reader) EndHead() {
	r.inHead = false
	r.release()
}

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
