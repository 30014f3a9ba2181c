package settings

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix is the root of the operators' tree; a team's subtree is
// Prefix + team + "/".
const Prefix = "/knapweedgw/teams/"

const (
	documentKey = "/settings"
	changeKey   = "/change"
)

var teamName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ErrTeamName means that a team's name can't be a subtree's name.
var ErrTeamName = errors.New("settings: a team's name has 1 to 63 lower-case letters, digits or '-', and starts and ends with a letter or digit")

// CheckTeamName returns ErrTeamName for a name that is not allowed; a valid
// name can't reach another team's subtree.
func CheckTeamName(team string) error {
	if !teamName.MatchString(team) {
		return errors.Wrapf(ErrTeamName, "%q", team)
	}
	return nil
}

// TeamKey returns the store key of a team's document.
func TeamKey(team string) string { return Prefix + team + documentKey }

// ChangeKey returns the store key that says who wrote a team's document last.
func ChangeKey(team string) string { return Prefix + team + changeKey }

// TeamOfKey returns the team whose document or change note a key of the
// operators' tree holds; document is false for the change note.
func TeamOfKey(key string) (team string, document, ok bool) {
	rest, ok := strings.CutPrefix(key, Prefix)
	if !ok {
		return "", false, false
	}
	if team, ok := strings.CutSuffix(rest, documentKey); ok {
		return team, true, CheckTeamName(team) == nil
	}
	team, ok = strings.CutSuffix(rest, changeKey)
	return team, false, ok && CheckTeamName(team) == nil
}
