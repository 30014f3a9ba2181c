package acceptor

import (
	"context"
	"encoding/json"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

// heldRecord is a record with its decoded document and the store's revision of its
// key.
type heldRecord struct {
	accepted.Record
	doc         settings.Team
	modRevision int64
}

// newHeldRecord decodes the record's document. A document that this version can't decode is
// held as empty: it blocks no other team, but clashes with it are not detected.
func newHeldRecord(r accepted.Record, modRevision int64) heldRecord {
	h := heldRecord{Record: r, modRevision: modRevision}
	if !r.Deleted && json.Unmarshal(r.Document, &h.doc) != nil {
		h.doc = settings.Team{}
	}
	return h
}

// heldStatus is a status with the store's revision of its key.
type heldStatus struct {
	accepted.Status
	modRevision int64
}

// Tree is the acceptor's copy of the settings' keys in the store. Its maps, by team,
// may be older than the store and of different ages: each commit compares the
// revisions of the keys that its plan was based on.
type Tree struct {
	documents       map[string]store.KV // operators' documents
	changes         map[string]store.KV // encoded settings.Change
	records         map[string]heldRecord
	statuses        map[string]heldStatus
	head            accepted.Head
	headModRevision int64 // the store's revision of the head, 0 without one
}

func newTree() *Tree {
	return &Tree{
		documents: make(map[string]store.KV), changes: make(map[string]store.KV),
		records: make(map[string]heldRecord), statuses: make(map[string]heldStatus),
	}
}

// readTree lists the operators' keys, the accepted settings and the statuses. It
// returns the store's revision of the list of the operators' keys, after which a
// watch continues.
func readTree(ctx context.Context, s store.Store) (*Tree, int64, error) {
	t := newTree()
	raw, err := s.List(ctx, settings.Prefix)
	if err != nil {
		return nil, 0, err
	}
	for _, kv := range raw.KVs {
		t.observe(store.Event{KV: kv})
	}
	for _, prefix := range []string{accepted.Prefix, accepted.StatusPrefix} {
		page, err := s.List(ctx, prefix)
		if err != nil {
			return nil, 0, err
		}
		for _, kv := range page.KVs {
			if err := t.load(prefix, kv); err != nil {
				return nil, 0, err
			}
		}
	}
	return t, raw.Revision, nil
}

// observe applies an event on the operators' keys. It returns the team whose
// document changed, "" for another key.
func (t *Tree) observe(e store.Event) string {
	team, document, ok := settings.TeamOfKey(e.KV.Key)
	if !ok {
		return ""
	}
	kvs := t.changes
	if document {
		kvs = t.documents
	}
	if e.Deleted {
		delete(kvs, team)
	} else {
		kvs[team] = e.KV
	}
	if !document {
		return ""
	}
	return team
}

// load applies a key of the accepted settings or of the statuses, by prefix.
func (t *Tree) load(prefix string, kv store.KV) error {
	if kv.Key == accepted.HeadKey {
		h, err := accepted.DecodeHead(kv)
		t.head, t.headModRevision = h, kv.ModRevision
		return err
	}
	if prefix == accepted.StatusPrefix {
		s, err := accepted.DecodeStatus(kv)
		t.statuses[s.Team] = heldStatus{s, kv.ModRevision}
		return err
	}
	r, err := accepted.DecodeRecord(kv)
	t.records[r.Team] = newHeldRecord(r, kv.ModRevision)
	return err
}

// author returns who wrote or deleted the team's document, "" if the write had no
// settings.Change. A Change counts if it has the revision of the document or, for a
// deletion, if it is newer than the accepted document.
func (t *Tree) author(team string) string {
	note, ok := t.changes[team]
	doc, exists := t.documents[team]
	deletion := !exists && note.ModRevision > t.records[team].Change
	if !ok || note.ModRevision != doc.ModRevision && !deletion {
		return ""
	}
	var c settings.Change
	if err := json.Unmarshal(note.Value, &c); err != nil {
		return ""
	}
	return c.Author
}
