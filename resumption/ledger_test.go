package resumption

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// settled returns the ledger of a node that knows the past: one target at v1.
func settled(t *testing.T) *Ledger {
	t.Helper()
	l := NewLedger(start)
	l.PutTarget("i-1", "s", "v1", start)
	l.ReadNoNote()
	l.CompletePast(start)
	if sharing, _ := l.Update(start, start); sharing {
		t.Fatal("shares records of a service with one version")
	}
	return l
}

// Guards against a version being forgotten while streams that it began may be taken up.
func TestVersionThatIsGoneCounts(t *testing.T) {
	is, l := is.New(t), settled(t)
	l.PutTarget("i-2", "s", "v1.1", start)
	l.RemoveTarget("i-1", start)
	is.Equal(l.Decide(1, "s", true, start.Add(NewTime)).Source, Unknown)
	is.Equal(l.Decide(1, "s", true, start.Add(Retention)).Source, Unknown)
	is.Equal(l.Decide(1, "s", true, start.Add(Retention+1)), Decision{Origin: "v1.1", Source: FromPast})
}

// Guards against a target that restarts under its ID with other software hiding the version it had.
func TestVersionThatATargetHadCounts(t *testing.T) {
	is, l := is.New(t), settled(t)
	l.PutTarget("i-1", "s", "v1.1", start)
	is.Equal(l.Decide(1, "s", true, start.Add(NewTime)).Source, Unknown)
	is.Equal(l.Decide(1, "other", true, start).Source, Unknown)
}

// Guards against streams being refused whose node ended just before a second version appeared, and had told
// no other node of them.
func TestVersionThatHasJustAppearedBeganNoStream(t *testing.T) {
	is, l := is.New(t), settled(t)
	l.PutTarget("i-2", "s", "v1.1", start)
	is.Equal(l.Decide(1, "s", true, start.Add(NewTime-1)), Decision{Origin: "v1", Source: FromPast})
	is.Equal(l.Decide(1, "s", true, start.Add(NewTime)).Source, Unknown)

	// After a gap, or by another node's word, it isn't known when the version appeared.
	gap := settled(t)
	gap.PutTarget("i-2", "s", "v1.1", start)
	gap.Update(start, start.Add(MaxViewAge+1))
	gap.CompletePast(start.Add(MaxViewAge + 1))
	is.Equal(gap.Decide(1, "s", true, start.Add(MaxViewAge+1)).Source, Unknown)
	told := settled(t)
	told.PutTarget("i-2", "s", "v1.1", start)
	is.NoErr(told.Adopt(l.Snapshot(start), start))
	is.Equal(told.Decide(1, "s", true, start).Source, Unknown)
}

// Guards against a node that missed changes of the targets concluding that there were none.
func TestGapInTheViewEndsThePast(t *testing.T) {
	for name, confirm := range map[string]func(l *Ledger){
		"seen":     func(l *Ledger) { l.Update(start, start.Add(MaxViewAge+1)) },
		"not seen": func(*Ledger) {},
		"never":    func(l *Ledger) { l.Update(time.Time{}, start.Add(time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			is, l := is.New(t), settled(t)
			confirm(l)
			now := start.Add(MaxViewAge + 2)
			sharing, changed := l.Update(now, now)
			is.True(sharing && (changed || name != "not seen"))
			is.Equal(l.Decide(1, "s", true, now).Source, Unknown)
			note, err := l.Note(now)
			is.NoErr(err)
			is.Equal(note, nil)
		})
	}
}

// Guards against a service with one version costing messages, and against streams that began before a second
// version appeared being unknown to the other nodes.
func TestRecordsAreSharedWhileThereAreSeveralVersions(t *testing.T) {
	is, l := is.New(t), settled(t)
	is.True(!l.Begin(7, "v1", start))
	is.Equal(l.Pending(time.Second, start), nil)
	l.PutTarget("i-2", "s", "v1.1", start)
	sharing, changed := l.Update(start, start)
	is.True(sharing && changed)
	is.True(l.Begin(8, "v1.1", start))
	is.True(!l.Begin(8, "v1.1", start))
	other := NewLedger(start)
	n, err := other.Receive(l.Pending(time.Second, start), start)
	is.NoErr(err)
	is.Equal(n, 2)
	is.Equal(other.Decide(7, "s", false, start), Decision{Origin: "v1", Source: FromRecord})
	is.Equal(other.Decide(8, "s", false, start), Decision{Origin: "v1.1", Source: FromRecord})
	is.Equal(l.Pending(time.Second, start.Add(time.Second+1)), nil)
}

// Guards against the record of a stream in progress being forgotten.
func TestRecordIsKeptWhileTheStreamIsInProgress(t *testing.T) {
	is, l := is.New(t), settled(t)
	now := start
	for range 10 {
		l.Begin(7, "v1", now)
		now = now.Add(RefreshInterval)
	}
	is.Equal(l.records.get(7, now).Origin, Origin("v1"))
	is.Equal(l.records.get(7, now.Add(Retention)).Origin, Origin(""))
}

// Guards against an ID that a caller uses twice naming the version of the wrong stream.
func TestIDUsedTwiceNamesNoVersion(t *testing.T) {
	is, l := is.New(t), settled(t)
	l.Begin(7, "v1", start)
	l.Begin(7, "v1.1", start)
	is.Equal(l.Decide(7, "s", true, start).Source, Conflicting)
}

// Guards against records without bound.
func TestRecordsAreBounded(t *testing.T) {
	is, l := is.New(t), settled(t)
	for i := range 2 * maxRecords {
		l.Begin(Key(i), Origin(fmt.Sprint("v", i%1000)), start.Add(time.Duration(i)))
	}
	is.True(l.Records() <= maxRecords)
	is.Equal(l.records.get(Key(2*maxRecords-1), start).Origin, Origin(fmt.Sprint("v", (2*maxRecords-1)%1000)))
	is.True(len(l.records.names) <= maxNames)
	l.records.expire(start.Add(2 * Retention))
	is.Equal(l.Records(), 0)
	is.Equal(len(l.records.order), 0)
}

// Guards against a caller naming the stream of another workspace or route.
func TestKeysDifferByWorkspaceAndRoute(t *testing.T) {
	is := is.New(t)
	seen := make(map[Key]bool)
	for _, k := range []Key{KeyOf("a", "b", "c"), KeyOf("ab", "", "c"), KeyOf("", "ab", "c"), KeyOf("a", "bc", ""), KeyOf("b", "a", "c")} {
		is.True(!seen[k])
		seen[k] = true
	}
}

// Guards against a node that starts while no other one is left knowing less of the past than the note says.
func TestNoteBringsBackThePast(t *testing.T) {
	is, l := is.New(t), settled(t)
	l.PutTarget("i-2", "s", "v1.1", start)
	l.RemoveTarget("i-2", start)
	raw, err := l.Note(start)
	is.NoErr(err)
	next := NewLedger(start)
	next.PutTarget("i-1", "s", "v1", start)
	is.NoErr(next.ReadNote(raw, start))
	is.Equal(next.Decide(1, "s", true, start).Source, Unknown) // not yet complete
	next.CompletePast(start)
	is.Equal(next.Decide(1, "s", true, start).Source, Unknown) // two versions
	is.Equal(next.Decide(1, "s", true, start.Add(Retention+1)).Origin, Origin("v1"))
	same, err := next.Note(start)
	is.NoErr(err)
	is.Equal(same, raw)
	is.True(next.ReadNote([]byte("\xff"), start) != nil)
}

// Guards against a node that starts beside others knowing less than they do.
func TestSnapshotBringsBackAll(t *testing.T) {
	is, l := is.New(t), settled(t)
	l.PutTarget("i-2", "s", "v1.1", start)
	l.RemoveTarget("i-1", start)
	l.Begin(7, "v1", start)
	next := NewLedger(start.Add(time.Second))
	now := start.Add(time.Second)
	is.NoErr(next.Adopt(l.Snapshot(now), now))
	is.Equal(next.Decide(7, "s", true, now).Origin, Origin("v1"))
	is.Equal(next.Decide(8, "s", true, now).Source, Unknown)
	is.Equal(next.Decide(8, "s", true, start.Add(Retention)).Source, Unknown)
	is.Equal(next.Decide(8, "s", true, start.Add(Retention+1)).Origin, Origin("v1.1"))
	is.True(next.Adopt(Snapshot{Origins: []SeenVersion{{Service: "s"}}}, now) != nil)
	is.True(next.Adopt(Snapshot{Records: []byte{9}}, now) != nil)
}

// Guards against messages that no node sends being taken for records, or ending a node.
func FuzzUnpack(f *testing.F) {
	f.Add(pack([]Entry{{1, "v1"}, {2, "v1.1"}, {3, "v1"}}))
	f.Add([]byte{})
	f.Add([]byte{1, 2, 'v', '1', 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		entries, err := unpack(raw)
		if err != nil {
			return
		}
		again, err := unpack(pack(entries))
		if err != nil || len(again) != len(entries) {
			t.Fatalf("%d entries, then %d: %v", len(entries), len(again), err)
		}
		for _, e := range entries {
			if e.Origin == "" || len(e.Origin) > maxOrigin {
				t.Fatalf("origin %q", string(e.Origin))
			}
		}
	})
}

// Guards against a note that another program wrote ending a node.
func FuzzReadNote(f *testing.F) {
	l := NewLedger(start)
	l.PutTarget("i-1", "s", "v1", start)
	l.CompletePast(start)
	if raw, err := l.Note(start); err == nil {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		l := NewLedger(start)
		if l.ReadNote(raw, start) != nil {
			return
		}
		l.CompletePast(start)
		if _, err := l.Note(start); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against streams avoiding the versions that were there before the first node.
func TestVersionsOfANewSiteAreSettled(t *testing.T) {
	is := is.New(t)
	l := NewLedger(start)
	l.Update(time.Time{}, start)
	l.ReadNoNote()
	l.PutTarget("i-1", "s", "v1", start) // the first list follows its notes
	is.Equal(len(l.Settling("s", start)), 0)
	l.Update(start, start)
	l.PutTarget("i-2", "s", "v1.1", start)
	is.Equal(l.Settling("s", start), []Origin{"v1.1"})
	is.Equal(len(l.Settling("s", start.Add(SettleTime))), 0)
}
