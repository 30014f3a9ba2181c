// Package accepted defines the accepted settings: the records that the acceptor
// commits to the store, and a node's copy of them, which merges records so that a
// team's revision never decreases. It does no I/O and reads no clock.
package accepted

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Keys of the accepted settings in the store. Relays watch Prefix, which covers
// HeadKey and the teams' records.
const (
	Prefix      = "/knapweedgw/settings/accepted/"
	HeadKey     = Prefix + "head"
	teamsPrefix = Prefix + "teams/"
	historyRoot = "/knapweedgw/settings/history/"
)

// HistoryLength is the number of accepted revisions kept for each team.
const HistoryLength = 16

// Record is a team's accepted document.
type Record struct {
	Team string `json:"team"`
	// Revision is the fleet's revision under which the document was accepted.
	Revision int64 `json:"revision"`
	// Change is the store's revision of the operators' document; 0 for a
	// deletion.
	Change int64 `json:"change"`
	// Sequence counts the team's accepted documents from 1.
	Sequence int64 `json:"sequence"`
	// Deleted marks the record of a team that was deleted.
	Deleted bool `json:"deleted,omitempty"`
	// Author wrote the document; it was accepted at At.
	Author   string          `json:"author,omitempty"`
	At       time.Time       `json:"at"`
	Document json.RawMessage `json:"document,omitempty"`
}

// Head is the newest accepted revision. Each commit of the acceptor increases it.
type Head struct {
	Revision int64 `json:"revision"`
	// Previous is the revision before this one.
	Previous int64 `json:"previous"`
	// Teams are the teams whose records have this revision.
	Teams []string `json:"teams"`
	// WriteID is unique to the write. An acceptor whose response was lost reads
	// it back to learn whether its own write took effect.
	WriteID string `json:"write_id"`
}

// TeamKey returns the store key of a team's record.
func TeamKey(team string) string { return teamsPrefix + team }

// HistoryPrefix returns the prefix of a team's earlier records.
func HistoryPrefix(team string) string { return historyRoot + team + "/" }

// HistoryKey returns the store key of a record in the team's history, a ring of
// HistoryLength entries in which a later record overwrites the oldest one.
func HistoryKey(r Record) string {
	return fmt.Sprintf("%s%02d", HistoryPrefix(r.Team), r.Sequence%HistoryLength)
}

// Bytes returns the approximate size of the record in a message, in bytes.
func (r Record) Bytes() int {
	const envelope = 180
	return envelope + len(r.Team) + len(r.Author) + len(r.Document)
}

// DecodeRecord reads a record from the store.
func DecodeRecord(kv store.KV) (Record, error) {
	var r Record
	err := json.Unmarshal(kv.Value, &r)
	return r, errors.Wrapf(err, "settings: record %s", kv.Key)
}

// DecodeHead reads the head from the store.
func DecodeHead(kv store.KV) (Head, error) {
	var h Head
	err := json.Unmarshal(kv.Value, &h)
	return h, errors.Wrap(err, "settings: head")
}

// FromPage converts a list of Prefix to a delta that is complete through the
// head. It also returns the store's revision of the head, 0 if there is none.
func FromPage(p store.ListResult) (d Delta, headModRevision int64, err error) {
	for _, kv := range p.KVs {
		switch {
		case kv.Key == HeadKey:
			h, err := DecodeHead(kv)
			if err != nil {
				return Delta{}, 0, err
			}
			d.Through, headModRevision = h.Revision, kv.ModRevision
		case strings.HasPrefix(kv.Key, teamsPrefix):
			r, err := DecodeRecord(kv)
			if err != nil {
				return Delta{}, 0, err
			}
			d.Records = append(d.Records, r)
		}
	}
	return d, headModRevision, nil
}

// FromEvents converts a batch of a watch on Prefix to deltas, one for each
// commit of the acceptor, in order.
func FromEvents(events []store.Event) ([]Delta, error) {
	var out []Delta
	records := make(map[string]Record)
	for _, e := range events {
		if e.Deleted {
			continue
		}
		if e.KV.Key != HeadKey {
			r, err := DecodeRecord(e.KV)
			if err != nil {
				return nil, err
			}
			records[r.Team] = r
			continue
		}
		h, err := DecodeHead(e.KV)
		if err != nil {
			return nil, err
		}
		out = append(out, headDelta(h, records))
	}
	return out, nil
}

// headDelta returns the delta of one commit. If the event of a record was lost,
// Since equals Through: the delta is complete for no revision, so that the
// receiver detects the gap.
func headDelta(h Head, records map[string]Record) Delta {
	d := Delta{Since: h.Previous, Through: h.Revision}
	for _, team := range h.Teams {
		r, ok := records[team]
		if !ok || r.Revision < h.Revision {
			d.Since = h.Revision
			continue
		}
		d.Records = append(d.Records, r)
	}
	return d
}
