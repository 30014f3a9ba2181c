// Package settings holds the operators' settings: one document for each team,
// kept in the platform's store.
package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// Team is the settings document of one team.
type Team struct {
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	Models     map[string]Model     `json:"models,omitempty"`
	Services   map[string]Service   `json:"services,omitempty"`
}

// Workspace is one group of callers.
type Workspace struct {
	// KeysSHA256 holds the hex SHA-256 digests of the API keys accepted.
	KeysSHA256 []string `json:"keys_sha256"`
	// Weight is the share of a full pool relative to other workspaces;
	// 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Model is a model that callers may name.
type Model struct {
	// Pool is the pool of engines in the VM list; empty means the model's
	// own name.
	Pool string `json:"pool,omitempty"`
	// LoadFactor is c: no engine gets more than c times the mean number of
	// requests in flight, rounded up. 0 means DefaultLoadFactor.
	LoadFactor float64 `json:"load_factor,omitempty"`
	// MaxInFlight is the most requests one engine runs at a time.
	// 0 means DefaultMaxInFlight.
	MaxInFlight int `json:"max_in_flight,omitempty"`
	// Cells is the number of parts the pool is divided into for admission.
	// 0 means 1.
	Cells int `json:"cells,omitempty"`
	// Shared lets workspaces of other teams use the model.
	Shared bool `json:"shared,omitempty"`
}

// Service is a plain service that callers may name.
type Service struct {
	Pool        string  `json:"pool,omitempty"`
	LoadFactor  float64 `json:"load_factor,omitempty"`
	MaxInFlight int     `json:"max_in_flight,omitempty"`
	Cells       int     `json:"cells,omitempty"`
	Shared      bool    `json:"shared,omitempty"`
	// Routes mark calls that may not be repeated; the longest matching
	// prefix decides. Calls that match none may be repeated if their method
	// is idempotent (RFC 9110).
	Routes []Route `json:"routes,omitempty"`
}

// Route says whether calls may be repeated.
type Route struct {
	Method     string `json:"method,omitempty"` // empty means any
	Prefix     string `json:"prefix"`
	Repeatable bool   `json:"repeatable"`
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
