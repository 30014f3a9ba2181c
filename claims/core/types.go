// Package core implements the state machines of the claims service without I/O:
// callers pass in events and the current time, and carry out the returned actions.
// Shard decides the claims of one shard from a log in the store, Attempt tracks one
// request at the node that received it, and OutcomeQueue queues the outcomes of attempts
// until the shard's owner has recorded them.
//
// A claim is the exclusive right of one attempt to run the request with a given
// Idempotency-Key. The keys are spread over shards by hash; each shard has a log in
// the store. An owner is a node that writes this log. Normally this is only the primary
// owner, the node that ranks first for the shard, but several nodes may act as owner of
// a shard at once: the revision of the log's head in the store detects their
// conflicting writes.
package core

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// Shards is the number of shards, each with its own log. It must be the same on all
// nodes; changing it makes earlier records unreachable.
const Shards = 20

// Instant is a monotonic time, measured from the start of the process.
type Instant = time.Duration

// Forever is the Instant that stands for no deadline.
const Forever Instant = 1<<63 - 1

// KeyID is a digest of the team, the workspace and the Idempotency-Key of a request.
type KeyID [16]byte

// MarshalText implements encoding.TextMarshaler.
func (k KeyID) MarshalText() ([]byte, error) { return encodeText(k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *KeyID) UnmarshalText(text []byte) error { return decodeText(k[:], text) }

// Fingerprint is a digest of a request; it detects a key reused for another request.
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

// AttemptID is the random ID of one attempt to run a request.
type AttemptID uint64

// NewKeyID returns the digest of a key. Each part is prefixed with its length, so
// that different keys can't have the same input to the digest.
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

// Shard returns the number of the shard whose log records claims of the key.
func (k KeyID) Shard() int { return int(binary.BigEndian.Uint64(k[:8]) % Shards) }

// Holder identifies the node process that holds a claim. Incarnation increases with
// each start of the node.
type Holder struct {
	_           struct{} `cbor:",toarray"`
	Node        string   `json:"node"`
	Incarnation int64    `json:"incarnation"`
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// NotRun means that no target ran the request; the key can be claimed again.
	NotRun Outcome = iota
	// Ran means that a target ran the request and returned an answer.
	Ran
	// PossiblyRun means that a target may have run the request.
	PossiblyRun
)

// State is the recorded state of a claim, as seen by the attempt that asked for it.
type State int

// The states of a claim.
const (
	// Granted means that this attempt holds the claim: it, and no other, may run the
	// request.
	Granted State = iota
	// InProgress means that another attempt holds the claim.
	InProgress
	// Done means that the request was run; the answer may still be kept by a node.
	Done
	// Unknown means that an earlier attempt may have run the request; it is not
	// run again.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
)

// ClaimRequest is the request of an attempt for a claim.
type ClaimRequest struct {
	Key         KeyID       `json:"key"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Attempt     AttemptID   `json:"attempt"`
	Holder      Holder      `json:"holder"`
}

// OutcomeRecord is the outcome of one attempt, to be recorded in the log.
type OutcomeRecord struct {
	Key     KeyID     `json:"key"`
	Attempt AttemptID `json:"attempt"`
	Outcome Outcome   `json:"outcome"`
}

// Status says whether a Reply carries a result, or why it has none.
type Status int

// The statuses of a Reply.
const (
	// Decided means that Reply.State is set.
	Decided Status = iota
	// Recorded means that the OutcomeRecord is in the log.
	Recorded
	// AttemptEnded means that the attempt's OutcomeRecord was recorded before its
	// ClaimRequest was handled.
	AttemptEnded
	// Unavailable means that a call to the store failed.
	Unavailable
	// Expired means that the ClaimRequest or OutcomeRecord was not handled before its expiry time.
	Expired
)

// Reply is the response to a ClaimRequest or an OutcomeRecord.
type Reply struct {
	Status Status `json:"status,omitempty"`
	State  State  `json:"state,omitempty"`
	// Holder is the process that ran the request; set if State is Done.
	Holder Holder `json:"holder,omitzero"`
	// MayBeRecorded means that a record of the attempt may be in the store although
	// the claim was not granted; the attempt must be ended.
	MayBeRecorded bool `json:"tainted,omitempty"`
	// NoEarlierRun means, in a reply whose Status is not Decided, that no earlier attempt
	// with the key can have run the request by the time of this ClaimRequest.
	NoEarlierRun bool `json:"clear,omitempty"`
}
