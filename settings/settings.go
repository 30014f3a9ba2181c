// Package settings holds the operators' settings: one document for each team,
// kept in the platform's store, typed and validated as a whole.
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

// Workspace is one group of callers.
type Workspace struct {
	// KeysSHA256 holds the hex SHA-256 digests of the API keys accepted.
	KeysSHA256 []string `json:"keys_sha256" pattern:"digest" required:"true" doc:"hex SHA-256 digests of the API keys accepted; each key belongs to one workspace of the fleet"`
	// Weight is the share of a full pool relative to other workspaces;
	// 0 means 1.
	Weight float64 `json:"weight,omitempty" default:"1" min:"0.01" max:"1000" unit:"ratio" doc:"share of a full pool relative to other workspaces"`
}

// Model is a model that callers may name.
type Model struct {
	// Pool is the pool of engines in the VM list; empty means the model's
	// own name.
	Pool string `json:"pool,omitempty" pattern:"model" default:"the model's name" doc:"pool of engines in the VM list"`
	// LoadFactor is c: no engine gets more than c times the mean number of
	// requests in flight, rounded up. 0 means DefaultLoadFactor.
	LoadFactor float64 `json:"load_factor,omitempty" default:"1.25" min:"1" max:"16" unit:"times the mean" doc:"most requests in flight at one engine, rounded up to whole requests"`
	// MaxInFlight is the most requests one engine runs at a time.
	// 0 means DefaultMaxInFlight.
	MaxInFlight int `json:"max_in_flight,omitempty" default:"64" min:"1" max:"100000" unit:"requests" doc:"most requests that one engine runs at a time"`
	// Cells is the number of parts the pool is divided into for admission.
	// 0 means 1.
	Cells int `json:"cells,omitempty" default:"1" min:"1" max:"4096" unit:"cells" doc:"parts that the pool is divided into for admission"`
	// Shared lets workspaces of other teams use the model.
	Shared bool `json:"shared,omitempty" default:"false" doc:"lets workspaces of other teams use the model; one team may share a name"`
	// Fencing says what the pool's engines do with orders. Empty means
	// FencingIgnored.
	Fencing Fencing `json:"fencing,omitempty" default:"ignored" oneof:"checked,ignored" doc:"whether the engines refuse orders with an old fencing number"`
	// Version is what the pool's engines must have loaded. Empty means that
	// no orders are sent to them.
	Version string `json:"version,omitempty" pattern:"model" default:"no orders are sent" doc:"version of the model that the engines must load"`
	// Adapters are loaded beside the model.
	Adapters []string `json:"adapters,omitempty" pattern:"model" doc:"adapters that the engines must load, in order"`
	// Role is what the engines run. Empty means RoleBoth.
	Role Role `json:"role,omitempty" default:"both" oneof:"both,prefill,decode" doc:"part of a generation that the engines run"`
	// RollOut starts a stopped roll-out of the same version again when raised.
	RollOut int `json:"roll_out,omitempty" default:"0" min:"0" max:"1000000" doc:"raise it to try a stopped roll-out of the same version again"`
	// LoadsPerMinute paces the loads of the pool's engines in one region from
	// the weight store. 0 means DefaultLoadsPerMinute.
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

// Fencing says whether engines check the fencing number of an order.
type Fencing string

// The kinds of engines.
const (
	// FencingChecked engines refuse an order with an old fencing number.
	FencingChecked Fencing = "checked"
	// FencingIgnored engines obey an order with any fencing number.
	FencingIgnored Fencing = "ignored"
)

// Service is a plain service that callers may name.
type Service struct {
	Pool        string  `json:"pool,omitempty" pattern:"model" default:"the service's name" doc:"pool of targets in the VM list"`
	LoadFactor  float64 `json:"load_factor,omitempty" default:"1.25" min:"1" max:"16" unit:"times the mean" doc:"most requests in flight at one target, rounded up to whole requests"`
	MaxInFlight int     `json:"max_in_flight,omitempty" default:"64" min:"1" max:"100000" unit:"requests" doc:"most requests that one target runs at a time"`
	Cells       int     `json:"cells,omitempty" default:"1" min:"1" max:"4096" unit:"cells" doc:"parts that the pool is divided into for admission"`
	Shared      bool    `json:"shared,omitempty" default:"false" doc:"lets workspaces of other teams use the service; one team may share a name"`
	// Routes mark calls that may not be repeated; the longest matching
	// prefix decides. Calls that match none may be repeated if their method
	// is idempotent (RFC 9110).
	Routes []Route `json:"routes,omitempty" doc:"which calls may be repeated; the longest matching prefix decides, and without one the method (RFC 9110, idempotent methods)"`
}

// Route says whether calls may be repeated.
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

// Repeatable says whether a call to the service may be run more than once.
func (s Service) Repeatable(method, path string) bool {
	best := -1
	repeatable := idempotentMethod(method)
	for _, r := range s.Routes {
		if r.Method != "" && !strings.EqualFold(r.Method, method) {
			continue
		}
		if len(r.Prefix) > best && strings.HasPrefix(path, r.Prefix) {
			best = len(r.Prefix)
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
