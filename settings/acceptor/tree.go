package acceptor

import (
	"context"
	"encoding/json"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

// heldRecord is a record with its document and the store's revision of its
// key.
type heldRecord struct {
	accepted.Record
	doc settings.Team
	mod int64
}

// hold reads the record's document. One that only a newer version can read is
// held empty: it blocks no other team, though clashes with it go unseen.
func hold(r accepted.Record, mod int64) heldRecord {
	h := heldRecord{Record: r, mod: mod}
	if !r.Deleted && json.Unmarshal(r.Document, &h.doc) != nil {
		h.doc = settings.Team{}
	}
	return h
}

// heldStatus is a status with the store's revision of its key.
type heldStatus struct {
	accepted.Status
	mod int64
}

// Tree is what the acceptor has read from the store. Its parts may be older
// than the store and of different ages; every commit compares what it was
// planned on.
type Tree struct {
	documents map[string]store.KV
	changes   map[string]store.KV
	records   map[string]heldRecord
	statuses  map[string]heldStatus
	head      accepted.Head
	headMod   int64
}

func newTree() *Tree {
	return &Tree{
		documents: make(map[string]store.KV), changes: make(map[string]store.KV),
		records: make(map[string]heldRecord), statuses: make(map[string]heldStatus),
	}
}

// readTree lists the operators' tree, the accepted settings and the statuses.
// It returns the store's revision of the operators' tree.
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

// observe takes over a change of the operators' tree. It returns the team
// whose document changed, "" for another key.
func (t *Tree) observe(e store.Event) string {
	team, document, ok := settings.TeamOfKey(e.KV.Key)
	if !ok {
		return ""
	}
	into := t.changes
	if document {
		into = t.documents
	}
	if e.Deleted {
		delete(into, team)
	} else {
		into[team] = e.KV
	}
	if !document {
		return ""
	}
	return team
}

func (t *Tree) load(prefix string, kv store.KV) error {
	if kv.Key == accepted.HeadKey {
		h, err := accepted.DecodeHead(kv)
		t.head, t.headMod = h, kv.ModRevision
		return err
	}
	if prefix == accepted.StatusPrefix {
		s, err := accepted.DecodeStatus(kv)
		t.statuses[s.Team] = heldStatus{s, kv.ModRevision}
		return err
	}
	r, err := accepted.DecodeRecord(kv)
	t.records[r.Team] = hold(r, kv.ModRevision)
	return err
}

// author returns who wrote or deleted the team's document, "" if that was done
// without a note.
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
