package etcd

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// The types below follow etcd v3's JSON mapping (etcdserverpb over the gRPC gateway):
// bytes are base64, 64-bit integers are strings.

// int64String is a 64-bit integer that is encoded as a JSON string. A JSON number is
// decoded too.
type int64String int64

func (i int64String) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

func (i *int64String) UnmarshalJSON(b []byte) error {
	if len(b) >= 2 && b[0] == '"' {
		b = b[1 : len(b)-1]
	}
	n, err := strconv.ParseInt(string(b), 10, 64)
	if err != nil {
		return errors.Wrap(err, "64-bit integer")
	}
	*i = int64String(n)
	return nil
}

type header struct {
	Revision int64String `json:"revision"`
}

type keyValue struct {
	Key         []byte      `json:"key"`
	Value       []byte      `json:"value"`
	ModRevision int64String `json:"mod_revision"`
	Lease       int64String `json:"lease"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	KVs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte      `json:"key"`
	Target      string      `json:"target"`
	Result      string      `json:"result"`
	ModRevision int64String `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte      `json:"key"`
	Value []byte      `json:"value"`
	Lease int64String `json:"lease,omitempty"`
}

type deleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type requestOp struct {
	RequestPut         *putRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *deleteRangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseGrantRequest struct {
	TTL int64String `json:"TTL"`
}

type leaseRequest struct {
	ID int64String `json:"ID"`
}

type leaseResponse struct {
	Header header      `json:"header"`
	ID     int64String `json:"ID"`
	TTL    int64String `json:"TTL"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchRequest struct {
	CreateRequest watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key           []byte      `json:"key"`
	RangeEnd      []byte      `json:"range_end,omitempty"`
	StartRevision int64String `json:"start_revision,omitempty"`
}

// The types of watch events; etcd's JSON omits PUT, which is the default.
const (
	eventPut    = "PUT"
	eventDelete = "DELETE"
)

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason,omitempty"`
	CompactRevision int64String  `json:"compact_revision,omitempty"`
	Events          []watchEvent `json:"events"`
}

type watchResponse struct {
	Result watchResult   `json:"result"`
	Error  *gatewayError `json:"error,omitempty"`
}
