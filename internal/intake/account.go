package intake

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// freeBytes is what each Share may hold without being counted, in bytes: more than what ordinary heads and events take.
const freeBytes = 8 << 10

// ErrCrowded is the error of a read for which an Account has no room.
var ErrCrowded = eris.New("the responses under way hold too much memory, and this one holds the most of it")

// Account is memory that all readers of a process share for what they have read and nobody has used yet. Each read has a bound of its
// own, but a peer in trouble may be read by many calls at the same moment. If the account has no room, the share that holds the most is
// evicted: its connection is closed, so the others go on. The account of a nil pointer has no limit. Safe for concurrent use.
type Account struct {
	limit int64 // bytes

	mu     sync.Mutex
	held   int64 // bytes, the sum over shares
	evicts int64 // shares evicted so far
	shares map[*Share]struct{}
}

// NewAccount returns an account of the given size, in bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit, shares: map[*Share]struct{}{}} }

// Limit returns the size of the account, and Held how much of it is held, in bytes.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit
}

// Held returns how much is held, in bytes.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Evictions returns how many shares were evicted so far.
func (a *Account) Evictions() int64 {
	if a == nil {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evicts
}

// Share is what one owner holds of an Account. Safe for concurrent use.
type Share struct {
	account *Account
	evict   func()
	counted atomic.Bool // may be among the account's shares

	// Guarded by the account's mutex.
	held    int64
	pinned  bool
	evicted bool
}

// Share returns a share that holds nothing. evict is called, from any goroutine, when others need the memory: it must soon have the owner
// let go of it, and must neither block nor use the account.
func (a *Account) Share(evict func()) *Share { return &Share{account: a, evict: evict} }

// Set changes how much the share holds, in bytes. It returns ErrCrowded if there is no room for it, or if the share was evicted.
func (s *Share) Set(bytes int64) error {
	bytes = max(bytes-freeBytes, 0)
	if s.account == nil || bytes == 0 && !s.counted.Load() {
		return nil
	}
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	err := s.account.set(s, bytes)
	s.counted.Store(bytes > 0 || err != nil)
	return err
}

// Counted reports whether the share holds more than what every share may hold.
func (s *Share) Counted() bool { return s.counted.Load() }

// Pin has the share not be evicted, because closing its connection would not free the memory. Unpin reverts it.
func (s *Share) Pin() { s.setPinned(true) }

// Unpin has the share be evicted again if others need its memory.
func (s *Share) Unpin() { s.setPinned(false) }

func (s *Share) setPinned(pinned bool) {
	if !s.counted.Load() {
		return
	}
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	s.pinned = pinned
}

// set changes what a share holds, and evicts those that must make room for it. The caller must hold a.mu.
func (a *Account) set(s *Share, bytes int64) error {
	if s.evicted {
		return ErrCrowded
	}
	grows := bytes > s.held
	a.hold(s, bytes)
	for grows && a.held > a.limit {
		most := a.largest(s)
		a.hold(most, 0)
		most.evicted = true
		a.evicts++
		if most == s {
			return ErrCrowded
		}
		most.evict()
	}
	return nil
}

// hold records what a share holds. The caller must hold a.mu.
func (a *Account) hold(s *Share, bytes int64) {
	a.held += bytes - s.held
	s.held = bytes
	if bytes > 0 {
		a.shares[s] = struct{}{}
	} else {
		delete(a.shares, s)
	}
}

// largest returns the share that holds the most among those that can be evicted and s. The caller must hold a.mu.
func (a *Account) largest(s *Share) *Share {
	most := s
	for other := range a.shares {
		if !other.pinned && other.held > most.held {
			most = other
		}
	}
	return most
}

// CountedReader has a share hold a multiple of all that was read, for bodies that are decoded into memory.
type CountedReader struct {
	From   io.Reader
	Share  *Share
	Factor int64 // what a byte costs once it is decoded, in bytes
	read   int64
}

// Read implements io.Reader. It returns ErrCrowded if the account has no room.
func (c *CountedReader) Read(p []byte) (int, error) {
	n, err := c.From.Read(p)
	c.read += int64(n)
	if crowded := c.Share.Set(c.Factor * c.read); crowded != nil {
		return 0, crowded
	}
	return n, err
}
