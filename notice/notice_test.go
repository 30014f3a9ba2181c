package notice

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestRetryAfterOf503SetsCooldown(t *testing.T) {
	is := is.New(t)
	date := func(d time.Duration) string { return start.Add(d).UTC().Format(http.TimeFormat) }
	tests := map[string]struct {
		value, date string
		want        Notice
	}{
		"seconds":             {value: "3", want: Notice{RetryAfter: 3 * time.Second}},
		"a fraction":          {value: " 0.25 ", want: Notice{RetryAfter: 250 * time.Millisecond}},
		"none":                {value: "0"},
		"no header":           {},
		"a date":              {value: date(5 * time.Second), want: Notice{RetryAfter: 5 * time.Second}},
		"a date that is past": {value: date(-5 * time.Second)},
		"the target's clock":  {value: date(time.Hour + 4*time.Second), date: date(time.Hour), want: Notice{RetryAfter: 4 * time.Second}},
		"too long":            {value: "1000000000", want: Notice{RetryAfter: maxCooldown}},
		"out of range":        {value: strings.Repeat("9", 400), want: Notice{RetryAfter: maxCooldown}},
		"a far date":          {value: date(1000 * time.Hour), want: Notice{RetryAfter: maxCooldown}},
		"negative":            {value: "-1", want: Notice{Unreadable: "-1"}},
		"not a number":        {value: "NaN", want: Notice{Unreadable: "NaN"}},
		"hexadecimal":         {value: "0x10", want: Notice{Unreadable: "0x10"}},
		"long text":           {value: strings.Repeat("soon", 100), want: Notice{Unreadable: strings.Repeat("soon", maxUnreadableBytes/4)}},
		"text":                {value: "soon", want: Notice{Unreadable: "soon"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{}
			h.Set("Retry-After", tt.value)
			h.Set("Date", tt.date)
			is.Equal(FromHeader(http.StatusServiceUnavailable, h, start), tt.want)
			is.Equal(FromHeader(http.StatusTooManyRequests, h, start), Notice{}) // meant for the caller
		})
	}
	is.Equal(FromHeader(http.StatusServiceUnavailable, http.Header{}, start), Notice{})
}

func TestLeavingLastsAndRestEnds(t *testing.T) {
	is := is.New(t)
	var s State
	is.True(!s.Leaving())
	is.Equal(s.Record(Notice{Leaving: true, RetryAfter: 3 * time.Second}, start, random()), Change{NewlyLeaving: true, CooldownExtended: true})
	is.Equal(s.Record(Notice{Leaving: true, RetryAfter: time.Second}, start, random()), Change{})
	is.True(s.InCooldown(start.Add(3*time.Second - 1)))
	is.True(!s.InCooldown(start.Add(3*time.Second + maxJitter)))
	s.Record(Notice{}, start.Add(time.Hour), random())
	is.True(s.Leaving())
}

func TestUnreadableIsReportedOnce(t *testing.T) {
	is := is.New(t)
	var s State
	is.True(s.Record(Notice{Unreadable: "soon"}, start, random()).FirstUnreadable)
	is.True(!s.Record(Notice{Unreadable: "later"}, start, random()).FirstUnreadable)
	is.True(s.MaySend(start))
}

// For any order of notices, the cooldown ends no earlier than the latest end requested, and at most
// maxJitter later.
func TestCooldownIsTheLongestRequested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		var end time.Time
		now := start
		for range rapid.IntRange(1, 8).Draw(t, "notices") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "later ms")) * time.Millisecond)
			cooldown := time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest ms")) * time.Millisecond
			s.Record(Notice{RetryAfter: cooldown}, now, random())
			if at := now.Add(cooldown); cooldown > 0 && at.After(end) {
				end = at
			}
		}
		until := now.Add(s.CooldownLeft(now))
		if until.Before(end) || s.InCooldown(now) && until.After(end.Add(maxJitter)) {
			t.Fatalf("cooldown until %v, requested until %v", until, end)
		}
	})
}

func TestBookSeparatesRunsAndIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewBook(2)
	old, later, other := Run{"a", 1}, Run{"a", 2}, Run{"b", 0}
	b.Record(old, Notice{Leaving: true}, start, random())
	is.True(b.State(old).Leaving())
	is.True(!b.State(later).Leaving())
	b.Record(later, Notice{RetryAfter: time.Second}, start, random())
	b.Record(other, Notice{Leaving: true}, start, random())
	is.Equal(len(b.states), 2)
	is.True(!b.State(old).Leaving()) // evicted
	is.True(b.State(other).Leaving())
	is.True(b.State(later).CooldownLeft(start) >= time.Second)
	is.True(b.InCooldown(start))
	is.True(!b.InCooldown(start.Add(time.Minute)))
}
