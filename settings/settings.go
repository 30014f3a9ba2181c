// Package settings defines the settings that operators write: one document for
// each team, kept in the platform's store, typed and validated as a whole.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// The struct tags below are the schema of a document: doc and unit are
// printed in docs/SETTINGS.md; default, min, max, pattern and oneof are
// enforced by Decode. For a map, pattern applies to its keys; for a list, to
// its elements.

// Team is the settings document of one team.
type Team struct {
	Workspaces map[string]Workspace `json:"workspaces,omitempty" pattern:"name" doc:"groups of callers, by name"`
	Models     map[string]Model     `json:"models,omitempty" pattern:"model" doc:"models that callers may name, by name"`
	Services   map[string]Service   `json:"services,omitempty" pattern:"name" doc:"plain services that callers may name, by name"`
}

// Workspace is a group of callers that share a weight.
type Workspace struct {
	// KeysSHA256 holds the hex SHA-256 digests of the workspace's API keys.
	KeysSHA256 []string `json:"keys_sha256" pattern:"digest" required:"true" doc:"hex SHA-256 digests of the API keys accepted; each key belongs to one workspace of the fleet"`
	// Weight is the workspace's share of a full pool relative to other
	// workspaces; 0 means 1.
	Weight float64 `json:"weight,omitempty" default:"1" min:"0.01" max:"1000" unit:"ratio" doc:"share of a full pool relative to other workspaces"`
}

// Model is a model that callers may name.
type Model struct {
	// Pool is the pool of engines in the VM list; empty means the model's
	// own name.
	Pool string `json:"pool,omitempty" pattern:"model" default:"the model's name" doc:"pool of engines in the VM list"`
	// LoadFactor, called c, bounds the load of an engine: no engine gets more
	// than c times the mean number of requests in flight, rounded up. 0 means
	// DefaultLoadFactor.
	LoadFactor float64 `json:"load_factor,omitempty" default:"1.25" min:"1" max:"16" unit:"times the mean" doc:"most requests in flight at one engine, rounded up to whole requests"`
	// MaxInFlight is the largest number of requests that one engine runs at a
	// time. 0 means DefaultMaxInFlight.
	MaxInFlight int `json:"max_in_flight,omitempty" default:"64" min:"1" max:"100000" unit:"requests" doc:"most requests that one engine runs at a time"`
	// Cells is the number of parts into which the pool is divided for
	// admission. 0 means 1.
	Cells int `json:"cells,omitempty" default:"1" min:"1" max:"4096" unit:"cells" doc:"parts that the pool is divided into for admission"`
	// Shared lets workspaces of other teams use the model.
	Shared bool `json:"shared,omitempty" default:"false" doc:"lets workspaces of other teams use the model; one team may share a name"`
	// Fencing states whether the pool's engines check the fencing number of an
	// order. Empty means FencingIgnored.
	Fencing Fencing `json:"fencing,omitempty" default:"ignored" oneof:"checked,ignored" doc:"whether the engines refuse orders with an old fencing number"`
	// Version is the version of the model that the pool's engines must load.
	// Empty means that no orders are sent to them.
	Version string `json:"version,omitempty" pattern:"model" default:"no orders are sent" doc:"version of the model that the engines must load"`
	// Adapters lists the adapters that the engines load beside the model, in
	// order.
	Adapters []string `json:"adapters,omitempty" pattern:"model" doc:"adapters that the engines must load, in order"`
	// Role is the part of a generation that the engines run. Empty means
	// RoleBoth.
	Role Role `json:"role,omitempty" default:"both" oneof:"both,prefill,decode" doc:"part of a generation that the engines run"`
	// RollOut restarts a stopped roll-out of the same version when it is
	// increased.
	RollOut int `json:"roll_out,omitempty" default:"0" min:"0" max:"1000000" doc:"raise it to try a stopped roll-out of the same version again"`
	// LoadsPerMinute limits the average rate at which the pool's engines in
	// one region load weights from the weight store. 0 means
	// DefaultLoadsPerMinute.
	LoadsPerMinute float64 `json:"loads_per_minute,omitempty" default:"12" min:"0.1" max:"1000" unit:"loads a minute" doc:"most loads from the weight store by the pool's engines in one region, on average"`
}

// Role is the part of a generation that an engine runs.
type Role string

// The roles of engines.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// DefaultLoadsPerMinute is the default of Model.LoadsPerMinute.
const DefaultLoadsPerMinute = 12

// Fencing states whether engines check the fencing number of an order.
type Fencing string

// Values of Fencing.
const (
	// FencingChecked means that engines refuse an order with an old fencing
	// number.
	FencingChecked Fencing = "checked"
	// FencingIgnored means that engines execute an order with any fencing
	// number.
	FencingIgnored Fencing = "ignored"
)

// Service is a plain service that callers may name.
type Service struct {
	Pool        string  `json:"pool,omitempty" pattern:"model" default:"the service's name" doc:"pool of targets in the VM list"`
	LoadFactor  float64 `json:"load_factor,omitempty" default:"1.25" min:"1" max:"16" unit:"times the mean" doc:"most requests in flight at one target, rounded up to whole requests"`
	MaxInFlight int     `json:"max_in_flight,omitempty" default:"64" min:"1" max:"100000" unit:"requests" doc:"most requests that one target runs at a time"`
	Cells       int     `json:"cells,omitempty" default:"1" min:"1" max:"4096" unit:"cells" doc:"parts that the pool is divided into for admission"`
	Shared      bool    `json:"shared,omitempty" default:"false" doc:"lets workspaces of other teams use the service; one team may share a name"`
	// Routes state which calls may be repeated; the route with the longest
	// matching prefix applies. A call that matches none may be repeated if its
	// method is idempotent (RFC 9110).
	Routes []Route `json:"routes,omitempty" doc:"which calls may be repeated; the longest matching prefix decides, and without one the method (RFC 9110, idempotent methods)"`
}

// Route states whether the calls with a method and path prefix may be repeated.
type Route struct {
	Method     string `json:"method,omitempty" oneof:"GET,HEAD,OPTIONS,TRACE,PUT,DELETE,POST,PATCH" default:"any method" doc:"HTTP method"`
	Prefix     string `json:"prefix" pattern:"path" required:"true" doc:"start of the path below the service's name"`
	Repeatable bool   `json:"repeatable" required:"true" doc:"whether a call may run more than once"`
}

// Defaults of optional settings.
const (
	DefaultLoadFactor  = 1.25
	DefaultMaxInFlight = 64
)

// KeyDigest returns the hex SHA-256 digest of an API key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Repeatable returns whether a call to the service may run more than once. Of
// the matching routes, the one with the longest prefix applies; without a match
// the call is repeatable if the method is idempotent.
func (s Service) Repeatable(method, path string) bool {
	longest := -1
	repeatable := idempotentMethod(method)
	for _, r := range s.Routes {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		if len(r.Prefix) > longest && strings.HasPrefix(path, r.Prefix) {
			longest = len(r.Prefix)
			repeatable = r.Repeatable
		}
	}
	return repeatable
}

func idempotentMethod(m string) bool {
	switch m {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
