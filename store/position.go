package store

// A store may come back from an older copy of itself. What was written since is gone then, and its revisions are
// given out again. Each return begins another era, so that only an era and a revision together tell which of two
// states is newer. Both are kept in one number, a position: positions compare like their eras first and their
// revisions next.

const (
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(63-revisionBits) - 1
)

// Position returns the position of a revision in an era. Numbers out of range become the nearest one in it; era 0
// is that of a store, or of a node's release, that doesn't know eras: positions equal revisions there.
func Position(era, revision int64) int64 {
	return min(max(era, 0), maxEra)<<revisionBits | min(max(revision, 0), maxRevision)
}

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position >> revisionBits }

// RevisionOf returns the revision of a position in its era.
func RevisionOf(position int64) int64 { return position & maxRevision }
