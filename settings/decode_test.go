package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var digest = KeyDigest("key")

func TestDecodeFaults(t *testing.T) {
	cases := []struct {
		name, doc    string
		reason       Reason
		path, remedy string
	}{
		{"truncated", `{"models":{`, ReasonSyntax, "", "write one JSON object"},
		{"text after the end", `{} {}`, ReasonSyntax, "", "write one JSON object"},
		{"not an object", `[]`, ReasonType, "", "object"},
		{"null", `null`, ReasonType, "", "object"},
		{"unknown field, similar name", `{"models":{"m":{"load_facto":2}}}`, ReasonUnknownField, "models.m.load_facto", `did you mean "load_factor"?`},
		{"unknown field, no similar name", `{"engines":{}}`, ReasonUnknownField, "engines", "use one of workspaces, models, services"},
		{"wrong case of a field name", `{"models":{"m":{"Shared":true}}}`, ReasonUnknownField, "models.m.Shared", `"shared"`},
		{"duplicate field", `{"models":{"m":{"cells":1,"cells":2}}}`, ReasonDuplicate, "models.m.cells", "keep one"},
		{"missing required field", `{"workspaces":{"w":{}}}`, ReasonMissing, "workspaces.w.keys_sha256", "add it"},
		{"wrong type", `{"models":{"m":{"cells":"2"}}}`, ReasonType, "models.m.cells", "integer"},
		{"fraction for an integer", `{"models":{"m":{"cells":1.5}}}`, ReasonType, "models.m.cells", "integer"},
		{"huge number", `{"models":{"m":{"cells":1e999}}}`, ReasonType, "models.m.cells", "integer"},
		{"below the minimum", `{"models":{"m":{"load_factor":0.5}}}`, ReasonBounds, "models.m.load_factor", "omit it for 1.25"},
		{"above the maximum", `{"services":{"s":{"max_in_flight":100001}}}`, ReasonBounds, "services.s.max_in_flight", "to 100000"},
		{"zero weight", `{"workspaces":{"w":{"keys_sha256":[],"weight":0}}}`, ReasonBounds, "workspaces.w.weight", "from 0.01"},
		{"not one of the allowed values", `{"models":{"m":{"fencing":"maybe"}}}`, ReasonBounds, "models.m.fencing", "checked, ignored"},
		{"API key instead of its digest", `{"workspaces":{"w":{"keys_sha256":["secret"]}}}`, ReasonPattern, "workspaces.w.keys_sha256[0]", "sha256sum"},
		{"invalid name", `{"services":{"a/b":{}}}`, ReasonPattern, "services.a/b", "letters"},
		{"route path", `{"services":{"s":{"routes":[{"prefix":"x","repeatable":true}]}}}`, ReasonPattern, "services.s.routes[0].prefix", "'/'"},
		{"route method", `{"services":{"s":{"routes":[{"method":"get","prefix":"/","repeatable":true}]}}}`, ReasonBounds, "services.s.routes[0].method", "GET"},
		{"too large", `{"x":"` + strings.Repeat("x", MaxDocumentBytes) + `"}`, ReasonTooLarge, "", "divide"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, faults := Decode([]byte(c.doc))
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Reason, c.reason)
			is.Equal(faults[0].Path, c.path)
			is.True(strings.Contains(faults[0].Remedy, c.remedy)) // the remedy applies to the fault
		})
	}
}

func TestDecodeReportsAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	_, faults := Decode([]byte(`{"models":{"m":{"cells":0,"pol":"p"}},"service":{},"workspaces":{"w":{}}}`))
	is.Equal(len(faults), 4)
}

func TestDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := teamGen().Draw(rt, "team")
		raw, err := json.Marshal(want)
		is := is.New(rt)
		is.NoErr(err)
		got, faults := Decode(raw)
		is.Equal(faults, nil)
		is.Equal(got, want)
	})
}

// TestDecodeNeverPanics decodes valid documents with one byte replaced.
func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		team, _ := json.Marshal(teamGen().Draw(rt, "team"))
		index := rapid.IntRange(0, len(team)-1).Draw(rt, "index")
		team[index] = rapid.Byte().Draw(rt, "byte")
		Decode(team)
	})
}

func teamGen() *rapid.Generator[Team] {
	name := rapid.StringMatching(`[A-Za-z0-9][a-z._-]{0,10}`)
	return rapid.Custom(func(t *rapid.T) Team {
		return Team{
			Workspaces: nonEmpty(rapid.MapOfN(name, rapid.Custom(func(t *rapid.T) Workspace {
				keys := rapid.SliceOfN(rapid.Map(rapid.String(), KeyDigest), 1, 3).Draw(t, "keys")
				return Workspace{KeysSHA256: keys, Weight: rapid.Float64Range(0.01, 1000).Draw(t, "weight")}
			}), 0, 3).Draw(t, "workspaces")),
			Models: nonEmpty(rapid.MapOfN(name, rapid.Custom(func(t *rapid.T) Model {
				return Model{
					LoadFactor: rapid.Float64Range(1, 16).Draw(t, "c"), Shared: rapid.Bool().Draw(t, "shared"),
					Fencing: rapid.SampledFrom([]Fencing{"", FencingChecked, FencingIgnored}).Draw(t, "fencing"),
				}
			}), 0, 3).Draw(t, "models")),
			Services: nonEmpty(rapid.MapOfN(name, rapid.Custom(func(t *rapid.T) Service {
				return Service{
					MaxInFlight: rapid.IntRange(1, 100000).Draw(t, "max"),
					Routes:      []Route{{Method: "POST", Prefix: "/x", Repeatable: rapid.Bool().Draw(t, "repeatable")}},
				}
			}), 0, 3).Draw(t, "services")),
		}
	})
}

// nonEmpty returns nil for an empty map, as decoding an omitted object does.
func nonEmpty[V any](m map[string]V) map[string]V {
	if len(m) == 0 {
		return nil
	}
	return m
}

func TestTeamNames(t *testing.T) {
	for name, ok := range map[string]bool{
		"renovacion": true, "a": true, "team-1": true,
		"": false, "a/b": false, "..": false, "A": false, "-a": false, "a-": false, "a b": false,
		"a/settings": false, strings.Repeat("a", 64): false,
	} {
		is.New(t).Equal(CheckTeamName(name) == nil, ok)
	}
	team, document, ok := TeamOfKey(TeamKey("a"))
	is := is.New(t)
	is.True(team == "a" && document && ok)
	_, document, ok = TeamOfKey(ChangeKey("a"))
	is.True(ok && !document)
	_, _, ok = TeamOfKey(Prefix + "a/b/settings")
	is.True(!ok)
}

func TestClashes(t *testing.T) {
	key := Workspace{KeysSHA256: []string{digest}}
	others := map[string]Team{"a": {
		Workspaces: map[string]Workspace{"w": key},
		Models:     map[string]Model{"m": {Shared: true}, "private": {Cells: 2}},
	}}
	cases := []struct {
		name string
		doc  Team
		path string
	}{
		{"none", Team{Models: map[string]Model{"other": {Shared: true}}}, ""},
		{"own model of a shared name", Team{Models: map[string]Model{"m": {}}}, ""},
		{"shared model twice", Team{Models: map[string]Model{"m": {Shared: true}}}, "models.m"},
		{"API key twice", Team{Workspaces: map[string]Workspace{"v": key}}, "workspaces.v.keys_sha256"},
		{"pool with other limits", Team{Services: map[string]Service{"s": {Pool: "private", Cells: 3}}}, "services.s"},
		{"pool with the same limits", Team{Services: map[string]Service{"s": {Pool: "private", Cells: 2}}}, ""},
		{"own key twice", Team{Workspaces: map[string]Workspace{"x": {KeysSHA256: []string{KeyDigest("x"), KeyDigest("x")}}}}, "workspaces.x.keys_sha256"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			faults := NewIndex(others, "b").Clashes("b", c.doc)
			if c.path == "" {
				is.Equal(len(faults), 0)
				return
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Path, c.path)
			is.Equal(faults[0].Reason, ReasonClash)
		})
	}
}
