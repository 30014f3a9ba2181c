package store

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// Validate returns the error with which the service rejects an invalid transaction:
// ErrTooManyOps, ErrValueTooLarge or ErrDuplicateKey. As in etcd, a transaction may
// put a key only once, and may not put and delete the same key.
func (t Txn) Validate() error {
	if len(t.Ops) > MaxTxnOps || len(t.Compares) > MaxTxnOps {
		return errors.Wrapf(ErrTooManyOps, "%d operations, %d compares", len(t.Ops), len(t.Compares))
	}
	puts := make(map[string]bool, len(t.Ops))
	for _, op := range t.Ops {
		if op.Delete {
			continue
		}
		if len(op.Value) > MaxValueBytes {
			return errors.Wrapf(ErrValueTooLarge, "key %q has %d bytes", op.Key, len(op.Value))
		}
		if puts[op.Key] {
			return errors.Wrapf(ErrDuplicateKey, "key %q", op.Key)
		}
		puts[op.Key] = true
	}
	return t.validateDeletes(puts)
}

// validateDeletes returns ErrDuplicateKey if an operation deletes one of the put keys.
func (t Txn) validateDeletes(puts map[string]bool) error {
	for _, op := range t.Ops {
		if !op.Delete {
			continue
		}
		for key := range puts {
			if key == op.Key || op.Prefix && strings.HasPrefix(key, op.Key) {
				return errors.Wrapf(ErrDuplicateKey, "key %q", key)
			}
		}
	}
	return nil
}
