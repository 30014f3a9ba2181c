package acceptor

import (
	"cmp"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

// Limits of one commit: etcd allows 128 operations in a transaction; a team needs
// three and the head one.
const (
	MaxBatchTeams = 40
	maxBatchBytes = 512 << 10
)

// Plan holds the decisions of one pass: the records to accept and the statuses of
// the refused documents.
type Plan struct {
	Accept []accepted.Record
	Refuse []accepted.Status
}

func (p Plan) empty() bool { return len(p.Accept)+len(p.Refuse) == 0 }

// plan decides on up to MaxBatchTeams teams whose documents changed, oldest change
// first. The new revision is above the tree's head and above floor, the highest
// revision that this node holds from any source.
func (t *Tree) plan(floor int64, now time.Time) Plan {
	var p Plan
	revision := max(t.head.Revision, floor) + 1
	teams := t.inForce()
	size := 0
	for _, team := range t.pending() {
		if len(p.Accept)+len(p.Refuse) == MaxBatchTeams || size > maxBatchBytes {
			break
		}
		doc, faults := t.check(team, teams)
		if len(faults) > 0 {
			p.Refuse = append(p.Refuse, t.refusal(team, faults, now)...)
			continue
		}
		r := t.record(team, revision, now)
		teams[team] = doc
		size += 2 * r.Bytes()
		p.Accept = append(p.Accept, r)
	}
	return p
}

// inForce returns the accepted documents by team.
func (t *Tree) inForce() map[string]settings.Team {
	teams := make(map[string]settings.Team, len(t.records))
	for team, r := range t.records {
		if !r.Deleted {
			teams[team] = r.doc
		}
	}
	return teams
}

// pending returns the teams with an undecided change, oldest first. A change that
// was refused for a clash stays pending, since the other team may have changed its
// document.
func (t *Tree) pending() []string {
	var out []string
	for team, kv := range t.documents {
		if t.records[team].Change == kv.ModRevision {
			continue
		}
		if s := t.statuses[team]; s.Change == kv.ModRevision && s.Refused() && !clashed(s.Status) {
			continue
		}
		out = append(out, team)
	}
	for team, r := range t.records {
		if _, ok := t.documents[team]; !ok && !r.Deleted {
			out = append(out, team)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.documents[a].ModRevision, t.documents[b].ModRevision), cmp.Compare(a, b))
	})
	return out
}

// clashed returns whether one of the status's faults is a clash.
func clashed(s accepted.Status) bool {
	return slices.ContainsFunc(s.Faults, func(f settings.Fault) bool { return f.Reason == settings.ReasonClash })
}

// check decodes the team's document and checks it for clashes with the documents of
// other teams. A deleted document is valid.
func (t *Tree) check(team string, teams map[string]settings.Team) (settings.Team, []settings.Fault) {
	kv, ok := t.documents[team]
	if !ok {
		return settings.Team{}, nil
	}
	doc, faults := settings.Decode(kv.Value)
	if len(faults) > 0 {
		return doc, faults
	}
	return doc, settings.NewIndex(teams, team).Clashes(team, doc)
}

// record returns the record that accepts the team's document or its deletion.
func (t *Tree) record(team string, revision int64, now time.Time) accepted.Record {
	kv, ok := t.documents[team]
	return accepted.Record{
		Team: team, Revision: revision, Change: kv.ModRevision, Deleted: !ok,
		Sequence: t.records[team].Sequence + 1,
		Author:   t.author(team), At: now, Document: kv.Value,
	}
}

// refusal returns the status that refuses the team's document, none if the store
// holds the same refusal already.
func (t *Tree) refusal(team string, faults []settings.Fault, now time.Time) []accepted.Status {
	old, change := t.statuses[team], t.documents[team].ModRevision
	if old.Change == change && reflect.DeepEqual(old.Faults, faults) {
		return nil
	}
	return []accepted.Status{{
		Team: team, Change: change, Revision: t.records[team].Revision,
		Faults: faults, Author: t.author(team), At: now,
	}}
}

// acceptTxn returns the transaction that accepts the records, all or none, and the
// new head. It fails if a document, a record or the head has changed since it was
// read.
func (t *Tree) acceptTxn(records []accepted.Record, writeID string) (store.Txn, accepted.Head, error) {
	head := accepted.Head{Revision: records[0].Revision, Previous: t.head.Revision, WriteID: writeID}
	txn := store.Txn{Compares: []store.Compare{{Key: accepted.HeadKey, ModRevision: t.headModRevision}}}
	var err error
	put := func(key string, value any) {
		raw, e := json.Marshal(value)
		err = errors.CombineErrors(err, e)
		txn.Ops = append(txn.Ops, store.Op{Key: key, Value: raw})
	}
	for _, r := range records {
		head.Teams = append(head.Teams, r.Team)
		txn.Compares = append(txn.Compares,
			store.Compare{Key: settings.TeamKey(r.Team), ModRevision: r.Change},
			store.Compare{Key: accepted.TeamKey(r.Team), ModRevision: t.records[r.Team].modRevision})
		put(accepted.TeamKey(r.Team), r)
		put(accepted.HistoryKey(r), r)
		put(accepted.StatusKey(r.Team), accepted.Status{
			Team: r.Team, Change: r.Change, Revision: r.Revision, Author: r.Author, At: r.At,
		})
	}
	put(accepted.HeadKey, head)
	return txn, head, err
}

// refuseTxn returns the transaction that writes the statuses. It fails if a document
// or the head has changed since it was read.
func (t *Tree) refuseTxn(statuses []accepted.Status) (store.Txn, error) {
	txn := store.Txn{Compares: []store.Compare{{Key: accepted.HeadKey, ModRevision: t.headModRevision}}}
	for _, s := range statuses {
		raw, err := json.Marshal(s)
		if err != nil {
			return store.Txn{}, err
		}
		txn.Compares = append(txn.Compares, store.Compare{Key: settings.TeamKey(s.Team), ModRevision: s.Change})
		txn.Ops = append(txn.Ops, store.Op{Key: accepted.StatusKey(s.Team), Value: raw})
	}
	return txn, nil
}

// recordAccepted updates the tree after a commit at the store's revision modRevision.
func (t *Tree) recordAccepted(records []accepted.Record, head accepted.Head, modRevision int64) {
	t.head, t.headModRevision = head, modRevision
	for _, r := range records {
		t.records[r.Team] = newHeldRecord(r, modRevision)
		t.recordRefused([]accepted.Status{{Team: r.Team, Change: r.Change, Revision: r.Revision}}, modRevision)
	}
}

// recordRefused updates the statuses after a commit at the store's revision modRevision.
func (t *Tree) recordRefused(statuses []accepted.Status, modRevision int64) {
	for _, s := range statuses {
		t.statuses[s.Team] = heldStatus{s, modRevision}
	}
}
