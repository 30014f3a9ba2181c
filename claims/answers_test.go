package claims

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// testAnswerSize is the memory that an answer with a body of 100 bytes takes.
const testAnswerSize = entryOverhead + 100

func ignoreEviction(string) {}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	evicted := 0
	a := newAnswers(AnswerLimits{EntryBytes: 100, TotalBytes: 3 * testAnswerSize}, time.Minute, func(string) { evicted++ })
	body := make([]byte, 100)
	for i := range 5 {
		is.Equal(a.put(0, core.KeyID{byte(i)}, testFingerprint, &Answer{Body: body}), putKept)
	}
	is.Equal(a.put(0, core.KeyID{9}, testFingerprint, &Answer{Body: make([]byte, 101)}), putTooLarge)
	is.Equal(a.put(0, core.KeyID{9}, testFingerprint, nil), putTooLarge)
	is.Equal(a.put(0, core.KeyID{4}, testFingerprint, &Answer{}), putDuplicate)
	is.Equal(len(a.byKey), 3)
	is.Equal(a.own.bytes, 3*testAnswerSize)
	is.Equal(evicted, 2)
	is.True(a.get(0, core.KeyID{1}, testFingerprint) == nil)
	is.True(a.get(0, core.KeyID{4}, testFingerprint) != nil)
	is.True(a.get(0, core.KeyID{4}, Fingerprint{2}) == nil)
	is.True(a.get(time.Minute, core.KeyID{4}, testFingerprint) == nil) // it has expired
	is.Equal(len(a.all(time.Minute)), 0)
	is.Equal(a.own.bytes, 0)
}

func TestInheritResults(t *testing.T) {
	minute := time.Minute.Milliseconds()
	for name, tc := range map[string]struct {
		handed handedOverAnswer
		want   putResult
	}{
		"kept":                 {handedOverAnswer{Key: core.KeyID{1}, Answer: &Answer{}, KeepMillis: minute}, putKept},
		"duplicate":            {handedOverAnswer{Key: core.KeyID{7}, Answer: &Answer{}, KeepMillis: minute}, putDuplicate},
		"expired":              {handedOverAnswer{Key: core.KeyID{1}, Answer: &Answer{}}, putExpired},
		"the expiry overflows": {handedOverAnswer{Key: core.KeyID{1}, Answer: &Answer{}, KeepMillis: 1<<63 - 1}, putExpired},
		"no answer":            {handedOverAnswer{Key: core.KeyID{1}, KeepMillis: minute}, putTooLarge},
		"too large":            {handedOverAnswer{Key: core.KeyID{1}, Answer: &Answer{Body: make([]byte, 101)}, KeepMillis: minute}, putTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := newAnswers(AnswerLimits{EntryBytes: 100, TotalBytes: 9 * testAnswerSize, InheritedBytes: 9 * testAnswerSize}, time.Hour, ignoreEviction)
			a.put(0, core.KeyID{7}, testFingerprint, &Answer{})
			results, ok := a.inherit(0, []handedOverAnswer{tc.handed})
			is.True(ok)
			is.Equal(results, []putResult{tc.want})
			a.close()
			_, ok = a.inherit(0, []handedOverAnswer{tc.handed})
			is.True(!ok)
		})
	}
}

// TestInheritedAnswersLeaveSpaceForOwn checks the size limits with random answers. It
// guards against inherited answers evicting the node's own from the space reserved for
// them, and against returning expired answers.
func TestInheritedAnswersLeaveSpaceForOwn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		const total, inherited, keep = 8, 3, 100
		a := newAnswers(AnswerLimits{EntryBytes: 100, TotalBytes: total * testAnswerSize, InheritedBytes: inherited * testAnswerSize}, keep*time.Millisecond, ignoreEviction)
		now, own := core.Instant(0), 0
		for i := range byte(rapid.IntRange(0, 60).Draw(rt, "answers")) {
			now += time.Duration(rapid.IntRange(0, 3).Draw(rt, "ms")) * time.Millisecond
			ans := &Answer{Body: make([]byte, 100)}
			if rapid.Bool().Draw(rt, "own") {
				a.put(now, core.KeyID{i}, testFingerprint, ans)
				own++
			} else {
				left := rapid.Int64Range(-1, 2*keep).Draw(rt, "left")
				a.inherit(now, []handedOverAnswer{{core.KeyID{i}, testFingerprint, ans, left}})
			}
			is.True(a.inherited.bytes <= inherited*testAnswerSize)
			is.True(a.own.bytes+a.inherited.bytes <= total*testAnswerSize)
			is.Equal(len(a.own.items)+len(a.inherited.items), len(a.byKey))
			if now < keep*time.Millisecond { // no own answer has expired
				is.True(len(a.own.items) >= min(own, total-inherited))
			}
			for k, h := range a.byKey {
				is.Equal(a.get(now, k, testFingerprint) != nil, h.expiresAt > now)
				is.True(h.expiresAt <= now+keep*time.Millisecond)
			}
		}
	})
}
