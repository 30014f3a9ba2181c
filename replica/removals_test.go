package replica

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// catchUp copies from one copy to another until it is complete.
func catchUp(from, to *copyState) {
	for range 100 {
		if to.revision >= from.revision && to.staged == nil {
			return
		}
		to.applyReply(from.replyTo(to.copyRequest()), start)
	}
}

// Guards against requests to a target that has left: a node that had just started and listed the store
// knew no removal before that, and told a node that was one change behind that nothing had changed.
func TestRemovalIsNotLostBehindANodeThatHasJustStarted(t *testing.T) {
	for name, first := range map[string]func(fresh, informed *copyState){
		"lists the store":         func(fresh, _ *copyState) { fresh.replaceAll(fullCopy([]Entry{target("b", "1", 5)}, 7), start) },
		"copies from another one": func(fresh, informed *copyState) { catchUp(informed, fresh) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			behind, informed, fresh := newState(t), newState(t), newState(t)
			behind.replaceAll(fullCopy([]Entry{target("a", "1", 4), target("b", "1", 5)}, 6), start)
			informed.replaceAll(fullCopy([]Entry{target("b", "1", 5)}, 7), start)
			first(fresh, informed)
			catchUp(fresh, behind)
			is.Equal(behind.revision, int64(7))
			_, has := behind.targets[target("a", "1", 4).Key]
			is.True(!has)
		})
	}
}

// For any order of changes, lists and copies between nodes, a copy that claims a revision has exactly the
// targets of that revision.
func TestCopiesAreThoseOfTheirRevision(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		store := map[string]Entry{}
		history := []map[string]Entry{{}}
		revision := int64(0)
		nodes := []*copyState{newState(t), newState(t), newState(t), newState(t)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1: // the store changes
				revision++
				e := target(rapid.SampledFrom(names).Draw(t, "target"), "1", revision)
				if _, ok := store[e.Key]; ok {
					delete(store, e.Key)
				} else {
					store[e.Key] = e
				}
				now := make(map[string]Entry, len(store))
				for k, v := range store {
					now[k] = v
				}
				history = append(history, now)
			case 2: // the node lists the store
				var all []Entry
				for _, e := range store {
					all = append(all, e)
				}
				n.replaceAll(fullCopy(all, revision), start)
			case 3: // the node copies from another one
				catchUp(nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "from")], n)
			case 4: // the node starts anew
				*n = *newState(t)
			}
		}
		for _, n := range nodes {
			want := history[n.revision]
			if len(n.targets) != len(want) {
				t.Fatalf("revision %d: %d targets, want %d", n.revision, len(n.targets), len(want))
			}
			for key := range want {
				if _, ok := n.targets[key]; !ok {
					t.Fatalf("revision %d lacks %s", n.revision, key)
				}
			}
		}
	})
}
