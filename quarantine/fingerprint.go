package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/knapweedgw/knapweedgw/routing"
)

// fingerprintSize is the length of a fingerprint in bytes. It is long enough that a caller cannot
// find a request of its own whose fingerprint collides with another caller's request.
const fingerprintSize = 16

// Fingerprint identifies what may end targets: a request, by the fields that determine how a target
// processes it, or a prompt part at a service. Repetitions of a request by the same caller have the
// same fingerprint, as has a part in the prompts of all callers.
type Fingerprint [fingerprintSize]byte

// partMark is how the fingerprint of a prompt part begins. A request's fingerprint begins so by chance, once in
// 4 billion, and is then treated as that of a part of no prompt.
var partMark = [4]byte{'p', 'a', 'r', 't'}

// String returns the fingerprint in hexadecimal, as it is logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Describe says in words what the fingerprint is of.
func (f Fingerprint) Describe() string {
	if f.IsPart() {
		return fmt.Sprintf("prompt part %d (fingerprint %s)", f.part(), f)
	}
	return "request with fingerprint " + f.String()
}

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return [4]byte(f[:4]) == partMark }

// PartFingerprint returns the fingerprint of a prompt part, given by its hash, at a service.
func PartFingerprint(service string, part uint64) Fingerprint {
	var f Fingerprint
	copy(f[:], partMark[:])
	binary.BigEndian.PutUint32(f[4:], uint32(routing.Hash(service)))
	binary.BigEndian.PutUint64(f[8:], part)
	return f
}

// MaxParts is how many of a prompt's parts are considered, the first ones. It bounds what one request adds to a Table.
const MaxParts = 32

// Keys identify a request and the prompt parts that it shares with others.
type Keys struct {
	Request Fingerprint
	Parts   []Fingerprint
}

// NewKeys returns the keys of a request whose prompt has the given parts, by their hashes and in order, at a service.
func NewKeys(request Fingerprint, service string, parts []uint64) Keys {
	k := Keys{Request: request, Parts: make([]Fingerprint, min(len(parts), MaxParts))}
	for i := range k.Parts {
		k.Parts[i] = PartFingerprint(service, parts[i])
	}
	return k
}

// each calls f with the request and then with each part.
func (k Keys) each(f func(Fingerprint)) {
	f(k.Request)
	for _, p := range k.Parts {
		f(p)
	}
}

// LogFields returns the log fields of the keys. Parts are logged by the lower halves of their hashes, as other lines
// log the key of a request.
func (k Keys) LogFields() []any {
	parts := make([]uint32, len(k.Parts))
	for i, p := range k.Parts {
		parts[i] = p.part()
	}
	return []any{"fingerprint", k.Request, "parts", parts}
}

// part returns the lower half of the hash of the part that the fingerprint is of.
func (f Fingerprint) part() uint32 { return binary.BigEndian.Uint32(f[12:]) }

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
