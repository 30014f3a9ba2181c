package operator

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

var (
	ctx   = context.Background()
	valid = []byte(`{"models":{"m":{}}}`)
)

// flakyStore fails commits by a script with one entry for each commit: down is
// unavailable, dropped drops the commit, lost commits and drops the response.
// before runs once before the first commit.
type flakyStore struct {
	store.Store
	script []string
	before func()
}

func (s *flakyStore) Commit(ctx context.Context, t store.Txn) (int64, bool, error) {
	if s.before != nil {
		s.before()
		s.before = nil
	}
	step := "ok"
	if len(s.script) > 0 {
		step, s.script = s.script[0], s.script[1:]
	}
	switch step {
	case "down":
		return 0, false, store.ErrUnavailable
	case "dropped":
		return 0, false, store.ErrUncertain
	}
	rev, ok, err := s.Store.Commit(ctx, t)
	if step == "lost" {
		return 0, false, store.ErrUncertain
	}
	return rev, ok, err
}

func client(s store.Store, author string) *Client {
	return &Client{Store: s, Author: author, Now: func() time.Time { return time.Unix(1e9, 0) }}
}

func TestSetResolvesLostResponses(t *testing.T) {
	cases := []struct {
		name   string
		script []string
		err    error // nil if written exactly once
	}{
		{"ok", nil, nil},
		{"lost after the write", []string{"lost"}, nil},
		{"lost before the write", []string{"dropped"}, nil},
		{"lost twice", []string{"dropped", "lost"}, nil},
		{"lost, then down", []string{"lost", "down"}, nil},
		{"down", []string{"down"}, store.ErrUnavailable},
		{"dropped, then down", []string{"dropped", "down", "down", "down", "down"}, store.ErrUncertain},
		{"every commit dropped", []string{"dropped", "dropped", "dropped", "dropped", "dropped"}, store.ErrUncertain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := memory.New(time.Now)
			change, err := client(&flakyStore{Store: s, script: c.script}, "ana").Set(ctx, "a", valid, AnyRevision)
			is.True(errors.Is(err, c.err))
			kv, ok, _ := s.Get(ctx, settings.TeamKey("a"))
			is.Equal(ok, c.err == nil)
			is.Equal(kv.ModRevision, change)
			page, _ := s.List(ctx, "")
			is.Equal(page.Revision <= 1, true) // written at most once
		})
	}
}

func TestConcurrentOperators(t *testing.T) {
	cases := []struct {
		name     string
		revision int64
		before   bool // bea writes between ana's read and commit
		pending  bool // bea's change is undecided when ana begins
		conflict bool
	}{
		{"nobody else", 0, false, false, false},
		{"race within the write", AnyRevision, true, false, true},
		{"undecided change", 0, false, true, true},
		{"undecided change, any revision", AnyRevision, false, true, false},
		{"wrong revision", 7, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &flakyStore{Store: memory.New(time.Now)}
			bea := func() { _, _ = client(s.Store, "bea").Set(ctx, "a", valid, AnyRevision) }
			if c.pending {
				bea()
			}
			if c.before {
				s.before = bea
			}
			_, err := client(s, "ana").Set(ctx, "a", valid, c.revision)
			is.Equal(errors.Is(err, ErrConflict), c.conflict)
			if c.before || c.pending && c.conflict {
				is.True(strings.Contains(err.Error(), "bea at 2001-09-09")) // names the other author and the time
				is.True(errors.FlattenHints(err) != "")
			}
		})
	}
}

func TestWritesOnlyTheTeamsKeys(t *testing.T) {
	for _, team := range []string{"", "a/b", "../b", "b/settings/x", "A"} {
		s := memory.New(time.Now)
		_, err := client(s, "ana").Set(ctx, team, valid, AnyRevision)
		is.New(t).True(errors.Is(err, settings.ErrTeamName))
		_, err = client(s, "ana").Delete(ctx, team, AnyRevision)
		is.New(t).True(errors.Is(err, settings.ErrTeamName))
		page, _ := s.List(ctx, "")
		is.New(t).Equal(len(page.KVs), 0)
	}
}

func TestAwait(t *testing.T) {
	cases := []struct {
		name     string
		status   accepted.Status
		replaced bool
		err      error
	}{
		{"accepted", accepted.Status{Change: 1, Revision: 1}, false, nil},
		{"refused", accepted.Status{Change: 1, Faults: []settings.Fault{{Problem: "p", Remedy: "r"}}}, false, ErrFaults},
		{"replaced by a later change", accepted.Status{}, true, ErrConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := memory.New(time.Now)
			change, err := client(s, "ana").Set(ctx, "a", valid, AnyRevision)
			is.NoErr(err)
			if c.replaced {
				_, err = client(s, "bea").Set(ctx, "a", valid, AnyRevision)
				is.NoErr(err)
			}
			raw, _ := json.Marshal(c.status)
			_, _, err = s.Commit(ctx, store.Txn{Ops: []store.Op{{Key: accepted.StatusKey("a"), Value: raw}}})
			is.NoErr(err)
			_, err = client(s, "ana").Await(ctx, "a", change)
			is.True(errors.Is(err, c.err))
		})
	}
}

func TestInvalidDocumentIsNotWritten(t *testing.T) {
	is := is.New(t)
	s := memory.New(time.Now)
	_, err := client(s, "ana").Set(ctx, "a", []byte(`{"modles":{}}`), AnyRevision)
	is.True(errors.Is(err, ErrFaults))
	is.True(strings.Contains(err.Error(), `did you mean "models"?`))
	page, _ := s.List(ctx, "")
	is.Equal(len(page.KVs), 0)
}
