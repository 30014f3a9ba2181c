// Package operator reads and writes a team's settings in the store on behalf of an
// operator. It writes only the team's own keys.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/store"
)

// Errors returned by the package; compare them with errors.Is.
var (
	// ErrConflict means that another change was written first.
	ErrConflict = errors.New("settings: another change came first")
	// ErrFaults means that the document has faults; the error's text lists
	// them.
	ErrFaults = errors.New("settings: the document has faults")
	// ErrNoTeam means that the team has no settings in force.
	ErrNoTeam = errors.New("settings: the team has no settings in force")
)

// Client reads and writes settings for one operator. Author is recorded with each
// write.
type Client struct {
	Store  store.Store
	Author string
	Now    func() time.Time
}

// TeamState holds the settings and the status of a team as read from the store.
type TeamState struct {
	// Record is the accepted document; its Revision is 0 if there was none
	// yet.
	Record accepted.Record
	// Status is the last decision; its Change is 0 before the first.
	Status accepted.Status
	// Change is the store's revision of the operators' document, 0 if there
	// is none. ChangeInfo records who wrote it; it is zero if unknown.
	Change     int64
	ChangeInfo settings.Change
}

// Pending returns whether the operators' document is neither accepted nor refused
// yet.
func (t TeamState) Pending() bool {
	decided := t.Change == t.Record.Change || t.Change == t.Status.Change
	return t.Change != 0 && !decided
}

// Read reads a team's settings and status from the store.
func (c *Client) Read(ctx context.Context, team string) (TeamState, error) {
	if err := settings.CheckTeamName(team); err != nil {
		return TeamState{}, err
	}
	var t TeamState
	doc, _, err := c.Store.Get(ctx, settings.TeamKey(team))
	if err != nil {
		return TeamState{}, err
	}
	t.Change = doc.ModRevision
	var note settings.Change
	if mod, err := c.read(ctx, settings.ChangeKey(team), &note); err != nil {
		return TeamState{}, err
	} else if mod == t.Change {
		t.ChangeInfo = note
	}
	if _, err := c.read(ctx, accepted.TeamKey(team), &t.Record); err != nil {
		return TeamState{}, err
	}
	_, err = c.read(ctx, accepted.StatusKey(team), &t.Status)
	return t, err
}

// read decodes a key's value, if there is one, and returns its revision.
func (c *Client) read(ctx context.Context, key string, out any) (int64, error) {
	kv, ok, err := c.Store.Get(ctx, key)
	if err != nil || !ok {
		return 0, err
	}
	return kv.ModRevision, errors.Wrap(json.Unmarshal(kv.Value, out), key)
}

// History returns the team's latest accepted records, newest first.
func (c *Client) History(ctx context.Context, team string) ([]accepted.Record, error) {
	if err := settings.CheckTeamName(team); err != nil {
		return nil, err
	}
	page, err := c.Store.List(ctx, accepted.HistoryPrefix(team))
	if err != nil {
		return nil, err
	}
	var out []accepted.Record
	for _, kv := range page.KVs {
		r, err := accepted.DecodeRecord(kv)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b accepted.Record) int { return int(b.Sequence - a.Sequence) })
	return out, nil
}

// Teams returns the names of all teams with a document or a record, sorted.
func (c *Client) Teams(ctx context.Context) ([]string, error) {
	var out []string
	raw, err := c.Store.List(ctx, settings.Prefix)
	if err != nil {
		return nil, err
	}
	for _, kv := range raw.KVs {
		if team, document, ok := settings.TeamOfKey(kv.Key); ok && document {
			out = append(out, team)
		}
	}
	page, err := c.Store.List(ctx, accepted.TeamKey(""))
	if err != nil {
		return nil, err
	}
	for _, kv := range page.KVs {
		out = append(out, strings.TrimPrefix(kv.Key, accepted.TeamKey("")))
	}
	slices.Sort(out)
	return slices.Compact(out), nil
}

// Check returns ErrFaults with every fault of a document.
func Check(raw []byte) error {
	_, faults := settings.Decode(raw)
	return FaultsError(faults)
}

// FaultsError returns ErrFaults with the faults listed, nil if there is none.
func FaultsError(faults []settings.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = "  " + f.String()
	}
	err := errors.Newf("%v, %d to mend:\n%s", ErrFaults, len(faults), strings.Join(lines, "\n"))
	return errors.Mark(err, ErrFaults)
}

// conflictError returns ErrConflict with the author, time and number of the change that
// was written first.
func conflictError(t TeamState) error {
	who, when, what := t.ChangeInfo.Author, t.ChangeInfo.At, fmt.Sprintf("change %d, not yet decided", t.Change)
	if !t.Pending() {
		who, when, what = t.Record.Author, t.Record.At, fmt.Sprintf("revision %d", t.Record.Revision)
	}
	if who == "" {
		who = "an unnamed operator"
	}
	err := errors.Newf("%v: %s by %s at %s", ErrConflict, what, who, when.UTC().Format(time.RFC3339))
	return errors.WithHint(errors.Mark(err, ErrConflict), "get the team's settings again, repeat your change on them and set them with the new revision")
}
