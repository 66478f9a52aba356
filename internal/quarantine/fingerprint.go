// Package quarantine finds requests that crash the replicas that run them, and parts of prompts that
// do so whatever else the request holds, and refuses to send them to further replicas. A Detector finds out whether a replica has ended when its connection
// breaks, a Ledger keeps the crashes and shares them with peers, Judge decides which requests
// caused them, and a Guard refuses those requests.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/threadwall/threadwall/internal/ids"
)

// Fingerprint identifies the content of a request. Repeats of a request have the same
// fingerprint, independent of the ids of their attempts. It is a cryptographic hash, so that
// nobody can forge a request with the fingerprint of another caller's request.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request describes a request. Its fingerprint covers all but Model and Parts.
type Request struct {
	Workspace ids.Workspace // empty if the route is public
	Method    string
	Host      string
	URI       string   // path and query
	Body      [][]byte // in pieces of any size
	Model     ids.Model
	Parts     []string // ids of the parts of its prompt that other requests may share, without the last one
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(r.Workspace), r.Method, r.Host, r.URI} {
		writeField(h, field)
	}
	for _, piece := range r.Body {
		h.Write(piece)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})]).withShared(len(r.Parts) > 0)
}

// sharedBit is the bit of a fingerprint's last byte that says that the request shares parts of its prompt.
const sharedBit = 1

// withShared returns the fingerprint with sharedBit set or not.
func (f Fingerprint) withShared(shared bool) Fingerprint {
	f[len(f)-1] &^= sharedBit
	if shared {
		f[len(f)-1] |= sharedBit
	}
	return f
}

// sharesParts reports whether the request shares parts of its prompt.
func (f Fingerprint) sharesParts() bool { return f[len(f)-1]&sharedBit != 0 }

// PartFingerprints returns the fingerprints of the parts of the request's prompt that other requests may share. The
// workspace is a part of them, since the id of a part is the caller's word: no workspace can get a part of another
// one quarantined.
func (r *Request) PartFingerprints() []Fingerprint {
	out := make([]Fingerprint, 0, len(r.Parts))
	for _, id := range r.Parts {
		h := sha256.New()
		for _, field := range []string{"part", string(r.Workspace), string(r.Model), id} {
			writeField(h, field)
		}
		out = append(out, Fingerprint(h.Sum(nil)[:len(Fingerprint{})]))
	}
	return out
}

// writeField writes a field and its length, which separates it from the next one: "a" and "bc" must not hash like "ab"
// and "c".
func writeField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write([]byte(field))
}
