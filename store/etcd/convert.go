package etcd

import "github.com/knapweedgw/knapweedgw/store"

// A range over every key starts at lowestKey and has noEnd, as etcd's API
// documents.
var (
	lowestKey = []byte{0}
	noEnd     = []byte{0}
)

func opToWire(op store.Op) requestOp {
	if !op.Delete {
		return requestOp{RequestPut: &putRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64String(op.Lease)}}
	}
	del := &deleteRangeRequest{Key: []byte(op.Key)}
	if op.Prefix {
		del.Key, del.RangeEnd = rangeKey(op.Key), prefixEnd(op.Key)
	}
	return requestOp{RequestDeleteRange: del}
}

// opFromWire converts an operation. It reports false for one that is neither a put nor
// a delete of one key or prefix.
func opFromWire(op requestOp) (store.Op, bool) {
	if p := op.RequestPut; p != nil {
		return store.Op{Key: string(p.Key), Value: p.Value, Lease: store.LeaseID(p.Lease)}, true
	}
	d := op.RequestDeleteRange
	if d == nil {
		return store.Op{}, false
	}
	if d.RangeEnd == nil {
		return store.Op{Key: string(d.Key), Delete: true}, true
	}
	prefix, ok := prefixOf(d.Key, d.RangeEnd)
	return store.Op{Key: prefix, Delete: true, Prefix: true}, ok
}

func kvFromWire(kv keyValue) store.KV {
	return store.KV{
		Key: string(kv.Key), Value: kv.Value,
		ModRevision: int64(kv.ModRevision), Lease: store.LeaseID(kv.Lease),
	}
}

func kvToWire(kv store.KV) keyValue {
	return keyValue{
		Key: []byte(kv.Key), Value: kv.Value,
		ModRevision: int64String(kv.ModRevision), Lease: int64String(kv.Lease),
	}
}

// rangeKey returns the start of the range that holds every key with the prefix.
func rangeKey(prefix string) []byte {
	if prefix == "" {
		return lowestKey
	}
	return []byte(prefix)
}

// prefixEnd returns the exclusive end of that range, as etcd's
// clientv3.GetPrefixRangeEnd documents.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return noEnd
}
