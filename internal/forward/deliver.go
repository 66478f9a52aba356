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

// chunkBytes is how much of an answer is written at a time. A caller that takes a piece in less
// than Tuning.ReaderTimeout goes on getting its answer, however slowly.
const chunkBytes = 16 << 10

// errUnread is a caller that leaves its answer unread.
var errUnread = errors.New("the caller leaves its answer unread")

// write passes a part of the answer on. While the caller does not read, the target's silence is
// not its own.
func (t *try) write(p []byte) error {
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

// flush sees to it that what was written is on its way.
func (t *try) flush() error {
	return t.timeWrite(func() error {
		t.r.extendWriteDeadline()
		return http.NewResponseController(t.r.w).Flush()
	})
}

func (t *try) timeWrite(f func() error) error {
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

// extendWriteDeadline gives the caller its time to read the next piece.
func (r *run) extendWriteDeadline() {
	if d := r.f.Tuning.ReaderTimeout; d > 0 {
		_ = http.NewResponseController(r.w).SetWriteDeadline(time.Now().Add(d)) // a writer without deadlines is no connection
	}
}

// maxUnreadBlamed is for how long a caller may have left an answer unread before the end of it is no
// longer held against the target: targets cut off answers that stay unread.
const maxUnreadBlamed = 500 * time.Millisecond

// brokeOffUnread tells whether an answer broke off that the caller had not read.
func (t *try) brokeOffUnread(err *outcome.Error) bool {
	return err.Code == outcome.CodeStreamBroken && t.unread > maxUnreadBlamed
}

// answerMemory bounds what answers that are read whole hold in memory, over all calls and for
// each workspace. It holds a number for each workspace that has some. Safe for concurrent use.
type answerMemory struct {
	mu          sync.Mutex
	inUse       int64
	byWorkspace map[ids.Workspace]int64
}

// reserve sets memory aside for one answer; false: there is not enough.
func (m *answerMemory) reserve(ws ids.Workspace, bytes, limit, workspaceLimit int64) bool {
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

func (m *answerMemory) release(ws ids.Workspace, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inUse -= bytes
	if m.byWorkspace[ws] -= bytes; m.byWorkspace[ws] == 0 {
		delete(m.byWorkspace, ws)
	}
}

// InUse returns how much answers hold, in bytes.
func (m *answerMemory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// bufferFor is how much of an answer is read before any of it is passed on, in bytes, and a
// function that gives the memory for it back. Without memory left it is one piece: the answer is
// passed on as it comes, and a failure within it can't be mended any more.
func (r *run) bufferFor(length int64) (bytes int64, release func()) {
	bytes = int64(bufferBytes)
	held := 2 * bytes // a buffer that grows doubles
	if length >= 0 {
		bytes = min(length+1, bytes) // one more than there is, to find the end
		held = bytes
	}
	tu, ws := &r.f.Tuning, ids.Workspace("")
	if r.workspace != nil {
		ws = r.workspace.Name
	}
	if bytes <= chunkBytes || !r.f.answers.reserve(ws, held, tu.MaxResponseMemory, tu.MaxResponseMemoryPerWorkspace) {
		return min(bytes, chunkBytes), func() {}
	}
	return bytes, func() { r.f.answers.release(ws, held) }
}
