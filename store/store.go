// Package store defines the interface between a node and the platform's key-value
// service: reads, compare-and-swap transactions, leases and watches.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the platform's service: the size of a value in bytes, and the number of
// compares and of operations in one transaction (etcd's default --max-txn-ops).
const (
	MaxValueBytes = 1 << 20
	MaxTxnOps     = 128
)

// Errors of a Store; test with errors.Is.
var (
	// ErrUnavailable means that the service didn't execute the call; a write had no
	// effect.
	ErrUnavailable = errors.New("store: unavailable; try again later")
	// ErrRateLimited wraps ErrUnavailable: the calls exceed the rate limit of the
	// service.
	ErrRateLimited = errors.Wrap(ErrUnavailable, "store: rate limit reached; call less often")
	// ErrUncertain means that the response was lost; a write may have taken
	// effect. Read the keys back before writing again.
	ErrUncertain = errors.New("store: answer lost; read back before trying again")
	// ErrCompacted means that a watch has missed changes. List again.
	ErrCompacted = errors.New("store: revision compacted; list again")
	// ErrRestored means that the store came back from an older copy during a call or since the revision
	// that the call is about. List again.
	ErrRestored = errors.New("store: came back from an older copy; list again")
	// ErrLeaseNotFound means that the lease has expired, was revoked or never
	// existed. Grant a new one.
	ErrLeaseNotFound = errors.New("store: lease not found; grant a new one")
	// ErrValueTooLarge means that a value is over MaxValueBytes. Nothing was
	// written.
	ErrValueTooLarge = errors.New("store: value over 1 MiB; split it over several keys")
	// ErrDuplicateKey means that a transaction puts a key twice, or puts and deletes
	// it. Nothing was written.
	ErrDuplicateKey = errors.New("store: key written twice in a transaction; merge the two writes")
	// ErrTooManyOps means that a transaction has more than MaxTxnOps operations or
	// compares. Nothing was written.
	ErrTooManyOps = errors.New("store: over 128 operations in a transaction; split it")
)

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// KV is one key with its value and the revision of its last change.
type KV struct {
	Key         string
	Value       []byte
	ModRevision int64
	Lease       LeaseID
}

// Compare requires that Key was last changed at ModRevision; 0 requires that
// the key doesn't exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Op is one write of a transaction: a put, or a delete if Delete is set.
// A delete with Prefix set deletes every key that starts with Key.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
	Prefix bool
}

// Txn is a transaction that applies all Ops atomically if every Compare holds.
type Txn struct {
	Compares []Compare
	Ops      []Op
}

// ListResult is the complete result of a List: the keys in order, and the store's revision
// at which they were read.
type ListResult struct {
	KVs      []KV
	Revision int64
}

// Event is one change that a watch delivers; of a deleted key, KV has only Key and
// ModRevision.
type Event struct {
	KV      KV
	Deleted bool
}

// WatchBatch holds the events of one or more revisions, in order; without an Err, it has
// at least one event. All events up to Revision are delivered, so that a new watch
// may start at Revision+1. Err ends the watch; with ErrCompacted, Revision is the
// oldest revision from which a watch may start.
type WatchBatch struct {
	Events   []Event
	Revision int64
	Err      error
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the key's value; ok is false if there is none.
	Get(ctx context.Context, key string) (kv KV, ok bool, err error)
	// List returns the keys that start with prefix. A watch from the page's
	// Revision+1 delivers every later change once.
	List(ctx context.Context, prefix string) (ListResult, error)
	// Commit runs a transaction. It returns the store's revision and whether
	// the compares held. On ErrUncertain the write may have taken effect; any
	// other error means that it had no effect.
	Commit(ctx context.Context, t Txn) (revision int64, ok bool, err error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew renews a lease; it returns ErrLeaseNotFound if the lease has expired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke deletes a lease and its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch sends the changes under prefix, starting with revision from, until ctx
	// ends or a WatchBatch has an Err; then it closes the channel. If from is 0, it sends
	// the changes made after Watch has returned.
	Watch(ctx context.Context, prefix string, from int64) (<-chan WatchBatch, error)
}
