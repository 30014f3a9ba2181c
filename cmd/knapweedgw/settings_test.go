package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/settings/operator"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
)

// storeURL starts a server of an empty store and returns its URL.
func storeURL(t *testing.T) string {
	ws := new(restful.WebService)
	etcd.NewServer(memory.New(time.Now)).Routes(ws)
	c := restful.NewContainer()
	c.Add(ws)
	srv := httptest.NewServer(c)
	t.Cleanup(srv.Close)
	return srv.URL
}

func execute(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.Execute()
	return out.String(), err
}

func TestSettingsCommands(t *testing.T) {
	dir := t.TempDir()
	valid, invalid := filepath.Join(dir, "good.json"), filepath.Join(dir, "faulty.json")
	is := is.New(t)
	is.NoErr(os.WriteFile(valid, []byte(`{"models":{"m":{}}}`), 0o600))
	is.NoErr(os.WriteFile(invalid, []byte(`{"modles":{}}`), 0o600))
	store := "--store=" + storeURL(t)
	steps := []struct {
		args []string
		out  string
		err  error
	}{
		{[]string{"check", valid}, "valid", nil},
		{[]string{"check", invalid}, "", operator.ErrFaults},
		{[]string{"get", "a", store}, "", operator.ErrNoTeam},
		{[]string{"set", "a", invalid, store}, "", operator.ErrFaults},
		{[]string{"set", "a", valid, store, "--author=ana"}, "written as change 1", nil},
		{[]string{"set", "a", valid, store, "--revision=4"}, "", operator.ErrConflict},
		{[]string{"set", "a", valid, store, "--revision=0"}, "", operator.ErrConflict},
		{[]string{"status", store}, "undecided", nil},
		{[]string{"status", store}, "ana", nil},
		{[]string{"history", "a", store}, "REVISION", nil},
		{[]string{"delete", "a", store}, "deleted as change 2", nil},
	}
	for _, s := range steps {
		out, err := execute(append([]string{"settings"}, s.args...)...)
		is.True(errors.Is(err, s.err))        // the returned error
		is.True(strings.Contains(out, s.out)) // the output
	}
}

func TestStatusShowsFleetShares(t *testing.T) {
	is := is.New(t)
	node := func(revision string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("# TYPE knapweedgw_settings_revision gauge\nknapweedgw_settings_revision " + revision + "\n"))
		}))
		t.Cleanup(srv.Close)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	outdated, unreachable := node("7"), "127.0.0.1:1"
	out, err := execute("status", "--nodes", strings.Join([]string{node("9"), node("9"), outdated, unreachable}, ","))
	is.NoErr(err)
	lines := strings.Split(out, "\n")
	is.Equal(strings.Fields(lines[1]), []string{"9", "2", "50.0%"})
	is.Equal(strings.Fields(lines[2]), []string{"7", "1", "25.0%", outdated})
	is.Equal(strings.Fields(lines[3]), []string{"unknown", "1", "25.0%"})
	is.True(strings.HasPrefix(lines[4], unreachable+" doesn't answer"))
}
