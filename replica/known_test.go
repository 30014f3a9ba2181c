package replica

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restoredCopies returns the copy of a node that saw the store come back from an older copy, and of one that started
// afterwards and listed the store. The first knows that target a leaves, that b is gone, that domain x is evacuated
// and that y no longer is.
func restoredCopies(t *testing.T) (old, started *copyState) {
	t.Helper()
	old, started = newState(t), newState(t)
	before := []Entry{target("a", "ready;5", at1(20)), target("b", "1;5", at1(21)), target("c", "1;1", at1(22)), evacuation("y", at1(23))}
	old.replaceAll(fullCopy(before, at1(30)), start)
	old.applyChange(target("a", "leaving;6", at1(31)), start)
	old.applyChange(removed(Entry{Key: "t/b"}, at1(32)), start)
	old.applyChange(evacuation("x", at1(33)), start)
	old.applyChange(removed(Entry{Key: "e/y"}, at1(34)), start)
	later := start.Add(10 * time.Second)
	old.registry.Expire(later)
	restored := []Entry{target("a", "ready;5", at2(20)), target("b", "1;5", at2(21)), target("c", "1;1", at2(22)), evacuation("y", at2(23))}
	old.replaceAll(fullCopy(restored, at2(30)), later)
	started.replaceAll(fullCopy(restored, at2(30)), later)
	return old, started
}

// Guards against a node that starts after a restore sending requests to targets that the others know to leave or to be
// gone, or to a domain that they know to be evacuated.
func TestStartedNodeLearnsWhatOthersKnowBetterThanARestoredStore(t *testing.T) {
	is := is.New(t)
	old, started := restoredCopies(t)
	now := start.Add(11 * time.Second)
	is.Equal(addressOf(started, "t/a"), "ready")
	started.registry.MarkOutage(now) // its first calls failed
	ch := started.applyKnown(overWire(t, old.replyKnown(now).onWire()).fromWire(), now)
	is.True(ch.targets && ch.evacuations)
	is.Equal(addressOf(started, "t/a"), "leaving")
	is.Equal(addressOf(started, "t/b"), "")
	is.Equal(addressOf(started, "t/c"), "1")
	is.Equal(started.evacuatedDomains(), map[string]bool{"x": true})

	// It passes that on, holds it no longer than the other does, and believes what is written again.
	is.Equal(len(started.replyKnown(now).Known.Gone), 1)
	is.Equal(len(started.replyKnown(now).Entries), 1)
	is.True(started.applyChange(target("a", "again;7", at2(31)), now).targets)
	is.Equal(addressOf(started, "t/a"), "again")
	is.Equal(len(started.replyKnown(now).Entries), 0)
	end := start.Add(10 * time.Second).Add(holdTime)
	is.Equal(started.releaseHolds(end.Add(-time.Millisecond)), changes{})
	is.True(started.releaseHolds(end).evacuations)
	is.Equal(addressOf(started, "t/b"), "1")
}

// Guards against an answer that was overtaken taking back what was written since, or one of another era being believed.
func TestOvertakenAnswerTakesNothingBack(t *testing.T) {
	is := is.New(t)
	old, started := restoredCopies(t)
	now := start.Add(11 * time.Second)
	answer := old.replyKnown(now)
	started.applyChange(target("a", "again;7", at2(31)), now)
	started.applyChange(target("b", "again;8", at2(32)), now)
	started.applyChange(removed(Entry{Key: "e/y"}, at2(33)), now)
	started.applyChange(evacuation("y", at2(34)), now)
	started.applyKnown(overWire(t, answer.onWire()).fromWire(), now)
	is.Equal(addressOf(started, "t/a"), "again")
	is.Equal(addressOf(started, "t/b"), "again")
	is.Equal(started.evacuatedDomains(), map[string]bool{"x": true, "y": true})

	_, started = restoredCopies(t)
	answer.Revision = at1(40)
	is.Equal(started.applyKnown(answer, now), changes{})
	is.Equal(addressOf(started, "t/a"), "ready")
}

// Guards against a node that ends since it writes an answer while the copy changes.
func TestAnswerIsNotChangedByLaterChanges(t *testing.T) {
	is := is.New(t)
	old, _ := restoredCopies(t)
	answer := old.replyKnown(start.Add(11 * time.Second))
	old.applyChange(evacuation("x", at2(31)), start.Add(11*time.Second))
	is.Equal(answer.Known.Evacuations, map[string]bool{"e/x": true, "e/y": false})
}

// Guards against a panic or a hold without end by an answer of another node that isn't well-formed.
func FuzzKnown(f *testing.F) {
	f.Add([]byte(`{"revision":40,"era":2,"known":{"remaining_ms":4000,"gone":[{"key":"t/b","revision":21,"sequence":5}],"evacuations":{"e/x":true}}}`))
	f.Add([]byte(`{"revision":40,"era":2,"entries":[{"key":"t/a","value":"bGVhdmluZzs2","revision":20}],"known":{"remaining_ms":-1,"gone":[{"key":"e/x"}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var got CopyReply
		if json.Unmarshal(raw, &got) != nil {
			return
		}
		_, c := restoredCopies(t)
		now := start.Add(11 * time.Second)
		c.applyKnown(got.fromWire(), now)
		c.releaseHolds(now.Add(holdTime))
		if !c.holds.isEmpty() {
			t.Fatal("something is held for longer than holdTime")
		}
		c.replyKnown(now)
	})
}
