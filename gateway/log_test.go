package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/settings"
)

func TestLogIdentifiesCall(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := &call{
		base: log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter}),
		id:   "r-1", chat: 255, workspace: settings.WorkspaceRef{Team: "team", Name: "ws"},
	}
	c.log().Info("refused")
	var line struct{ Request, Team, Workspace, Chat string }
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line.Request, "r-1")
	is.Equal(line.Team, "team")
	is.Equal(line.Workspace, "ws")
	is.Equal(line.Chat, "ff")
}
