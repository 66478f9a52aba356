// Package ingress bounds what the clients of a listener cost before their requests are known: memory, descriptors and time.
//
// net/http parses a head while it arrives and has no bound on connections, so a client can cost many times what it sends, and a crowd the
// process its memory or its descriptors. A Listener therefore lies below the server:
//
//   - It reads heads itself and passes only whole ones on. A head that is not whole costs its bytes. A whole one is charged what the
//     server will make of it, by its bytes and lines, before the server sees it.
//   - All that its connections cost comes out of one Budget, and their number is bounded.
//   - At a bound, connections make room in a fixed order (class): those that were refused, those without a whole head, idle ones, and
//     those whose body has not arrived, the longest first in each, and at last those whose clients leave a response unread.
//   - It ends each state in time: heads, idle connections and bodies have their timeouts.
//
// The server's own timeouts for heads and idle connections are not used: the Listener has them (Limits).
package ingress

import (
	"net/http"
	"time"
)

// Limits bound what a client may send and how long it may take. They may change at any time.
type Limits struct {
	// HeadBytes bounds a head, in bytes: the request line and the fields with their line ends. A longer one is refused with 431.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its last. A later one is refused with 408.
	HeadTimeout time.Duration
	// IdleTimeout bounds the time until the first byte of a head. The connection is then closed.
	IdleTimeout time.Duration
	// BodyTimeout bounds the time from a whole head to the last byte of the body. Reads then fail.
	BodyTimeout time.Duration
}

// Costs of connections, in bytes. They are upper estimates of what the process holds; internal/lab/crowd measures it.
const (
	// ConnBytes is the cost of an open connection: its goroutine, and the server's buffers for it.
	ConnBytes = 20 << 10
	// callBytes is the cost of a request that is served, in addition to its head.
	callBytes = 16 << 10
	// headFactor and lineBytes are the cost of a head for each of its bytes and lines.
	headFactor = 2
	lineBytes  = 256
)

const (
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection, in bytes. Its content counts towards the VM's memory.
	ReceiveBuffer = 8 << 10
	// bodyReceiveBuffer is its size from the first body of more than longBody bytes on, if the budget has room for it.
	bodyReceiveBuffer = 64 << 10
	longBody          = 16 << 10
	// maxEmptyLines bounds the line breaks before a request, in bytes.
	maxEmptyLines = 64
	// headStep is the size of the first buffer for a head that doesn't arrive at once, in bytes. Each further one is twice as large.
	headStep = 1 << 10
	// pastChunk bounds how much is read after the data of a chunk, in bytes: it may belong to the next request.
	pastChunk = 512
	// unreadTime is how long a response may be left unread before its connection makes room.
	unreadTime = time.Second
	// roomWait is how long a new connection waits for room.
	roomWait = 100 * time.Millisecond
	// lingerTime and lingerBytes bound how long and how much is read on after a refusal, so that it reaches the client.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalTimeout bounds the sending of a refusal.
	refusalTimeout = 200 * time.Millisecond
)

// maxServerHead is the server's own bound on heads, in bytes. It lies above what the Listener passes on.
const maxServerHead = 1 << 20

// Cause is why a connection was closed or a request refused.
type Cause int

// The causes.
const (
	HeadTooLong Cause = iota
	HeadTimeout
	EmptyLines
	IdleTimeout
	// NoMemory is a head for which the budget had no room, although all connections that make room had done so.
	NoMemory
	// NoRoom is a new connection for which there was no room.
	NoRoom
	// RoomRefused to RoomBody are connections that made room, by their class.
	RoomRefused
	RoomWaiting
	RoomIdle
	RoomBody
	// RoomUnread is a connection that made room since its client left a response unread.
	RoomUnread
	// UnclearEnd is a head of which it is unclear where its request ends.
	UnclearEnd
	causes
)

var causeNames = [causes]string{
	"head-too-long", "head-timeout", "empty-lines", "idle-timeout", "no-memory", "no-room",
	"room-refused", "room-waiting", "room-idle", "room-body", "room-unread", "unclear-end",
}

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Server returns a server for connections of the Listener.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ConnState: l.connState, ConnContext: withConn, MaxHeaderBytes: maxServerHead}
}
