package heartbeat

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/knapweedgw/knapweedgw/quarantine"
)

// What is told of requests under which targets ended follows a message as a CBOR item of
// its own: on all but a few days there is none, and messages are as long as without it.

// marshal returns a message with what is told of requests.
func marshal(message any, requests []quarantine.Record) ([]byte, error) {
	raw, err := cbor.Marshal(message)
	if err != nil || len(requests) == 0 {
		return raw, errors.Wrap(err, "heartbeat: encode")
	}
	tail, err := cbor.Marshal(requests)
	return append(raw, tail...), errors.Wrap(err, "heartbeat: encode requests")
}

// unmarshal reads a message and what follows it on requests.
func unmarshal(body []byte, message any) ([]quarantine.Record, error) {
	rest, err := cbor.UnmarshalFirst(body, message)
	if err != nil || len(rest) == 0 {
		return nil, err
	}
	var requests []quarantine.Record
	if err := cbor.Unmarshal(rest, &requests); err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "heartbeat: requests"), "run the same version on all nodes")
	}
	return requests, nil
}
