// Package streams records at which software version each stream began, so that any VM can tell where a
// stream that a caller takes up may go on.
//
// # Protocol
//
// The VM that passes on the first event of a stream first sends a record of it to a few holders: VMs that the stream's
// key selects by rendezvous hashing, in several failure domains. A VM that is asked to go on with a stream asks the VMs
// that may be holders, unless it has the record itself. So a record outlives the VM at which the stream began, its
// failure domain and the store. Holders acknowledge records; a record that too few have acknowledged is sent again, to
// further VMs as well, until it expires.
//
// While a service has had one version only, for RecordTTL, VMs keep their records to themselves, and send
// them when a second version appears. A VM that is asked for a record that it lacks says so if it has seen one version
// only: the stream can't have begun at another.
//
// # Invariants
//
//   - A record never changes. Two records of one key that differ void each other: Lookup then finds a conflict.
//   - Nothing is derived from the absence of a record, except that a stream began at the only version, if the store says so after the
//     stream was taken up. While the store does not answer, that is derived from what this VM and its peers have seen, but only if all that
//     were asked have answered and no failure domain is out of reach: VMs that are cut off together agree on what is over.
//
// # Cost
//
// A VM keeps records for RecordTTL: those of its own streams and, as a holder, its share of the copies of the
// fleet's, at most maxRecords. A begin costs a datagram of about 95 bytes to each holder, and its acknowledgement.
package streams

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/threadwall/threadwall/internal/ids"
)

// Key identifies a stream. It is a cryptographic hash, so that no caller can forge the key of
// another one's stream.
type Key [16]byte

// KeyOf returns the key of the stream whose first event the call with the given id brought. workspace is
// empty on public routes.
func KeyOf(workspace ids.Workspace, host string, first ids.Request) Key {
	h := sha256.New()
	for _, field := range []string{string(workspace), host, string(first)} {
		var length [8]byte // separates the fields
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// Version identifies a software version of a service by a hash, which is equal on all VMs.
type Version uint64

// Several takes the place of a version where streams may have begun at one of several.
const Several = Version(math.MaxUint64)

// VersionOf returns the identifier of a software version of a service. It is neither zero nor Several.
func VersionOf(service string, v ids.SoftwareVersion) Version {
	return min(max(Version(xxh3.HashStringSeed(string(v), ServiceHash(service))), 1), Several-1)
}

// ServiceHash returns the hash by which VMs name a service.
func ServiceHash(service string) uint64 { return xxh3.HashString(service) }

// Record says at which version a stream began.
type Record struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Version Version
	AgeMs   int64 // since the stream began or was last taken up
}

// Message is what VMs send each other.
type Message struct {
	_       struct{} `cbor:",toarray"`
	Records []Record // to be kept
	Acks    []Key    // records that the sender keeps
	Asked   []Question
	// Found, Missing and Conflicts answer Asked. A key with records that differ is in Conflicts.
	Found     []Record
	Missing   []Absence
	Conflicts []Key
}

// Question asks for a record.
type Question struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Service is a hash of the service that would run the call.
	Service uint64
}

// Absence says that the sender has no record of a key.
type Absence struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Sole is the only version at which streams of the service that may still go on have begun; Several: there may be several;
	// zero: the sender doesn't know.
	Sole Version
}

const (
	// RecordTTL is how long a record is kept: the longest call, and the time in which a caller may
	// take its stream up after that.
	RecordTTL = 90 * time.Second
	// copies is the number of holders of a record beside the VM that made it, and copiesInLargeFleet that in a fleet of more
	// than largeFleet VMs, where few of them fail at a time.
	copies             = 3
	copiesInLargeFleet = 2
	largeFleet         = 100
	// maxRecords bounds the records of one VM, of about 100 bytes each. Beyond, the oldest are dropped.
	maxRecords = 16 << 10
)

// Directory is one VM's part of the directory. Set the exported fields before the first call. Safe
// for concurrent use.
type Directory struct {
	VM            ids.VM
	FailureDomain ids.FailureDomain
	// Peers returns the listed VMs without this one, in any order.
	Peers func() []Peer
	// Sole returns the only version at which streams of a service that may still go on have begun; Several: there may be several;
	// zero: it is not known. serviceHash is that of ServiceHash. Sole must not call methods of the Directory.
	Sole func(serviceHash uint64) Version
	// Prove does the same as Sole by what the store lists, in answer to a question that is sent after the call, until ctx ends. ok is
	// false if the store has not answered. Nil: there is no store.
	Prove func(ctx context.Context, service string) (sole Version, ok bool)
	// Collectors returns the VMs that save records in the store, this one included if it is one of them, in an order on which VMs
	// agree. Nil: records are not saved.
	Collectors func() []ids.VM
	// Send sends a message to a VM. It must not block and may lose the message.
	Send func(to ids.VM, m Message)
	// Now returns the current time.
	Now func() time.Time

	mu      sync.Mutex
	records map[Key]*entry
	queue   []queued          // of records, the oldest first; may hold outdated elements
	unacked map[Key]*transfer // records that too few holders have acknowledged
	acks    map[ids.VM][]Key  // not yet sent
	lookups map[Key][]*lookup // in progress
	started map[ids.VM]bool   // VMs that have started, and lack the records that they should hold
	unsaved []saved           // records that this VM is to save, not yet taken by its Archive

	changed  atomic.Bool // VersionsChanged was called
	wakeOnce sync.Once
	wake     chan struct{} // has a value if Run has something to do
	saveOnce sync.Once
	save     chan struct{} // has a value if there are unsaved records

	// Begun counts the records that this VM made, Kept those that it received, Repeated the records that it sent again, and
	// Dropped those that it dropped before they expired.
	Begun, Kept, Repeated, Dropped atomic.Int64
	// Lookups counts the streams that were looked up, and NotFound those of them without a record or with records that
	// differ.
	Lookups, NotFound atomic.Int64
}

// entry is a record on this VM.
type entry struct {
	version     Version
	conflicting bool      // VMs sent records with different versions
	private     uint64    // this VM made it and has not sent it, since the service with this hash had one version; zero: no
	at          time.Time // when the stream began or was last taken up
	savedAt     time.Time // when this VM last took it up for saving; zero: never
}

// queued is the time of a record at which it was put into the queue.
type queued struct {
	key Key
	at  time.Time
}

// Begin records that a stream of a service begins at a version, or goes on there, and sends the record to its holders. Call
// it before the stream's first event is passed on.
func (d *Directory) Begin(k Key, service string, v ids.SoftwareVersion) {
	version, hash := VersionOf(service, v), ServiceHash(service)
	sole := d.Sole(hash) == version
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Begun.Add(1)
	now := d.Now()
	d.put(k, version, now)
	if sole {
		d.records[k].private = hash
		return
	}
	d.startTransfer(k, now)
}

// put stores a record. The caller holds d.mu.
func (d *Directory) put(k Key, v Version, at time.Time) {
	if d.records == nil {
		d.records = map[Key]*entry{}
	}
	e := d.records[k]
	if e == nil {
		e = &entry{version: v}
		d.records[k] = e
	}
	e.conflicting = e.conflicting || e.version != v
	if at.After(e.at) {
		e.at = at
		d.queue = append(d.queue, queued{k, at})
	}
	d.expire()
}

// expire drops expired records, and the oldest beyond maxRecords. The caller holds d.mu.
func (d *Directory) expire() {
	expired := d.Now().Add(-RecordTTL)
	for len(d.queue) > 0 {
		first := d.queue[0]
		e := d.records[first.key]
		current := e != nil && e.at.Equal(first.at)
		switch {
		case !current:
		case !first.at.After(expired):
			delete(d.records, first.key)
		case len(d.records) > maxRecords:
			delete(d.records, first.key)
			d.Dropped.Add(1)
		default:
			return
		}
		d.queue = d.queue[1:]
	}
}

// Len returns the number of records that this VM has.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records)
}

// Receive handles a message of a peer. On a nil Directory it does nothing.
func (d *Directory) Receive(from ids.VM, m *Message) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Now()
	for i := range m.Records {
		d.keep(from, &m.Records[i], now)
	}
	for _, k := range m.Acks {
		d.acknowledged(from, k)
	}
	d.answer(from, m.Asked, now)
	d.answered(from, m)
}

// keep stores a record that a peer sent. The caller holds d.mu.
func (d *Directory) keep(from ids.VM, r *Record, now time.Time) {
	if r.AgeMs < 0 || r.AgeMs >= RecordTTL.Milliseconds() {
		return
	}
	d.Kept.Add(1)
	d.put(r.Key, r.Version, now.Add(-time.Duration(r.AgeMs)*time.Millisecond))
	d.saveFor(from, r.Key, now)
	switch e := d.records[r.Key]; {
	case e == nil: // it has expired at once
	case e.conflicting:
		d.finish(r.Key, 0, Conflict)
	default:
		d.finish(r.Key, e.version, Found)
	}
	if d.acks == nil {
		d.acks = map[ids.VM][]Key{}
	}
	d.acks[from] = append(d.acks[from], r.Key)
	d.wakeUp()
}

// answer answers the questions of a peer at once. The caller holds d.mu.
func (d *Directory) answer(to ids.VM, asked []Question, now time.Time) {
	if len(asked) == 0 {
		return
	}
	var m Message
	for _, q := range asked {
		switch e := d.records[q.Key]; {
		case e == nil:
			m.Missing = append(m.Missing, Absence{Key: q.Key, Sole: d.Sole(q.Service)})
		case e.conflicting:
			m.Conflicts = append(m.Conflicts, q.Key)
		default:
			m.Found = append(m.Found, e.record(q.Key, now))
		}
	}
	d.Send(to, m)
}

func (e *entry) record(k Key, now time.Time) Record {
	return Record{Key: k, Version: e.version, AgeMs: max(now.Sub(e.at).Milliseconds(), 0)}
}
