// Package catalog holds the operators' configuration of the gateway: routes, services,
// workspaces and limits. A Catalog is immutable; a newer version replaces it as a whole.
package catalog

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/warmup"
)

// Kind defines whether requests of a route may run more than once.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They run at most once unless the
	// route is Resumable.
	Streaming
)

// Backend is one of the services among which a route splits its requests.
type Backend struct {
	Service string
	Weight  int
}

// Route configures the requests for a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout is the longest time that a caller waits for an answer; 0 for no limit.
	Timeout time.Duration
	// MaxGap is the longest pause between two events of a stream that the operators allow; 0 if not
	// configured.
	MaxGap time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority    int
	Backends    []Backend
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// PromptRouting routes carry prompts whose common parts engines cache.
	PromptRouting bool
	// Resumable streams may continue at another target after their last event.
	Resumable bool
	// Regions are the regions whose targets may serve the requests.
	Regions Regions
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a pool of targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections to one target, from all callers
	// together.
	MaxConnections int
	// ModelEngine means that the targets are model engines, which can fetch cached prompt parts
	// from each other.
	ModelEngine bool
	// WarmUp limits the load of a target that has just started.
	WarmUp warmup.Limit
}

// Workspace is a customer's group of callers.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions whose targets may serve its requests. Those of the route apply as
	// well.
	Regions Regions
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Spec is the decoded configuration from which a Catalog is built.
type Spec struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Catalog is one version of the configuration, indexed for lookups.
type Catalog struct {
	version      int64
	routes       map[string]*Route // by host and prefix
	services     map[string]*Service
	workspaces   map[string]*Workspace // by key
	keysRequired bool                  // requests need a key
	limits       Limits
	traffic      map[string]Traffic // by service
}

// Traffic summarizes the routes to a service.
type Traffic struct {
	// PromptRouting means that one of the routes has PromptRouting set.
	PromptRouting bool
	// Priorities are the highest and the lowest priority of the routes.
	Priorities [2]int
	// Routes is their number.
	Routes int
}

// HasPriorities reports whether the routes have more than one priority.
func (t Traffic) HasPriorities() bool { return t.Priorities[0] != t.Priorities[1] }

// ErrInvalid is the error of a configuration that can't be used. The previous one stays in
// force.
var ErrInvalid = errors.New("catalog: invalid configuration; mend the named field and write it again")

// New validates and indexes a configuration. Its errors wrap ErrInvalid.
func New(c Spec) (*Catalog, error) {
	out := &Catalog{
		version:      c.Version,
		routes:       make(map[string]*Route, len(c.Routes)),
		services:     make(map[string]*Service, len(c.Services)),
		workspaces:   make(map[string]*Workspace),
		keysRequired: len(c.Workspaces) > 0,
		limits:       c.Limits,
		traffic:      make(map[string]Traffic),
	}
	for i := range c.Services {
		out.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := out.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			out.workspaces[key] = &c.Workspaces[i]
		}
	}
	return out, nil
}

func (c *Catalog) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Wrapf(ErrInvalid, "route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Backends) == 0 {
		return errors.Wrapf(ErrInvalid, "route %q: no service", r.Name)
	}
	c.routes[routeKey(r.Host, r.Prefix)] = r
	for _, b := range r.Backends {
		c.traffic[b.Service] = c.traffic[b.Service].with(r)
	}
	return nil
}

// with returns t with another route to the service.
func (t Traffic) with(r *Route) Traffic {
	t.PromptRouting = t.PromptRouting || r.PromptRouting
	if t.Routes == 0 {
		t.Priorities = [2]int{r.Priority, r.Priority}
	}
	t.Priorities = [2]int{min(t.Priorities[0], r.Priority), max(t.Priorities[1], r.Priority)}
	t.Routes++
	return t
}

func routeKey(host, prefix string) string { return strings.ToLower(host) + prefix }

// Version returns the operators' version number of this configuration; versions only increase.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits of requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Counts returns the numbers of routes and services.
func (c *Catalog) Counts() (routes, services int) { return len(c.routes), len(c.services) }

// Match returns the route of the host with the longest prefix of path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(stripPort(host))
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := c.routes[host+path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && strings.IndexByte(host[i:], ']') < 0 {
		return host[:i]
	}
	return host
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Traffic returns the summary of the routes to a service.
func (c *Catalog) Traffic(service string) Traffic { return c.traffic[service] }

// Workspace returns the workspace that has a key.
func (c *Catalog) Workspace(key string) (*Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok
}

// RequiresKey reports whether requests need a key. They also do if workspaces exist but have
// no keys.
func (c *Catalog) RequiresKey() bool { return c.keysRequired }

// PickService returns the service for a request of the route. point is a uniformly distributed hash
// of the request, so that each service gets the share of its weight.
func (r *Route) PickService(point uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return r.Backends[0].Service
	}
	at := int(point % uint64(total))
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[len(r.Backends)-1].Service
}
