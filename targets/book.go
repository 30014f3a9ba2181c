package targets

import (
	"slices"
	"strings"
)

// maxUnlisted bounds the leaving reports kept for targets that are not in the VM
// list. At 410 restarts and failures a day in the whole fleet, this is enough for
// weeks.
const maxUnlisted = 16384

// leavingRecords keeps, for each target, the newest incarnation known to be
// leaving. It also keeps targets that are not in the VM list, since a lagging
// list may add them later or show them again.
type leavingRecords struct {
	leaving map[string]int64 // newest leaving incarnation, by target
	order   []string         // targets in the order in which they were first recorded
}

func newLeavingRecords() *leavingRecords {
	return &leavingRecords{leaving: make(map[string]int64)}
}

// add records a leaving report and returns whether it changed the records.
func (l *leavingRecords) add(report Report) bool {
	known, ok := l.leaving[report.Target]
	if !report.Leaving || ok && known >= report.Incarnation {
		return false
	}
	l.leaving[report.Target] = report.Incarnation
	if !ok {
		l.order = append(l.order, report.Target)
	}
	return true
}

// merge merges the state of a target in the VM list with its leaving record.
func (l *leavingRecords) merge(listed Report) Report {
	known, ok := l.leaving[listed.Target]
	if !ok {
		return listed
	}
	return Merge(listed, Report{Target: listed.Target, Incarnation: known, Leaving: true})
}

// prune removes the oldest records of targets that are not in the VM list, so
// that at most limit of these remain.
func (l *leavingRecords) prune(listed map[string]bool, limit int) {
	if len(l.leaving) <= limit {
		return
	}
	excess := -limit
	for id := range l.leaving {
		if !listed[id] {
			excess++
		}
	}
	l.order = slices.DeleteFunc(l.order, func(id string) bool {
		if excess <= 0 || listed[id] {
			return false
		}
		excess--
		delete(l.leaving, id)
		return true
	})
}

// reports returns all records as leaving reports, ordered by target.
func (l *leavingRecords) reports() []Report {
	out := make([]Report, 0, len(l.leaving))
	for id, inc := range l.leaving {
		out = append(out, Report{Target: id, Incarnation: inc, Leaving: true})
	}
	slices.SortFunc(out, func(a, b Report) int { return strings.Compare(a.Target, b.Target) })
	return out
}
