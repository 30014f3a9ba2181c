package core

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrCorrupt is returned for a key or value in the store that can't be decoded as part
// of a log of claims.
var ErrCorrupt = errors.New("claims: corrupt log; delete the keys under " + Prefix + " once every claim in them is older than the retention")

// Kind is the kind of a Record.
type Kind uint8

// The kinds of records.
const (
	// KindClock sets the shard's clock; it is the first record of each transaction.
	KindClock Kind = iota + 1
	// KindClaim grants the claim of a key to an attempt.
	KindClaim
	// KindEnd records the outcome of an attempt.
	KindEnd
)

// Record is one entry of a shard's log, encoded as CBOR with integer keys.
type Record struct {
	Kind        Kind        `cbor:"1,keyasint"`
	Clock       uint64      `cbor:"2,keyasint,omitzero"` // milliseconds
	Key         KeyID       `cbor:"3,keyasint,omitzero"`
	Attempt     AttemptID   `cbor:"4,keyasint,omitzero"`
	Fingerprint Fingerprint `cbor:"5,keyasint,omitzero"`
	Holder      Holder      `cbor:"6,keyasint,omitzero"`
	Outcome     Outcome     `cbor:"7,keyasint,omitzero"`
}

// Head is the value that every transaction of a shard replaces. A transaction requires
// the revision of the head that its owner last read, so that concurrent owners can't
// overwrite each other.
type Head struct {
	_      struct{} `cbor:",toarray"`
	Seq    uint64   // sequence number of the last transaction
	Group  uint64   // the open group, to which segments are added
	Oldest uint64   // the oldest group that is kept
	Clock  uint64   // milliseconds during which an owner read or wrote the shard's log
}

func appendRecord(dst []byte, r Record) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return append(dst, b...), errors.Wrap(err, "claims: encode record")
}

// decodeRecords calls f with each record in b. The error is ErrCorrupt if b can't be
// decoded; f has then been called with the records before the fault.
func decodeRecords(b []byte, f func(Record)) error {
	for len(b) > 0 {
		var r Record
		rest, err := cbor.UnmarshalFirst(b, &r)
		if err != nil {
			return errors.Wrapf(ErrCorrupt, "record: %v", err)
		}
		f(r)
		b = rest
	}
	return nil
}

func encodeHead(h Head) ([]byte, error) {
	b, err := cbor.Marshal(h)
	return b, errors.Wrap(err, "claims: encode head")
}

func decodeHead(b []byte) (Head, error) {
	var h Head
	if err := cbor.Unmarshal(b, &h); err != nil {
		return Head{}, errors.Wrapf(ErrCorrupt, "head: %v", err)
	}
	return h, nil
}
