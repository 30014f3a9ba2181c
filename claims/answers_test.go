package claims

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// room is the memory of an answer of 100 bytes.
const room = entryOverhead + 100

func ignore(string) {}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	evicted := 0
	a := newAnswers(AnswerLimits{EntryBytes: 100, TotalBytes: 3 * room}, time.Minute, func(string) { evicted++ })
	body := make([]byte, 100)
	for i := range 5 {
		is.Equal(a.put(0, core.KeyID{byte(i)}, testBody, &Answer{Body: body}), intakeKept)
	}
	is.Equal(a.put(0, core.KeyID{9}, testBody, &Answer{Body: make([]byte, 101)}), intakeTooLarge)
	is.Equal(a.put(0, core.KeyID{9}, testBody, nil), intakeTooLarge)
	is.Equal(a.put(0, core.KeyID{4}, testBody, &Answer{}), intakeDuplicate)
	is.Equal(len(a.held), 3)
	is.Equal(a.own.bytes, 3*room)
	is.Equal(evicted, 2)
	is.True(a.get(0, core.KeyID{1}, testBody) == nil)
	is.True(a.get(0, core.KeyID{4}, testBody) != nil)
	is.True(a.get(0, core.KeyID{4}, Fingerprint{2}) == nil)
	is.True(a.get(time.Minute, core.KeyID{4}, testBody) == nil) // its time is over
	is.Equal(len(a.all(time.Minute)), 0)
	is.Equal(a.own.bytes, 0)
}

func TestIntake(t *testing.T) {
	minute := time.Minute.Milliseconds()
	for name, tc := range map[string]struct {
		handed handedAnswer
		want   intake
	}{
		"kept":                   {handedAnswer{Key: core.KeyID{1}, Answer: &Answer{}, KeepMillis: minute}, intakeKept},
		"known":                  {handedAnswer{Key: core.KeyID{7}, Answer: &Answer{}, KeepMillis: minute}, intakeDuplicate},
		"its time is over":       {handedAnswer{Key: core.KeyID{1}, Answer: &Answer{}}, intakeExpired},
		"a time that is no time": {handedAnswer{Key: core.KeyID{1}, Answer: &Answer{}, KeepMillis: 1<<63 - 1}, intakeExpired},
		"no answer":              {handedAnswer{Key: core.KeyID{1}, KeepMillis: minute}, intakeTooLarge},
		"too large":              {handedAnswer{Key: core.KeyID{1}, Answer: &Answer{Body: make([]byte, 101)}, KeepMillis: minute}, intakeTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newAnswers(AnswerLimits{EntryBytes: 100, TotalBytes: 9 * room, InheritedBytes: 9 * room}, time.Hour, ignore)
			a.put(0, core.KeyID{7}, testBody, &Answer{})
			became, ok := a.inherit(0, []handedAnswer{tc.handed})
			is.True(ok)
			is.Equal(became, []intake{tc.want})
			a.close()
			_, ok = a.inherit(0, []handedAnswer{tc.handed})
			is.True(!ok)
		})
	}
}

// TestAnswersShareTheRoom checks the bounds, that inherited answers leave the
// node's own their share, and that answers whose time is over are not given.
func TestAnswersShareTheRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		const total, inherited, keep = 8, 3, 100
		a := newAnswers(AnswerLimits{EntryBytes: 100, TotalBytes: total * room, InheritedBytes: inherited * room}, keep*time.Millisecond, ignore)
		now, own := core.Instant(0), 0
		for i := range byte(rapid.IntRange(0, 60).Draw(rt, "answers")) {
			now += time.Duration(rapid.IntRange(0, 3).Draw(rt, "ms")) * time.Millisecond
			ans := &Answer{Body: make([]byte, 100)}
			if rapid.Bool().Draw(rt, "own") {
				a.put(now, core.KeyID{i}, testBody, ans)
				own++
			} else {
				left := rapid.Int64Range(-1, 2*keep).Draw(rt, "left")
				a.inherit(now, []handedAnswer{{core.KeyID{i}, testBody, ans, left}})
			}
			is.True(a.inherited.bytes <= inherited*room)
			is.True(a.own.bytes+a.inherited.bytes <= total*room)
			is.Equal(len(a.own.items)+len(a.inherited.items), len(a.held))
			if now < keep*time.Millisecond { // none of its own is over
				is.True(len(a.own.items) >= min(own, total-inherited))
			}
			for k, h := range a.held {
				is.Equal(a.get(now, k, testBody) != nil, h.until > now)
				is.True(h.until <= now+keep*time.Millisecond)
			}
		}
	})
}
