// Package core holds the decisions of the claims service. It is pure: events
// and the clock are passed in, and the actions to take are returned. There
// are three state machines: Shard decides the claims of one shard over the
// store's log, Attempt follows one request at the node that received it, and
// Ends keeps outcomes until they are recorded.
package core

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// Shards is the number of logs the keys are spread over. All nodes must agree
// on it: changing it hides the records made before.
const Shards = 20

// Instant is a monotonic time since the start of the process.
type Instant = time.Duration

// Forever is an Instant that never comes.
const Forever Instant = 1<<63 - 1

// KeyID is a digest of the team, the workspace and the Idempotency-Key.
type KeyID [16]byte

// MarshalText implements encoding.TextMarshaler.
func (k KeyID) MarshalText() ([]byte, error) { return encodeText(k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *KeyID) UnmarshalText(text []byte) error { return decodeText(k[:], text) }

// Fingerprint is a digest of the request that a key was used for.
type Fingerprint [16]byte

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return encodeText(f[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error { return decodeText(f[:], text) }

func encodeText(b []byte) []byte { return base64.RawURLEncoding.AppendEncode(nil, b) }

func decodeText(dst, text []byte) error {
	b, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(b) != len(dst) {
		return errors.Newf("claims: %q is not %d bytes in base64url", text, len(dst))
	}
	copy(dst, b)
	return nil
}

// AttemptID is the random identity of one try to run a request.
type AttemptID uint64

// NewKeyID returns the digest of a key. The parts are length-prefixed, so
// that no two keys are joined to the same text.
func NewKeyID(team, workspace, key string) KeyID {
	h := sha256.New()
	for _, part := range []string{team, workspace, key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return KeyID(h.Sum(nil)[:len(KeyID{})])
}

// Shard returns the number of the shard that records the key.
func (k KeyID) Shard() int { return int(binary.BigEndian.Uint64(k[:8]) % Shards) }

// Holder is one run of a node's process.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Node        string   `json:"node"`
	Incarnation int64    `json:"incarnation"`
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// NotRun means that no target ran the request; the key is free again.
	NotRun Outcome = iota
	// Ran means that a target ran the request and answered.
	Ran
	// Lost means that a target may have run the request.
	Lost
)

// State is what is recorded of a claim.
type State int

// The states of a claim.
const (
	// Granted means that this attempt, and no other, may run the request.
	Granted State = iota
	// InProgress means that another attempt holds the claim.
	InProgress
	// Done means that the request was run; the answer may still be held.
	Done
	// Unknown means that an earlier attempt may have run the request.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
)

// Ask is an attempt's request for a claim.
type Ask struct {
	Key         KeyID       `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Attempt     AttemptID   `json:"attempt"`
	Holder      Holder      `json:"holder"`
}

// End is the outcome of an attempt.
type End struct {
	Key     KeyID     `json:"key"`
	Attempt AttemptID `json:"attempt"`
	Outcome Outcome   `json:"outcome"`
}

// Status is the kind of a Reply.
type Status int

// The statuses of a Reply.
const (
	// Decided means that the claim's state is known.
	Decided Status = iota
	// Recorded means that an End is kept.
	Recorded
	// Closed means that the attempt was ended before it asked.
	Closed
	// Unavailable means that the store doesn't answer.
	Unavailable
	// Expired means that the request waited beyond its time.
	Expired
)

// Reply answers an Ask or an End.
type Reply struct {
	Status Status `json:"status,omitempty"`
	State  State  `json:"state,omitempty"`
	// Holder ran the request if State is Done.
	Holder Holder `json:"holder,omitzero"`
	// Tainted means that a record of the attempt may be in the store though
	// the claim was not granted; the attempt must be ended.
	Tainted bool `json:"tainted,omitempty"`
	// Clear means, of a reply that decides nothing, that no attempt with the
	// key can have run the request when this one asked.
	Clear bool `json:"clear,omitempty"`
}
