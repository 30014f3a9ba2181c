package replica

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/store"
)

// at1 and at2 are positions in the first era of these tests and in the next one.
func at1(revision int64) int64 { return store.Position(1, revision) }
func at2(revision int64) int64 { return store.Position(2, revision) }

func addressOf(c *copyState, id string) string {
	for _, t := range c.registry.Pool("s") {
		if t.ID == id && !t.Fallback {
			return t.Addr
		}
	}
	return ""
}

// Guards against an entry that a restored store has from before the run's last write taking that write back.
func TestRestoredEntryOfARunIsTakenBySequence(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "late;7", at1(30)), target("b", "old;3", at1(20))}, at1(30)), start)
	c.replaceAll(fullCopy([]Entry{target("a", "early;5", at2(12)), target("b", "new;4", at2(13))}, at2(13)), start)
	is.Equal(c.revision, at2(13))
	is.Equal(addressOf(c, "t/a"), "late")
	is.Equal(addressOf(c, "t/b"), "new")
	is.Equal(string(c.targets["t/a"].Value), "late;7") // and passed on
	is.True(c.applyChange(target("a", "again;8", at2(14)), start).targets)
	is.Equal(addressOf(c, "t/a"), "again")
}

// Guards against a target that is known to be gone, and comes back by the entry in the copy.
func TestRestoredEntryOfATargetThatIsGoneIsHeld(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "1;5", at1(20)), target("b", "2;5", at1(21)), target("c", "3;5", at1(22))}, at1(30)), start)
	for i, name := range []string{"a", "b", "c"} {
		c.applyChange(removed(Entry{Key: "t/" + name}, at1(31+int64(i))), start)
	}
	later := start.Add(10 * time.Second)
	c.registry.Expire(later)
	c.replaceAll(fullCopy([]Entry{target("a", "1;5", at2(20)), target("b", "2;6", at2(21)), target("c", "3;6", at2(33))}, at2(33)), later)
	is.Equal(addressOf(c, "t/a"), "")
	is.Equal(addressOf(c, "t/b"), "")  // the same write, whose sequence number grew without a change
	is.Equal(addressOf(c, "t/c"), "3") // a later write
	is.True(c.applyChange(target("a", "1;9", at2(34)), later).targets)
	is.Equal(addressOf(c, "t/a"), "1")
	is.Equal(c.releaseHolds(later.Add(holdTime-1)), changes{})
	is.True(c.releaseHolds(later.Add(holdTime)).targets) // the store still has it, so it isn't gone
	is.Equal(addressOf(c, "t/b"), "2")
}

// Guards against what is held after one restore being lost at the next one.
func TestHoldsOutlastASecondRestore(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "1;5", at1(20)), evacuation("x", at1(21))}, at1(30)), start)
	c.applyChange(removed(Entry{Key: "t/a"}, at1(31)), start)
	c.applyChange(removed(Entry{Key: "e/x"}, at1(32)), start)
	c.applyChange(evacuation("y", at1(33)), start)
	c.registry.Expire(start.Add(10 * time.Second))
	for era := int64(2); era < 4; era++ {
		now := start.Add(time.Duration(10+era) * time.Second)
		list := []Entry{target("a", "1;5", store.Position(era, 20)), evacuation("x", store.Position(era, 21))}
		c.replaceAll(fullCopy(list, store.Position(era, 30)), now)
		is.Equal(addressOf(c, "t/a"), "")
		is.Equal(c.evacuatedDomains(), map[string]bool{"y": true})
	}
}

// Guards against evacuations that end, or ended ones that begin again, by what the copy lacks.
func TestEvacuationsAreHeldUntilWrittenAgain(t *testing.T) {
	is := is.New(t)
	restored := func() *copyState {
		c := newState(t)
		c.replaceAll(fullCopy([]Entry{evacuation("ended", at1(5))}, at1(10)), start)
		c.applyChange(removed(Entry{Key: "e/ended"}, at1(11)), start)
		c.applyChange(evacuation("begun", at1(12)), start)
		c.replaceAll(fullCopy([]Entry{evacuation("ended", at2(5))}, at2(10)), start)
		is.Equal(c.evacuatedDomains(), map[string]bool{"begun": true})
		return c
	}
	c := restored()
	c.applyChange(removed(Entry{Key: "e/ended"}, at2(11)), start)
	c.applyChange(evacuation("begun", at2(12)), start)
	is.Equal(c.evacuatedDomains(), map[string]bool{"begun": true})
	is.True(c.applyChange(removed(Entry{Key: "e/begun"}, at2(13)), start).evacuations)
	is.Equal(c.evacuatedDomains(), map[string]bool{})
	is.True(c.applyChange(evacuation("ended", at2(14)), start).evacuations) // evacuated anew
	is.Equal(c.evacuatedDomains(), map[string]bool{"ended": true})

	c = restored()
	is.True(c.applyChange(evacuation("ended", at2(11)), start).evacuations)
	is.True(c.applyChange(removed(Entry{Key: "e/begun"}, at2(12)), start).evacuations)
	is.Equal(c.evacuatedDomains(), map[string]bool{"ended": true})

	c = restored()
	is.True(c.releaseHolds(start.Add(holdTime)).evacuations) // nobody wrote again
	is.Equal(c.evacuatedDomains(), map[string]bool{"ended": true})
}

// Guards against answers of an earlier era that arrive late: a list, events and a copy neither change the copy nor
// confirm it.
func TestLateAnswersOfAnEarlierEraAreIgnored(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(&fakeSource{}, &stubPeers{}, &clock{now: start})
	r.applyList(store.ListResult{Revision: at2(5), KVs: []store.KV{{Key: "t/a", Value: []byte("new"), ModRevision: at2(4)}}})
	r.confirmed = time.Time{}
	r.applyList(store.ListResult{Revision: at1(90), KVs: []store.KV{{Key: "t/a", Value: []byte("old"), ModRevision: at1(80)}}})
	old := store.KV{Key: "t/a", Value: []byte("old"), ModRevision: at1(91)}
	is.NoErr(r.applyBatch(store.WatchBatch{Revision: at1(91), Events: []store.Event{{KV: old}}}))
	r.state.applyReply(fullCopy([]Entry{target("a", "old", at1(92))}, at1(92)), start)
	r.state.applyReply(CopyReply{Entries: []Entry{target("a", "old", at1(92))}, Revision: at1(92)}, start)
	is.Equal(r.revision(), at2(5))
	is.Equal(addressOf(r.state, "t/a"), "new")
	is.True(r.confirmed.IsZero())
}

// Guards against changes of a later era that are applied to a copy of the earlier one: what precedes them is missing.
func TestChangesOfALaterEraNeedAList(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(&fakeSource{}, &stubPeers{}, &clock{now: start})
	r.applyList(store.ListResult{Revision: at1(50), KVs: []store.KV{{Key: "t/a", Value: []byte("old"), ModRevision: at1(40)}}})
	changed := store.KV{Key: "t/a", Value: []byte("new"), ModRevision: at2(60)}
	is.Equal(r.applyBatch(store.WatchBatch{Revision: at2(60), Events: []store.Event{{KV: changed}}}), store.ErrRestored)
	r.state.applyReply(CopyReply{Entries: []Entry{config(7, at2(55)), target("a", "new", at2(60))}, Revision: at2(60)}, start)
	is.Equal(r.revision(), at1(50))
	is.Equal(addressOf(r.state, "t/a"), "old")
	is.Equal(r.state.catalog.Version(), int64(7)) // a configuration needs nothing before it
}

// Guards against an audit that takes a restored store, whose revision is lower, for one that confirms the copy.
func TestAuditNoticesARestoredStore(t *testing.T) {
	is, s := is.New(t), &fakeSource{revision: at1(70)}
	r, _, c := fakeReplica(s)
	s.revision = at2(12)
	c.advance(3 * time.Second)
	is.True(runAuditIfDue(r))
	is.Equal(r.confirmed, start)
	is.True(r.consumeStale()) // listed at once: no other node can have the change
	is.NoErr(r.listStore(context.Background()))
	is.Equal(r.revision(), at2(12))
	confirmed := r.confirmed
	s.revision = at1(70) // answered late
	c.advance(3 * time.Second)
	is.True(runAuditIfDue(r))
	is.Equal(r.confirmed, confirmed)
	is.Equal(r.revision(), at2(12))
}

// Guards against a list of pages of two eras, and a store that always refuses the watch, being asked again without
// a pause.
func TestRepeatedListsPause(t *testing.T) {
	is, rng := is.New(t), rand.New(rand.NewPCG(1, 1))
	is.Equal(relistPause(1, rng), time.Duration(0))
	sum := time.Duration(0)
	for n := 2; n < 40; n++ {
		sum += relistPause(n, rng)
	}
	is.True(sum > 10*time.Second)
}

// Guards against a node of the release before eras that gets only a part of what it lacks, and against its numbers
// being taken for newer ones.
func TestCopiesWithReleasesThatKnowNoEras(t *testing.T) {
	is, c := is.New(t), newState(t)
	list := []Entry{config(4, at1(3)), target("a", "1", at1(10)), target("b", "2", at1(20))}
	c.replaceAll(fullCopy(list, at1(20)), start)
	c.applyChange(removed(Entry{Key: "t/a"}, at1(21)), start)
	c.advance(at1(21))
	old := CopyRequest{CatalogRevision: 3, Revision: 20, Parts: true}
	got := c.replyTo(old.fromWire()).onWire()
	is.Equal(got.Revision, int64(21))
	is.True(!got.Whole)
	is.Equal(got.Entries, []Entry{removed(Entry{Key: "t/a"}, 21)})

	is.Equal(c.applyReply(CopyReply{Entries: []Entry{target("a", "old", 99)}, Revision: 99}.fromWire(), start), changes{})
	is.Equal(c.revision, at1(21))
	is.True(c.applyReply(CopyReply{Entries: []Entry{config(5, 90)}, Revision: 99}.fromWire(), start).catalog)

	c.replaceAll(fullCopy([]Entry{target("b", "2", at2(20))}, at2(20)), start)
	is.True(c.replyTo(old.fromWire()).Whole)
	empty := newState(t)
	is.True(empty.applyReply(CopyReply{Entries: []Entry{target("a", "old", 99)}, Revision: 99}.fromWire(), start).targets)
	empty.replaceAll(fullCopy([]Entry{target("b", "2", at2(20))}, at2(120)), start) // the first era that it learns of
	is.Equal(empty.revision, at2(120))
	is.True(!empty.returned)
}

// Guards against a known leaving that is taken back by the first answers with an era, those of a store that has
// been restored.
func TestFirstEraThatIsStatedMayFollowARestore(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "late;7", 30)}, 30), start)
	c.replaceAll(fullCopy([]Entry{target("a", "early;5", at2(12))}, at2(40)), start)
	is.Equal(addressOf(c, "t/a"), "late")
	is.True(!c.returned) // an upgraded platform
	c = newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "late;7", 30)}, 30), start)
	c.replaceAll(fullCopy([]Entry{target("a", "early;5", at2(12))}, at2(20)), start)
	is.Equal(addressOf(c, "t/a"), "late")
	is.True(c.returned)
}

// Guards against a newer configuration that doesn't reach a node whose copy is at a later position.
func TestConfigurationsAreCopiedByVersion(t *testing.T) {
	is, ahead, behind := is.New(t), newState(t), newState(t)
	ahead.replaceAll(fullCopy([]Entry{config(9, at1(60))}, at1(60)), start)
	ahead.replaceAll(fullCopy([]Entry{config(4, at2(3))}, at2(10)), start)
	behind.replaceAll(fullCopy([]Entry{config(4, at2(3))}, at2(12)), start)
	got := ahead.replyTo(behind.copyRequest().onWire().fromWire()).onWire().fromWire()
	is.True(behind.applyReply(got, start).catalog)
	is.Equal(behind.catalog.Version(), int64(9))
	is.Equal(behind.catalogEntry.Revision, at1(60))
	is.Equal(behind.revision, at2(12))
}

// modelPartEntries is the number of entries in a part.
const modelPartEntries = 3

// modelStore is a store that can be restored. It is what copies are compared with.
type modelStore struct {
	era, revision int64
	entries       map[string]Entry
	events        []Entry
	sequences     map[string]int
	version       int64
}

func (s *modelStore) position() int64 { return store.Position(s.era, s.revision) }

func (s *modelStore) write(e Entry) {
	s.revision++
	e.Revision = s.position()
	if e.Removed {
		delete(s.entries, e.Key)
	} else {
		s.entries[e.Key] = e
	}
	s.events = append(s.events, e)
}

func (s *modelStore) putTarget(name string) {
	s.sequences[name]++
	s.write(target(name, fmt.Sprintf("%s-%d;%d", name, s.sequences[name], s.sequences[name]), 0))
}

func (s *modelStore) list() CopyReply {
	return fullCopy(slices.Collect(maps.Values(s.entries)), s.position())
}

func (s *modelStore) clone() modelStore {
	out := *s
	out.entries, out.events = maps.Clone(s.entries), slices.Clone(s.events)
	return out
}

// restore makes the store come back from a copy.
func (s *modelStore) restore(c modelStore) {
	era := s.era + 1
	s.revision, s.entries, s.events, s.era = c.revision, make(map[string]Entry), nil, era
	for key, e := range c.entries {
		e.Revision = store.Position(era, store.RevisionOf(e.Revision))
		s.entries[key] = e
	}
}

// watch applies the events after the copy's position, as far as the store has them.
func (s *modelStore) watch(c *copyState, now time.Time) {
	if store.EraOf(c.revision) != s.era || c.incomplete {
		return
	}
	for _, e := range s.events {
		if e.Revision == c.revision+1 {
			c.applyChange(e, now)
			c.advance(e.Revision)
		}
	}
}

// Whatever order of writes, restores, lists, watches, copies between nodes and restarts a fleet sees, a copy at
// the store's position has the store's keys, no configuration is ever replaced by an older one, and in the end all
// copies agree with the store.
func TestCopiesConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		s := &modelStore{era: 1, entries: make(map[string]Entry), sequences: make(map[string]int)}
		for _, name := range []string{"0", "1", "2"} {
			s.putTarget(name)
		}
		older := []modelStore{s.clone()}
		nodes := []*copyState{newState(t), newState(t), newState(t)}
		versions := make([]int64, len(nodes))
		copyOver := func(to, from *copyState) {
			req := to.copyRequest()
			if from.incomplete || from.revision <= req.Revision && !from.hasNewerCatalog(req) {
				return
			}
			reply := from.replyWithLimit(req.onWire().fromWire(), modelPartEntries)
			to.applyReply(reply.onWire().fromWire(), now)
		}
		step := func() {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "target"))
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0, 1:
				s.putTarget(name)
			case 2:
				s.write(removed(Entry{Key: "t/" + name}, 0))
			case 3:
				s.version++
				s.write(config(s.version, 0))
			case 4:
				s.write(Entry{Key: "e/" + name, Value: []byte("{}"), Removed: rapid.Bool().Draw(t, "ends")})
			case 5:
				older = append(older, s.clone())
			case 6:
				s.restore(older[rapid.IntRange(0, len(older)-1).Draw(t, "copy")])
			case 7:
				nodes[i].replaceAll(s.list(), now)
			case 8:
				s.watch(nodes[i], now)
			case 9:
				copyOver(nodes[i], nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "from")])
			case 10:
				nodes[i], versions[i] = newState(t), 0
			}
			for _, c := range nodes {
				c.registry.Expire(now)
				c.releaseHolds(now)
			}
			check(t, s, nodes, versions)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step()
		}
		// The operator and the targets write again.
		for name := range s.sequences {
			if _, ok := s.entries["t/"+name]; ok {
				s.putTarget(name)
			}
		}
		s.version++
		s.write(config(s.version, 0))
		nodes[0].replaceAll(s.list(), now)
		for range 20 {
			copyOver(nodes[1], nodes[0])
			copyOver(nodes[2], nodes[1])
		}
		now = now.Add(2 * holdTime)
		want := newState(t)
		want.replaceAll(s.list(), now)
		for i, c := range nodes {
			c.releaseHolds(now)
			c.registry.Expire(now)
			if c.revision != s.position() || c.incomplete || c.catalog.Version() != s.version {
				t.Fatalf("node %d at %d, incomplete %v; the store at %d", i, c.revision, c.incomplete, s.position())
			}
			if fmt.Sprint(targetsOf(c)) != fmt.Sprint(targetsOf(want)) || fmt.Sprint(c.evacuatedDomains()) != fmt.Sprint(want.evacuatedDomains()) {
				t.Fatalf("node %d: %v %v\nstore: %v %v", i, targetsOf(c), c.evacuatedDomains(), targetsOf(want), want.evacuatedDomains())
			}
		}
	})
}

// check checks what holds at any time.
func check(t *rapid.T, s *modelStore, nodes []*copyState, versions []int64) {
	for i, c := range nodes {
		if c.catalog != nil {
			if c.catalog.Version() < versions[i] {
				t.Fatalf("node %d: configuration %d after %d", i, c.catalog.Version(), versions[i])
			}
			versions[i] = c.catalog.Version()
		}
		if c.incomplete || c.revision != s.position() {
			continue
		}
		for key := range s.entries {
			if c.isTarget(key) && c.targets[key].Key == "" {
				t.Fatalf("node %d lacks %s at the store's position", i, key)
			}
		}
		for key := range c.targets {
			if _, ok := s.entries[key]; !ok {
				t.Fatalf("node %d has %s at the store's position, which the store hasn't", i, key)
			}
		}
	}
}

// Guards against a second list of the restored store, before the targets have written again, taking back what the
// node knew better than the first one.
func TestSecondListAfterARestoreTakesNothingBack(t *testing.T) {
	is, c := is.New(t), newState(t)
	c.replaceAll(fullCopy([]Entry{target("a", "late;7", at1(30)), target("b", "1;5", at1(20))}, at1(30)), start)
	c.applyChange(removed(Entry{Key: "t/b"}, at1(31)), start)
	later := start.Add(10 * time.Second)
	c.registry.Expire(later)
	list := []Entry{target("a", "early;5", at2(12)), target("b", "1;5", at2(13))}
	c.replaceAll(fullCopy(list, at2(13)), later)
	c.replaceAll(fullCopy(list, at2(14)), later.Add(time.Second))
	is.Equal(addressOf(c, "t/a"), "late")
	is.Equal(addressOf(c, "t/b"), "")
	is.True(c.applyChange(target("a", "again;8", at2(15)), later).targets)
	is.Equal(addressOf(c, "t/a"), "again")
}
