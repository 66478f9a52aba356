// Package procstat reads what a process holds, as the platform counts it: anonymous memory, bytes that its sockets have received and it
// has not read, and open descriptors.
package procstat

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// AnonymousMemory returns the anonymous resident memory of a process, in bytes; false: there is no such process.
func AnonymousMemory(pid int) (int64, bool) {
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

// Descriptors returns the number of open descriptors of a process; 0: there is no such process.
func Descriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// UnreadBytes returns how many bytes the TCP sockets of a process have received and it has not read.
func UnreadBytes(pid int) int64 {
	own := socketsOf(pid)
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

// socketsOf returns the inodes of a process's sockets.
func socketsOf(pid int) map[string]bool {
	own := map[string]bool{}
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return own // the pattern is valid
	}
	for _, name := range names {
		link, err := os.Readlink(name)
		if inode, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return own
}
