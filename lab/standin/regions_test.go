package standin_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/config"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// Guards against ignored region limits: the configuration's allowed regions were not read, and
// requests of a workspace that is confined to one region went to any region with free
// capacity.

// confine is a change to the configuration that sets the allowed regions of the SafePath route
// and of the workspace.
func confine(route, workspace []string) func(cfg map[string]any) {
	return func(cfg map[string]any) {
		for _, r := range cfg["routes"].([]any) {
			if r := r.(map[string]any); r["name"] == "safe" {
				r["allowed_regions"] = route
			}
		}
		cfg["tenants"].([]any)[0].(map[string]any)["allowed_regions"] = workspace
	}
}

func TestAllowedRegionsOfRouteAndWorkspace(t *testing.T) {
	tests := map[string]struct {
		route, workspace []string
		zone             string // the zone that serves the requests, empty for none
	}{
		"route":     {route: []string{"north"}, zone: "zone-0"},
		"workspace": {workspace: []string{"south"}, zone: "zone-1"},
		"both":      {route: []string{"north", "south"}, workspace: []string{"south", "west"}, zone: "zone-1"},
		"neither":   {route: []string{"north"}, workspace: []string{"south"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is, s := is.New(t), NewSite(t)
			s.AdjustConfig = func(c *config.RouterNode) {
				c.Regions = map[string]string{"zone-0": "north", "zone-1": "south", "zone-2": "east"}
			}
			s.Configure(confine(tt.route, tt.workspace))
			s.Start(1)
			for range 20 {
				a := s.Nodes[0].Do(Request{Path: SafePath})
				if tt.zone == "" {
					is.Equal(a.Status, http.StatusServiceUnavailable)
					is.Equal(len(s.Journal.Runs(a.ID)), 0)
					continue
				}
				is.Equal(a.Status, http.StatusOK)
				is.Equal(zoneOf(s, a.ID), tt.zone)
			}
			is.Equal(tt.zone == "", strings.Contains(s.Nodes[0].Logs.String(), "regions where this request may not go"))
		})
	}
}
