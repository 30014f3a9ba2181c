package accepted

import (
	"cmp"
	"maps"
	"slices"
)

// MaxDeltaBytes limits the size of the records of one delta; the records of one
// revision are never split and may exceed it.
const MaxDeltaBytes = 256 << 10

// Delta is a set of records from the store or a peer. It may be old or
// incomplete.
type Delta struct {
	// Since and Through delimit the revisions for which the delta is complete:
	// every team whose newest record has a revision in (Since, Through] is
	// included at that revision or a later one.
	Since   int64    `json:"since"`
	Through int64    `json:"through"`
	Records []Record `json:"records,omitempty"`
}

// Result is the outcome of applying a delta.
type Result struct {
	// Changed lists the teams whose records were replaced by newer ones.
	Changed []string
	// Stale counts the records that were older than those held.
	Stale int
	// Gap means that the changes between the head and the start of the delta
	// are missing. The delta was not applied; the caller must read everything
	// newer than the head.
	Gap bool
}

// State is a node's copy of the accepted settings. The revision of a team's
// record never decreases. The zero value is empty. It is not safe for concurrent
// use.
type State struct {
	head    int64
	records map[string]Record
}

// Head returns the revision through which the copy is complete.
func (s *State) Head() int64 { return s.head }

// Record returns the team's record.
func (s *State) Record(team string) (Record, bool) {
	r, ok := s.records[team]
	return r, ok
}

// Records returns a copy of the records by team, including those of deleted
// teams.
func (s *State) Records() map[string]Record { return maps.Clone(s.records) }

// Apply merges the records of the delta that are newer than the held ones. The
// copy stays complete through its head, so that a peer needs only the head to
// determine which records are missing.
func (s *State) Apply(d Delta) Result {
	var res Result
	if d.Since > s.head {
		return Result{Gap: true}
	}
	for _, r := range d.Records {
		switch s.merge(r) {
		case newer:
			res.Changed = append(res.Changed, r.Team)
		case older:
			res.Stale++
		}
	}
	s.head = max(s.head, d.Through)
	return res
}

// comparison is the result of comparing a record's revision with the held one.
type comparison int

const (
	older comparison = iota
	same
	newer
)

// merge stores the record if its revision is higher than that of the team's held
// record, and returns how the two compare.
func (s *State) merge(r Record) comparison {
	held := s.records[r.Team].Revision
	if r.Revision < held {
		return older
	}
	if r.Revision == held {
		return same
	}
	if s.records == nil {
		s.records = make(map[string]Record)
	}
	s.records[r.Team] = r
	return newer
}

// DeltaSince returns the records newer than a revision, oldest first, up to
// MaxDeltaBytes. If not all fit, Through is below the head and the caller
// continues with DeltaSince(Through).
func (s *State) DeltaSince(revision int64) Delta {
	d := Delta{Since: revision, Through: s.head}
	if revision >= s.head {
		return d
	}
	pending := s.newerThan(revision)
	size := 0
	for i, r := range pending {
		size += r.Bytes()
		if i > 0 && size > MaxDeltaBytes && r.Revision > pending[i-1].Revision {
			d.Through = min(d.Through, pending[i-1].Revision)
			return d
		}
		d.Records = append(d.Records, r)
	}
	return d
}

// newerThan returns the records newer than a revision, ordered by revision and
// team.
func (s *State) newerThan(revision int64) []Record {
	var out []Record
	for _, r := range s.records {
		if r.Revision > revision {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Team, b.Team))
	})
	return out
}
