package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The memory of a process as the platform counts it: anonymous memory, and bytes that its sockets have received and it has not read.

// memorySamples are the recent samples of the memory of a process. Safe for concurrent use.
type memorySamples struct {
	mu      sync.Mutex
	samples []memorySample
	unread  int64     // bytes, as of readAt
	readAt  time.Time // when unread was last looked at
}

type memorySample struct {
	at    time.Time
	bytes int64
}

// unreadInterval is the interval at which the sockets of a process are looked at.
const unreadInterval = 100 * time.Millisecond

// mostBetween returns the largest sample between two times, in bytes, and the age of the last one at the later time; false: there is
// none.
func (m *memorySamples) mostBetween(from, to time.Time) (most int64, age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.samples {
		if !s.at.Before(from) && !s.at.After(to) {
			most, age, ok = max(most, s.bytes), to.Sub(s.at), true
		}
	}
	return most, age, ok
}

// sampleMemory samples the memory of the process, in bytes; false: it isn't running.
func (p *process) sampleMemory() (int64, bool) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0, false
	}
	anonymous, ok := anonymousMemory(cmd.Process.Pid)
	if !ok {
		return 0, false
	}
	m := &p.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); now.Sub(m.readAt) > unreadInterval {
		m.unread, m.readAt = unreadBytes(cmd.Process.Pid), now
	}
	m.samples = append(m.samples, memorySample{time.Now(), anonymous + m.unread})
	return anonymous + m.unread, true
}

// anonymousMemory returns the anonymous resident memory of a process, in bytes.
func anonymousMemory(pid int) (int64, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 10, 64)
			return kb << 10, err == nil
		}
	}
	return 0, false
}

// unreadBytes returns how many bytes the TCP sockets of a process have received and it has not read.
func unreadBytes(pid int) int64 {
	own := map[string]bool{} // inodes of sockets
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return 0 // the pattern is valid
	}
	for _, name := range names {
		link, err := os.Readlink(name)
		if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	f, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	total := int64(0)
	for s := bufio.NewScanner(f); s.Scan(); {
		// Columns: sl, local, remote, state, tx_queue:rx_queue, timer, retransmissions, uid, timeout, inode.
		columns := strings.Fields(s.Text())
		const state, queues, inode, listening = 3, 4, 9, "0A"
		if len(columns) <= inode || !own[columns[inode]] || columns[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(columns[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			total += n
		}
	}
	return total
}
