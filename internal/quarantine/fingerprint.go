// Package quarantine finds requests that crash the replicas that run them, and keeps
// them from further replicas.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/threadwall/threadwall/internal/ids"
)

// Fingerprint names what a caller asks for: repeats of a request have the same one,
// whatever the ids of their attempts. It is a cryptographic hash, so that nobody can make
// a request that shares another caller's.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request is what a fingerprint is made of.
type Request struct {
	Workspace ids.Workspace // empty: the route is public
	Method    string
	Host      string
	URI       string // path and query
	Body      []byte
}

// Fingerprint hashes the request.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{string(r.Workspace), r.Method, r.Host, r.URI} {
		// The length keeps fields apart: "a" and "bc" must not read like "ab" and "c".
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
