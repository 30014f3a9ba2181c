package core

// Phase is the progress of the attempt that last claimed a key.
type Phase uint8

// The phases of an entry.
const (
	// Open means that the attempt holds the claim and its outcome is not recorded.
	Open Phase = iota
	// Free means that the attempt ended without running the request, so that the key
	// can be claimed again.
	Free
	// HasRun means that a target ran the request.
	HasRun
	// MayHaveRun means that a target may have run the request.
	MayHaveRun
)

// Entry is the state of a key according to the log.
type Entry struct {
	Attempt     AttemptID
	Fingerprint Fingerprint
	Holder      Holder
	Phase       Phase
	Clock       uint64 // the shard's clock at the claim, in milliseconds
	Group       uint64 // the group that holds the claim's record
}

// group holds the time span of a group of transactions and the keys claimed in it.
type group struct {
	id    uint64
	first uint64 // the shard's clock at the first transaction
	last  uint64 // the shard's clock at the last transaction
	keys  []KeyID
}

// Table is the state of a shard, built by applying the records of its log in order.
type Table struct {
	entries map[KeyID]Entry
	groups  []group // oldest first
	clock   uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: make(map[KeyID]Entry)} }

// Len returns the number of keys.
func (t *Table) Len() int { return len(t.entries) }

// Lookup returns the entry of a key.
func (t *Table) Lookup(k KeyID) (Entry, bool) {
	e, ok := t.entries[k]
	return e, ok
}

// Apply applies a record of the group g. Calls must not have decreasing g.
func (t *Table) Apply(g uint64, r Record) {
	switch r.Kind {
	case KindClock:
		t.setClock(g, r.Clock)
	case KindClaim:
		t.addClaim(g, r.Key, Entry{Attempt: r.Attempt, Fingerprint: r.Fingerprint, Holder: r.Holder})
	case KindEnd:
		t.applyEnd(g, r)
	}
}

func (t *Table) setClock(id, clock uint64) {
	t.clock = clock
	t.currentGroup(id).last = clock
}

// currentGroup returns the newest group if it has the given id, else it adds a group
// with that id.
func (t *Table) currentGroup(id uint64) *group {
	if n := len(t.groups); n == 0 || t.groups[n-1].id != id {
		t.groups = append(t.groups, group{id: id, first: t.clock})
	}
	return &t.groups[len(t.groups)-1]
}

func (t *Table) addClaim(id uint64, k KeyID, e Entry) {
	e.Clock = t.clock
	e.Group = id
	t.entries[k] = e
	g := t.currentGroup(id)
	g.keys = append(g.keys, k)
}

// applyEnd applies the outcome of an attempt to its open claim. An attempt that was not
// run and has no claim gets an entry with the phase Free, so that its ClaimRequest, if it arrives
// late, is not granted.
func (t *Table) applyEnd(id uint64, r Record) {
	e, ok := t.entries[r.Key]
	switch {
	case !ok && r.Outcome == NotRun:
		t.addClaim(id, r.Key, Entry{Attempt: r.Attempt, Phase: Free})
	case ok && e.Attempt == r.Attempt && e.Phase == Open:
		e.Phase = phaseOf(r.Outcome)
		t.entries[r.Key] = e
	}
}

func phaseOf(o Outcome) Phase {
	switch o {
	case NotRun:
		return Free
	case Ran:
		return HasRun
	default:
		return MayHaveRun
	}
}

// Trim removes the groups before oldest and the keys claimed in them, except keys that
// were claimed again since.
func (t *Table) Trim(oldest uint64) {
	for len(t.groups) > 0 && t.groups[0].id < oldest {
		for _, k := range t.groups[0].keys {
			if t.entries[k].Group < oldest {
				delete(t.entries, k)
			}
		}
		t.groups = t.groups[1:]
	}
}

// OldestToKeep returns the oldest group that remains if the groups whose last
// transaction is before clock are dropped, at most limit of them. The open group is
// always kept. ok is false if no group is to be dropped.
func (t *Table) OldestToKeep(open, clock uint64, limit int) (oldest uint64, ok bool) {
	for _, g := range t.groups {
		if g.id >= open || g.last >= clock || limit == 0 {
			break
		}
		oldest, ok = g.id+1, true
		limit--
	}
	return oldest, ok
}

// decision is the result of checking a ClaimRequest against the table.
type decision int

const (
	decideClaim decision = iota // the key can be claimed: a claim must be recorded
	decideReply                 // the reply is the returned State
	decideEnded                 // the attempt has ended without running
)

// decide checks a ClaimRequest against the entry of its key; ok is false if there is none. A
// key whose phase is not Free is granted only to the attempt that holds it.
func decide(e Entry, ok bool, a ClaimRequest) (decision, State) {
	switch {
	case !ok:
		return decideClaim, 0
	case e.Phase == Free && e.Attempt == a.Attempt:
		return decideEnded, 0
	case e.Phase == Free:
		return decideClaim, 0
	case e.Fingerprint != a.Fingerprint:
		return decideReply, Mismatch
	case e.Phase == Open && e.Attempt == a.Attempt:
		return decideReply, Granted
	case e.Phase == Open:
		return decideReply, InProgress
	case e.Phase == HasRun:
		return decideReply, Done
	default:
		return decideReply, Unknown
	}
}

// groupStart returns the shard's clock at the first transaction of the group id, or now
// if that is not the newest group.
func (t *Table) groupStart(id, now uint64) uint64 {
	if n := len(t.groups); n > 0 && t.groups[n-1].id == id {
		return t.groups[n-1].first
	}
	return now
}
