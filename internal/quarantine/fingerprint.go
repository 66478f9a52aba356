// Package quarantine finds requests that crash the replicas that run them, and refuses to send
// them to further replicas. A Detector finds out whether a replica has ended when its connection
// breaks, a Ledger keeps the crashes and shares them with peers, Judge decides which requests
// caused them, and a Guard refuses those requests.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/threadwall/threadwall/internal/ids"
)

// Fingerprint identifies the content of a request. Repeats of a request have the same
// fingerprint, independent of the ids of their attempts. It is a cryptographic hash, so that
// nobody can forge a request with the fingerprint of another caller's request.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request holds the parts of a request that its fingerprint covers.
type Request struct {
	Workspace ids.Workspace // empty if the route is public
	Method    string
	Host      string
	URI       string // path and query
	Body      []byte
}

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(r.Workspace), r.Method, r.Host, r.URI} {
		// The length separates the fields: "a" and "bc" must not hash like "ab" and "c".
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
