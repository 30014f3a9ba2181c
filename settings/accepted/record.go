// Package accepted defines the accepted settings: the records that acceptance
// commits to the store, and the rule by which a node's copy of them only
// grows. It is pure: no clock, no I/O.
package accepted

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Keys of the accepted settings in the store. Prefix holds HeadKey and the
// teams' records and is what relays watch.
const (
	Prefix      = "/knapweedgw/settings/accepted/"
	HeadKey     = Prefix + "head"
	teamsPrefix = Prefix + "teams/"
	history     = "/knapweedgw/settings/history/"
)

// HistoryLength is the number of accepted revisions kept for each team.
const HistoryLength = 16

// Record is a team's accepted document.
type Record struct {
	Team string `json:"team"`
	// Revision is the fleet's revision that accepted the document.
	Revision int64 `json:"revision"`
	// Change is the store's revision of the operators' document; 0 for a
	// deletion.
	Change int64 `json:"change"`
	// Sequence counts the team's accepted documents from 1.
	Sequence int64 `json:"sequence"`
	// Deleted marks the record of a team that was deleted.
	Deleted bool `json:"deleted,omitempty"`
	// Author and At say who wrote the document and when it was accepted.
	Author   string          `json:"author,omitempty"`
	At       time.Time       `json:"at"`
	Document json.RawMessage `json:"document,omitempty"`
}

// Head is the newest accepted revision. Each acceptance raises it.
type Head struct {
	Revision int64 `json:"revision"`
	// Previous is the revision that this one follows.
	Previous int64 `json:"previous"`
	// Teams are those whose records have this revision.
	Teams []string `json:"teams"`
	// WriteID tells apart writes whose answer was lost.
	WriteID string `json:"write_id"`
}

// TeamKey returns the store key of a team's record.
func TeamKey(team string) string { return teamsPrefix + team }

// HistoryPrefix returns the prefix of a team's earlier records.
func HistoryPrefix(team string) string { return history + team + "/" }

// HistoryKey returns the store key of one of the team's latest HistoryLength
// records; a later record takes the place of an older one.
func HistoryKey(r Record) string {
	return fmt.Sprintf("%s%02d", HistoryPrefix(r.Team), r.Sequence%HistoryLength)
}

// Bytes is the approximate size of the record in a message.
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

// FromPage returns the delta that a list of Prefix gives, and the store's
// revision of the head, 0 if there is none. It is complete through the head.
func FromPage(p store.Page) (d Delta, headMod int64, err error) {
	for _, kv := range p.KVs {
		switch {
		case kv.Key == HeadKey:
			h, err := DecodeHead(kv)
			if err != nil {
				return Delta{}, 0, err
			}
			d.Through, headMod = h.Revision, kv.ModRevision
		case strings.HasPrefix(kv.Key, teamsPrefix):
			r, err := DecodeRecord(kv)
			if err != nil {
				return Delta{}, 0, err
			}
			d.Records = append(d.Records, r)
		}
	}
	return d, headMod, nil
}

// FromEvents returns the deltas that a batch of a watch on Prefix gives, one
// for each acceptance, in order.
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

// headDelta is the delta of one acceptance. If the events of a record were
// lost, the delta claims nothing, so that the gap is seen.
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
