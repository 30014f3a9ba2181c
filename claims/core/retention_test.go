package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/store/memory"
)

// TestClaimsAreKeptForTheRetention guards against running a request a second time within
// the retention because its claim was deleted too early. For random sequences of owners,
// pauses and failed calls to the store, the log holds a claim for at least the retention,
// in real time, after its grant. Grants later than GrantAge after the ClaimRequest don't count,
// since they are not used.
func TestClaimsAreKeptForTheRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now Instant
		cfg := smallConfig()
		cfg.Retention, cfg.GrantAge = 5*time.Second, time.Second
		net := &network{store: memory.New(func() time.Time { return time.Time{} })}
		owners := make([]*runner, testOwners)
		for i := range owners {
			owners[i] = &runner{Shard: NewShard(0, cfg, func(Holder) bool { return true }), net: net}
		}
		asked := make(map[AttemptID]Instant)
		granted := make(map[AttemptID]Instant)
		next := AttemptID(0)
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			r := owners[rapid.IntRange(0, testOwners-1).Draw(t, "owner")]
			if rapid.Bool().Draw(t, "ask") {
				next++
				asked[next] = now
				r.Ask(now, Ref(next), ClaimRequest{Key: keyOf(next), Attempt: next}, Forever)
			}
			f := noFault
			if rapid.IntRange(0, 9).Draw(t, "luck") == 0 {
				f = fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
			}
			r.advance(now, f)
			for _, a := range r.Replies() {
				id := AttemptID(a.Ref)
				if a.Reply.Status == Decided && a.Reply.State == Granted && now-asked[id] < cfg.GrantAge {
					granted[id] = now
				}
			}
			checkKept(t, owners, granted, now, cfg.Retention)
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
		}
	})
}

func keyOf(a AttemptID) KeyID { return KeyID{0: 1, 14: byte(a >> 8), 15: byte(a)} }

// checkKept reads the log with a new owner and fails the test if a claim that was granted
// within the retention is missing.
func checkKept(t *rapid.T, owners []*runner, granted map[AttemptID]Instant, now, retention Instant) {
	reader := &runner{Shard: NewShard(0, smallConfig(), func(Holder) bool { return true }), net: owners[0].net}
	reader.Ask(now, 0, ClaimRequest{Key: KeyID{0xff}}, Forever)
	reader.advance(now, noFault)
	reader.advance(now, noFault)
	for a, at := range granted {
		if _, ok := reader.table.Lookup(keyOf(a)); !ok && now-at < retention {
			t.Fatalf("claim %d is missing from the log %v after it was granted", a, now-at)
		}
	}
}
