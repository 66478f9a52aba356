// Package bodies holds the bodies of calls in memory that is counted by what it holds.
//
// A body is a list of pieces of one size, so it grows without a copy and leaves nothing to the garbage collector. Pieces lie in
// blocks that are mapped outside the heap of Go: the collector neither counts nor doubles them, and an unused block goes back to
// the operating system at once. Small bodies are ordinary slices. Memory counts blocks and small bodies, and refuses
// what exceeds its limit, which may change at any time.
//
// The memory of a Memory is at most its limit, plus what was held already when the limit was lowered.
package bodies

import (
	"math/bits"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	// pieceBytes is the size of a piece, in bytes.
	pieceBytes = 16 << 10
	// piecesPerBlock is the number of pieces in a block: one for each bit of block.free.
	piecesPerBlock = 16
	blockBytes     = piecesPerBlock * pieceBytes
	// keptBytes is how much of unused blocks is kept for the next bodies, in bytes, if not more are in use.
	keptBytes = 4 << 20
)

// Memory is the memory for all bodies. The zero value has no limit. Safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	limit  int64    // bytes; zero: none
	small  int64    // bytes of bodies that are slices
	blocks []*block // in the order in which they are used
	unused int      // blocks of which no piece is in use
}

// block is a part of the memory that was mapped at once.
type block struct {
	bytes []byte
	free  uint16 // a bit for each piece
}

const allFree = 1<<piecesPerBlock - 1

// piece is a part of a block.
type piece struct {
	block *block
	index int
}

func (p piece) bytes() []byte {
	from := p.index * pieceBytes
	return p.block.bytes[from : from+pieceBytes : from+pieceBytes]
}

// SetLimit sets the limit, in bytes; zero: none. Unused blocks beyond it are released.
func (m *Memory) SetLimit(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = bytes
	m.trim()
}

// Limit returns the limit, in bytes; zero: none.
func (m *Memory) Limit() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.limit
}

// Held returns the memory that is held, with unused blocks, in bytes.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held()
}

// InUse returns the memory that bodies use, with the rest of their last pieces, in bytes.
func (m *Memory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	free := 0
	for _, b := range m.blocks {
		free += bits.OnesCount16(b.free)
	}
	return m.held() - int64(free)*pieceBytes
}

func (m *Memory) held() int64 { return m.small + int64(len(m.blocks))*blockBytes }

// fits reports whether more bytes may be held.
func (m *Memory) fits(bytes int64) bool { return m.limit <= 0 || m.held()+bytes <= m.limit }

// takeSmall counts a body that is a slice, and reports whether it fits.
func (m *Memory) takeSmall(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for !m.fits(bytes) {
		if !m.dropUnused() {
			return false
		}
	}
	m.small += bytes
	return true
}

func (m *Memory) returnSmall(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.small -= bytes
}

// take returns a piece that is not in use; false: there is no memory for it.
func (m *Memory) take() (piece, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.blocks {
		if b.free != 0 {
			return m.takeOf(b), true
		}
	}
	if !m.fits(blockBytes) {
		return piece{}, false
	}
	mapped, err := unix.Mmap(-1, 0, blockBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_ANON|unix.MAP_PRIVATE)
	if err != nil {
		return piece{}, false
	}
	b := &block{bytes: mapped, free: allFree}
	m.blocks = append(m.blocks, b)
	m.unused++
	return m.takeOf(b), true
}

// takeOf returns the first free piece of a block.
func (m *Memory) takeOf(b *block) piece {
	if b.free == allFree {
		m.unused--
	}
	index := bits.TrailingZeros16(b.free)
	b.free &^= 1 << index
	return piece{block: b, index: index}
}

// put returns pieces that are no longer in use.
func (m *Memory) put(pieces []piece) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range pieces {
		p.block.free |= 1 << p.index
		if p.block.free == allFree {
			m.unused++
		}
	}
	m.trim()
}

// trim releases unused blocks that are more than what is kept, or exceed the limit.
func (m *Memory) trim() {
	kept := max(keptBytes/blockBytes, len(m.blocks)-m.unused)
	for m.unused > kept || m.unused > 0 && !m.fits(0) {
		if !m.dropUnused() {
			return
		}
	}
}

// dropUnused releases the last unused block, and reports whether there is one.
func (m *Memory) dropUnused() bool {
	for i := len(m.blocks) - 1; i >= 0 && m.unused > 0; i-- {
		b := m.blocks[i]
		if b.free != allFree {
			continue
		}
		m.blocks = append(m.blocks[:i], m.blocks[i+1:]...)
		m.unused--
		_ = unix.Munmap(b.bytes) // fails only for an address that is not mapped
		return true
	}
	return false
}
