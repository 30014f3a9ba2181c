package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the length of a fingerprint in bytes. It is long enough that a caller cannot
// find a request of its own whose fingerprint collides with another caller's request.
const fingerprintSize = 16

// Fingerprint identifies a request by the fields that determine how a target processes it.
// Repetitions of a request by the same caller have the same fingerprint.
type Fingerprint [fingerprintSize]byte

// String returns the fingerprint in hexadecimal, as it is logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request holds the fields that a fingerprint is computed from. Caller identifies the sender, so
// that one caller cannot put another caller's requests into quarantine; all callers without a key
// count as one caller.
type Request struct {
	Caller, Method, Host, URI string
	Body                      []byte
}

// Fingerprint returns the request's fingerprint.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{r.Caller, r.Method, r.Host, r.URI} {
		// The length prefix keeps a field from running into the next one.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(r.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
