package core

import (
	"testing"

	"github.com/matryer/is"
)

func TestDecide(t *testing.T) {
	const own, other AttemptID = 1, 2
	same, changed := Fingerprint{1}, Fingerprint{2}
	entry := func(a AttemptID, p Phase) *Entry { return &Entry{Attempt: a, Fingerprint: same, Phase: p} }
	for _, tc := range []struct {
		name        string
		entry       *Entry
		fingerprint Fingerprint
		want        decision
		state       State
	}{
		{"a new key", nil, same, decideClaim, 0},
		{"a key whose last attempt was not run", entry(other, Free), same, decideClaim, 0},
		{"a key whose last attempt was not run, for another request", entry(other, Free), changed, decideClaim, 0},
		{"an attempt that ended before its Ask arrived", entry(own, Free), same, decideEnded, 0},
		{"an attempt that asks again", entry(own, Open), same, decideReply, Granted},
		{"a key in progress", entry(other, Open), same, decideReply, InProgress},
		{"a key in progress, for another request", entry(other, Open), changed, decideReply, Mismatch},
		{"a key that was run", entry(other, HasRun), same, decideReply, Done},
		{"a key that was run, for another request", entry(other, HasRun), changed, decideReply, Mismatch},
		{"a key that this attempt ran", entry(own, HasRun), same, decideReply, Done},
		{"a key that may have been run", entry(other, MayHaveRun), same, decideReply, Unknown},
		{"a key that this attempt may have run", entry(own, MayHaveRun), same, decideReply, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var e Entry
			if tc.entry != nil {
				e = *tc.entry
			}
			d, state := decide(e, tc.entry != nil, ClaimRequest{Attempt: own, Fingerprint: tc.fingerprint})
			is.Equal(d, tc.want)
			is.Equal(state, tc.state)
		})
	}
}

func TestTableEnds(t *testing.T) {
	k := KeyID{1}
	claim := func(a AttemptID) Record { return Record{Kind: KindClaim, Key: k, Attempt: a} }
	end := func(a AttemptID, o Outcome) Record { return Record{Kind: KindEnd, Key: k, Attempt: a, Outcome: o} }
	for _, tc := range []struct {
		name    string
		records []Record
		attempt AttemptID
		phase   Phase
	}{
		{"open", []Record{claim(1)}, 1, Open},
		{"not run", []Record{claim(1), end(1, NotRun)}, 1, Free},
		{"ran", []Record{claim(1), end(1, Ran)}, 1, HasRun},
		{"lost", []Record{claim(1), end(1, PossiblyRun)}, 1, MayHaveRun},
		{"another attempt's end is ignored", []Record{claim(1), end(2, NotRun)}, 1, Open},
		{"a second end is ignored", []Record{claim(1), end(1, Ran), end(1, NotRun)}, 1, HasRun},
		{"not run and claimed again", []Record{claim(1), end(1, NotRun), claim(2)}, 2, Open},
		{"a late end after that is ignored", []Record{claim(1), end(1, NotRun), claim(2), end(1, NotRun)}, 2, Open},
		{"ended before it was claimed", []Record{end(1, NotRun)}, 1, Free},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable()
			for _, r := range tc.records {
				table.Apply(0, r)
			}
			e, ok := table.Lookup(k)
			is.True(ok)
			is.Equal(e.Attempt, tc.attempt)
			is.Equal(e.Phase, tc.phase)
		})
	}
}

func TestTrimKeepsKeysClaimedAgain(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	table.Apply(0, Record{Kind: KindClock, Clock: 10})
	table.Apply(0, Record{Kind: KindClaim, Key: KeyID{1}, Attempt: 1})
	table.Apply(0, Record{Kind: KindClaim, Key: KeyID{2}, Attempt: 2})
	table.Apply(0, Record{Kind: KindEnd, Key: KeyID{1}, Attempt: 1, Outcome: NotRun})
	table.Apply(1, Record{Kind: KindClock, Clock: 20})
	table.Apply(1, Record{Kind: KindClaim, Key: KeyID{1}, Attempt: 3})
	table.Apply(2, Record{Kind: KindClock, Clock: 30})

	_, ok := table.OldestToKeep(2, 10, 4)
	is.True(!ok) // a group whose last transaction is at the given clock is kept
	oldest, ok := table.OldestToKeep(2, 100, 1)
	is.True(ok)
	is.Equal(oldest, uint64(1)) // at most limit groups at a time
	oldest, _ = table.OldestToKeep(2, 100, 4)
	is.Equal(oldest, uint64(2)) // the open group is kept

	table.Trim(1)
	_, ok = table.Lookup(KeyID{2})
	is.True(!ok)
	e, ok := table.Lookup(KeyID{1})
	is.True(ok)
	is.Equal(e.Attempt, AttemptID(3))
}
