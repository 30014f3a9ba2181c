package accepted

import (
	"cmp"
	"maps"
	"slices"
)

// MaxDeltaBytes bounds the records of one delta; a single record may exceed
// it.
const MaxDeltaBytes = 256 << 10

// Delta is a set of records from any source, however old or incomplete.
type Delta struct {
	// Since and Through say what the delta is complete for: every team whose
	// newest record has a revision in (Since, Through] is included at that
	// revision or a later one.
	Since   int64    `json:"since"`
	Through int64    `json:"through"`
	Records []Record `json:"records,omitempty"`
}

// Result says what a delta did.
type Result struct {
	// Changed are the teams whose records are newer now.
	Changed []string
	// Stale counts the records that were older than those held.
	Stale int
	// Gap means that changes between the head and the delta are unknown. The
	// delta was not applied; read what is newer than the head.
	Gap bool
}

// State is a node's copy of the accepted settings. For each team it only
// moves to higher revisions. The zero value is empty. It is not safe for
// concurrent use.
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

// Records returns a copy of the records by team, those of deleted teams
// included.
func (s *State) Records() map[string]Record { return maps.Clone(s.records) }

// Apply takes from the delta what is newer than what is held. A copy is
// always complete through its head, so that one number tells another node
// what it lacks.
func (s *State) Apply(d Delta) Result {
	var res Result
	if d.Since > s.head {
		return Result{Gap: true}
	}
	for _, r := range d.Records {
		switch s.offer(r) {
		case newer:
			res.Changed = append(res.Changed, r.Team)
		case older:
			res.Stale++
		}
	}
	s.head = max(s.head, d.Through)
	return res
}

type order int

const (
	older order = iota
	same
	newer
)

// offer holds the record if its revision is higher than the team's.
func (s *State) offer(r Record) order {
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

// Since returns what is newer than a revision, oldest first, up to
// MaxDeltaBytes. If not all fits, Through is below the head and the rest
// follows from there.
func (s *State) Since(revision int64) Delta {
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
