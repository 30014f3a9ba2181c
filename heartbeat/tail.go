package heartbeat

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/knapweedgw/knapweedgw/quarantine"
)

// tail is what follows a message: two CBOR items, quarantine records and packed records of streams. Most of
// the time there are none, and messages are no longer than without these features. Releases without the
// second item can't decode it, so it is sent only to nodes that have stated that they take it.
type tail struct {
	requests []quarantine.Record
	streams  []byte
}

// marshal returns the encoded message followed by its tail.
func marshal(message any, t tail) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	if err != nil || len(t.requests) == 0 && len(t.streams) == 0 {
		return raw, errors.Wrap(err, "heartbeat: encode")
	}
	requests, err := cbor.Marshal(t.requests)
	if raw = append(raw, requests...); err != nil || len(t.streams) == 0 {
		return raw, errors.Wrap(err, "heartbeat: encode quarantine records")
	}
	streams, err := cbor.Marshal(t.streams)
	return append(raw, streams...), errors.Wrap(err, "heartbeat: encode records of streams")
}

// unmarshal decodes a message and returns its tail.
func unmarshal(body []byte, message any) (t tail, err error) {
	rest, err := cbor.UnmarshalFirst(body, message)
	if err != nil || len(rest) == 0 {
		return t, err
	}
	rest, err = cbor.UnmarshalFirst(rest, &t.requests)
	if err != nil {
		return t, errors.WithHint(errors.Wrap(err, "heartbeat: decode quarantine records"), "run the same version on all nodes")
	}
	if len(rest) == 0 {
		return t, nil
	}
	if err := cbor.Unmarshal(rest, &t.streams); err != nil {
		return t, errors.WithHint(errors.Wrap(err, "heartbeat: decode records of streams"), "run the same version on all nodes")
	}
	return t, nil
}
