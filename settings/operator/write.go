package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

// AnyRevision writes a change regardless of the revision in force and of pending
// changes.
const AnyRevision int64 = -1

const (
	// maxCommits is the largest number of commits of one write whose response
	// is lost.
	maxCommits = 5
	// awaitInterval is the interval of polling for the decision.
	awaitInterval = 250 * time.Millisecond
)

// Set checks a document and writes it to the team's key if the team's revision in
// force is still the given one and no other change is undecided. It returns the
// number of the change, which is the store's revision of the document.
func (c *Client) Set(ctx context.Context, team string, raw []byte, revision int64) (change int64, err error) {
	if err := Check(raw); err != nil {
		return 0, err
	}
	return c.write(ctx, team, revision, store.Op{Key: settings.TeamKey(team), Value: raw})
}

// Delete removes the team's document under the same conditions as Set.
func (c *Client) Delete(ctx context.Context, team string, revision int64) (change int64, err error) {
	return c.write(ctx, team, revision, store.Op{Key: settings.TeamKey(team), Delete: true})
}

// write commits the operation together with the author, and returns ErrConflict if
// another change was written first.
func (c *Client) write(ctx context.Context, team string, revision int64, op store.Op) (int64, error) {
	t, err := c.Read(ctx, team)
	if err != nil {
		return 0, err
	}
	if revision != AnyRevision && (t.Record.Revision != revision || t.Pending()) {
		return 0, conflictError(t)
	}
	note := settings.Change{Author: c.Author, At: c.Now(), WriteID: uuid.NewString()}
	value, err := json.Marshal(note)
	if err != nil {
		return 0, err
	}
	change, ok, err := c.commit(ctx, team, note.WriteID, store.Txn{
		Compares: []store.Compare{{Key: op.Key, ModRevision: t.Change}},
		Ops:      []store.Op{op, {Key: settings.ChangeKey(team), Value: value}},
	})
	if err != nil || ok {
		return change, err
	}
	if t, err = c.Read(ctx, team); err != nil {
		return 0, err
	}
	return 0, conflictError(t)
}

// commit commits a transaction and retries if the response is lost: the compare
// lets the transaction take effect only once, and its write ID in the store shows
// whether it did.
func (c *Client) commit(ctx context.Context, team, writeID string, txn store.Txn) (change int64, ok bool, err error) {
	lost := false // the response of an attempt was lost
	for range maxCommits {
		change, ok, err = c.Store.Commit(ctx, txn)
		if err == nil && (ok || !lost) {
			return change, ok, nil
		}
		if err != nil && !errors.Is(err, store.ErrUncertain) && !lost {
			return 0, false, err
		}
		lost = true
		var note settings.Change
		mod, readErr := c.read(ctx, settings.ChangeKey(team), &note)
		if readErr == nil && note.WriteID == writeID {
			return mod, true, nil
		}
		if err == nil && readErr == nil {
			return 0, false, nil // another write came first
		}
	}
	err = errors.Wrapf(store.ErrUncertain, "not settled in %d tries, the last: %v", maxCommits, err)
	return 0, false, errors.WithHint(err, "the change may have been written: run 'knapweedgw settings status TEAM' once the store answers, before you repeat it")
}

// Await polls until a change is decided and returns the decision. It returns
// ErrFaults if the change was refused, and ErrConflict if a later change replaced
// it before it was decided.
func (c *Client) Await(ctx context.Context, team string, change int64) (accepted.Status, error) {
	for {
		t, err := c.Read(ctx, team)
		switch {
		case err != nil && !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUncertain):
			return accepted.Status{}, err
		case err != nil:
		case t.Status.Change == change:
			return t.Status, FaultsError(t.Status.Faults)
		case t.Change > change, t.Status.Change > change:
			return t.Status, conflictError(t)
		}
		select {
		case <-ctx.Done():
			err := errors.Newf("settings: change %d is written but not decided yet", change)
			return accepted.Status{}, errors.WithHint(err, "it stays written; run 'knapweedgw settings status' to see the decision, and check that nodes run and reach the store")
		case <-time.After(awaitInterval):
		}
	}
}
