package settings

import (
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix is the prefix of the store keys that operators write; those of a team
// start with Prefix + team + "/".
const Prefix = "/knapweedgw/teams/"

const (
	documentKey = "/settings"
	changeKey   = "/change"
)

var teamName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ErrTeamName is returned for a team's name that is not allowed in a store key.
var ErrTeamName = errors.New("settings: a team's name has 1 to 63 lower-case letters, digits or '-', and starts and ends with a letter or digit")

// CheckTeamName returns ErrTeamName for a name that is not allowed. The keys of a
// valid name can't lie below another team's prefix.
func CheckTeamName(team string) error {
	if !teamName.MatchString(team) {
		return errors.Wrapf(ErrTeamName, "%q", team)
	}
	return nil
}

// TeamKey returns the store key of a team's document.
func TeamKey(team string) string { return Prefix + team + documentKey }

// ChangeKey returns the store key of the Change of a team's last write.
func ChangeKey(team string) string { return Prefix + team + changeKey }

// TeamOfKey returns the team that a key below Prefix belongs to. document is true
// for the team's document and false for its Change. ok is false for any other
// key.
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
