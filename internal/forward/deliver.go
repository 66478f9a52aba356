package forward

import (
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/threadwall/threadwall/internal/clock"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/outcome"
)

// chunkBytes is the size of one write of a response. A caller that reads each chunk within
// Tuning.ReaderTimeout keeps receiving its response, however slowly it reads.
const chunkBytes = 16 << 10

// errUnread is the cause when a caller does not read its response.
var errUnread = errors.New("the caller did not read its response within the reader timeout")

// write sends a part of the response to the caller. It pauses the stall timer, because a target may
// stop sending if the caller does not read.
func (t *attempt) write(p []byte) error {
	return t.timeWrite(func() error {
		for len(p) > 0 {
			n := min(len(p), chunkBytes)
			t.r.extendWriteDeadline()
			if _, err := t.r.w.Write(p[:n]); err != nil {
				return err
			}
			p = p[n:]
		}
		return nil
	})
}

// flush sends buffered data to the caller.
func (t *attempt) flush() error {
	return t.timeWrite(func() error {
		t.r.extendWriteDeadline()
		return http.NewResponseController(t.r.w).Flush()
	})
}

// timeWrite pauses the stall timer until its next start, calls f, and adds the duration of f to
// t.unread. The error wraps errUnread if the write deadline has passed.
func (t *attempt) timeWrite(f func() error) error {
	t.stall.pause()
	began := clock.Now()
	err := f()
	t.unread += clock.Since(began)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.r.f.Stats.Unread.Add(1)
		return errors.Join(errUnread, err)
	}
	return err
}

// extendWriteDeadline gives the caller ReaderTimeout to read the next chunk.
func (r *run) extendWriteDeadline() {
	if d := r.f.Tuning.ReaderTimeout; d > 0 {
		_ = http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(d)) // fails only for writers that are not connections
	}
}

// maxUnreadTime is the time of writes to the caller beyond which a response that breaks off does not
// count against the target. Targets abort responses that stay unread.
const maxUnreadTime = 500 * time.Millisecond

// brokeOffUnread reports whether the response broke off after the caller had left it unread for too
// long.
func (t *attempt) brokeOffUnread(err *outcome.Error) bool {
	return err.Code == outcome.CodeStreamBroken && t.unread > maxUnreadTime
}

// responseMemory bounds the memory of buffered responses, in total and for each workspace. It keeps
// an entry only for workspaces that have memory reserved. Safe for concurrent use.
type responseMemory struct {
	mu          sync.Mutex
	inUse       int64
	byWorkspace map[ids.Workspace]int64
}

// reserve sets memory aside for one response and reports whether both limits allow it.
func (m *responseMemory) reserve(ws ids.Workspace, bytes, limit, workspaceLimit int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inUse+bytes > limit || m.byWorkspace[ws]+bytes > workspaceLimit {
		return false
	}
	if m.byWorkspace == nil {
		m.byWorkspace = map[ids.Workspace]int64{}
	}
	m.inUse += bytes
	m.byWorkspace[ws] += bytes
	return true
}

func (m *responseMemory) release(ws ids.Workspace, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inUse -= bytes
	if m.byWorkspace[ws] -= bytes; m.byWorkspace[ws] == 0 {
		delete(m.byWorkspace, ws)
	}
}

// InUse returns the memory reserved for responses, in bytes.
func (m *responseMemory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// bufferFor returns how many bytes of a response to read before passing any of it on, and a
// function that releases the memory. If no memory is left, this is one chunk: the response is then
// passed on as it arrives, and another attempt can no longer replace a response that breaks off.
func (r *run) bufferFor(length int64) (bytes int64, release func()) {
	bytes = int64(bufferBytes)
	held := 2 * bytes // a growing buffer doubles its size
	if length >= 0 {
		bytes = min(length+1, bytes) // one byte more than the length, so that the read reaches the end
		held = bytes
	}
	tu, ws := &r.f.Tuning, ids.Workspace("")
	if r.workspace != nil {
		ws = r.workspace.Name
	}
	if bytes <= chunkBytes || !r.f.responses.reserve(ws, held, tu.MaxResponseMemory, tu.MaxResponseMemoryPerWorkspace) {
		return min(bytes, chunkBytes), func() {}
	}
	return bytes, func() { r.f.responses.release(ws, held) }
}
