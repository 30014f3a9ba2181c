package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintSize is the length of a fingerprint in bytes: so long that no caller
// finds a request of its own with the fingerprint of another's.
const fingerprintSize = 16

// Fingerprint tells requests apart by what decides over how a target runs them. The
// same caller's repetitions of a request have the same one.
type Fingerprint [fingerprintSize]byte

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Request is what a fingerprint is taken of. Caller names who sent it, so that nobody
// puts another's requests into quarantine; callers without a key are one caller.
type Request struct {
	Caller, Method, Host, URI string
	Body                      []byte
}

// Fingerprint returns the request's fingerprint.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range []string{r.Caller, r.Method, r.Host, r.URI} {
		// With its length, a field can't run on into the next.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // a hash takes everything
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(r.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
