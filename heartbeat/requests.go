package heartbeat

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/knapweedgw/knapweedgw/quarantine"
)

// Quarantine records are appended to a message as a separate CBOR item, and only if there are
// any. Most of the time there are none, and messages are no longer than without this feature.

// marshal returns the encoded message followed by the quarantine records, if any.
func marshal(message any, requests []quarantine.Record) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	if err != nil || len(requests) == 0 {
		return raw, errors.Wrap(err, "heartbeat: encode")
	}
	tail, err := cbor.Marshal(requests)
	return append(raw, tail...), errors.Wrap(err, "heartbeat: encode quarantine records")
}

// unmarshal decodes a message and returns the quarantine records that follow it.
func unmarshal(body []byte, message any) ([]quarantine.Record, error) {
	rest, err := cbor.UnmarshalFirst(body, message)
	if err != nil || len(rest) == 0 {
		return nil, err
	}
	var requests []quarantine.Record
	if err := cbor.Unmarshal(rest, &requests); err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "heartbeat: decode quarantine records"), "run the same version on all nodes")
	}
	return requests, nil
}
