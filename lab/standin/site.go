package standin

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/node"
	"github.com/knapweedgw/knapweedgw/platform"
	"github.com/knapweedgw/knapweedgw/router"
)

// Names in the site's configuration.
const (
	Host        = "site.example"
	Key         = "key-one"
	Tenant      = "tenant-one"
	StreamPath  = "/stream/"    // a stream that must not be repeated
	ResumePath  = "/resume/"    // a stream that may be resumed on another engine
	UnsafePath  = "/unsafe/"    // a plain service, not idempotent
	SafePath    = "/safe/"      // a plain service, idempotent
	OpenPath    = "/open/"      // a plain service, no API key needed
	ModelPool   = "model-pool"  // the service of the model engines
	ServicePool = "plain-pool"  // the service of the plain servers
	LaterPath   = "/added-one/" // only in configurations changed by AddRoute
)

// Owner is what the stand-ins need of a testing.TB: a test, or a command that runs them.
type Owner interface {
	Cleanup(f func())
	Failed() bool
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Helper()
	Logf(format string, args ...any)
}

// Site is a small deployment in one process: a store, engines and router nodes.
type Site struct {
	T       Owner
	Store   *Store
	Journal *Journal
	Model   []*Engine
	Plain   []*Engine
	Nodes   []*Node
	// AdjustConfig changes the configuration of each node before it starts. WrapDialect wraps
	// its dialect, the encoding of messages to callers and engines. Each may be nil.
	AdjustConfig func(*config.RouterNode)
	WrapDialect  func(router.Dialect) router.Dialect

	version int
	// peerPort is the port on which nodes listen for each other, the same on all nodes as on
	// the platform. Sites of test processes that run concurrently use different ports.
	peerPort int
	// tunnelPort is the port on which nodes open connections to engines for each other.
	tunnelPort int
}

// Node is a router node of the site.
type Node struct {
	Config *config.RouterNode
	Logs   *Logs
	// Engines is the network between the node and all engines.
	Engines *EnginePath
	kernel  *kernel.Kernel
	once    sync.Once
}

// Logs holds the log output of a node.
type Logs struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *Logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// String returns all lines so far.
func (l *Logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// NewSite starts a store and engines, without nodes.
func NewSite(t Owner) *Site {
	s := &Site{T: t, Store: NewStore(t), Journal: NewJournal()}
	for i := range 3 {
		zone := fmt.Sprint("zone-", i)
		s.Model = append(s.Model, NewEngine(t, fmt.Sprint("i-model-", i), ModelPool, zone, s.Journal))
		s.Plain = append(s.Plain, NewEngine(t, fmt.Sprint("i-plain-", i), ServicePool, zone, s.Journal))
	}
	s.Configure()
	for _, e := range s.Engines() {
		s.Store.Put("servers/"+e.ID, e.Entry("ready"))
	}
	return s
}

// Engines returns all engines.
func (s *Site) Engines() []*Engine { return append(append([]*Engine{}, s.Model...), s.Plain...) }

// Route returns a route of the operator's configuration.
func Route(name, path, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "prefix": path, "kind": kind, "service": service,
		"timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "max_attempts": attempts,
		"allow_anonymous": false, "sticky": service == ModelPool, "stream_resume": false,
	}
}

// Configure writes the next version of the configuration to the store, modified by the changes
// in order.
func (s *Site) Configure(change ...func(cfg map[string]any)) {
	s.version += 2
	s.Store.Put("op/config", Config(s.version, change...))
}

// Version is the version of the newest configuration that Configure wrote.
func (s *Site) Version() int { return s.version }

// Config returns the operator's configuration of the site, modified by the changes in order.
func Config(version int, change ...func(cfg map[string]any)) map[string]any {
	resume := Route("resume", ResumePath, "streaming", ModelPool, 2)
	resume["stream_resume"] = true
	open := Route("open", OpenPath, "idempotent", ServicePool, 1)
	open["allow_anonymous"] = true
	cfg := map[string]any{
		"version": version,
		"routes": []any{
			Route("stream", StreamPath, "streaming", ModelPool, 1), resume,
			Route("unsafe", UnsafePath, "non_idempotent", ServicePool, 1),
			Route("safe", SafePath, "idempotent", ServicePool, 2), open,
		},
		"services": []any{
			map[string]any{"name": ModelPool, "health_path": "/healthz", "max_connections": 100, "engine": map[string]any{"slots": 8}},
			map[string]any{"name": ServicePool, "health_path": "/healthz", "max_connections": 100},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": []string{Key, "key-two"}, "priority": 2}},
	}
	for _, f := range change {
		f(cfg)
	}
	return cfg
}

// AddRoute is a change to a configuration that adds a route for LaterPath.
func AddRoute(cfg map[string]any) {
	cfg["routes"] = append(cfg["routes"].([]any), Route("later", LaterPath, "idempotent", ServicePool, 1))
}

// Start starts n nodes and waits until they are ready. Node i has the IP 127.0.0.(i+2).
func (s *Site) Start(n int) {
	s.peerPort, s.tunnelPort = freePort(s.T, n), freePort(s.T, n)
	for i := range n {
		s.Nodes = append(s.Nodes, s.startNode(i, n))
	}
	for _, node := range s.Nodes {
		s.Eventually("node is ready", node.Ready)
	}
}

// AwaitRetrySlack waits until all nodes of a site that has just been started know that their fleet is new, so that
// they may use the slack of the retry budgets before they have run for a whole window.
func (s *Site) AwaitRetrySlack() {
	for _, node := range s.Nodes {
		s.Eventually("node knows that the fleet is new", func() bool {
			return strings.Contains(node.Logs.String(), `"msg":"fleet is new`)
		})
	}
}

// Grace is the time from SIGTERM to SIGKILL of a node.
const Grace = 3 * time.Second

func (s *Site) startNode(i, n int) *Node {
	peers := make([]string, n)
	for j := range peers {
		peers[j] = net.JoinHostPort(nodeIP(j), strconv.Itoa(s.peerPort))
	}
	ip := nodeIP(i)
	cfg := &config.RouterNode{
		NodeID: fmt.Sprint("node-", i), Region: "region", FailureDomain: fmt.Sprint("zone-", i%3),
		Listen: FreeAddr(s.T, ip), ReadyListen: FreeAddr(s.T, ip), PeerListen: peers[i], Seeds: peers,
		TunnelListen: net.JoinHostPort(ip, strconv.Itoa(s.tunnelPort)),
		StoreAddr:    s.Store.Addr(), ShutdownGrace: Grace, RetryShare: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 50,
	}
	if s.AdjustConfig != nil {
		s.AdjustConfig(cfg)
	}
	if err := cfg.Validate(); err != nil {
		s.T.Fatal(err)
	}
	logs := &Logs{}
	p := platform.NewAdapter("", cfg).Platform(cfg)
	p.Store = platform.NewStoreWithLocalIP(cfg.StoreAddr, ip)
	if s.WrapDialect != nil {
		p.Dialect = s.WrapDialect(p.Dialect)
	}
	path := NewEnginePath()
	p.DialTarget = path.Dial
	k, err := node.NewRouter(cfg, p, logs, prometheus.NewRegistry())
	if err != nil {
		s.T.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		s.T.Fatal(err)
	}
	started := &Node{Config: cfg, Logs: logs, Engines: path, kernel: k}
	s.T.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		started.Stop(ctx)
		if s.T.Failed() {
			s.T.Logf("%s:\n%s", cfg.NodeID, logs.String())
		}
	})
	return started
}

// nodeIP returns the IP of the i-th node of a site.
func nodeIP(i int) string { return fmt.Sprintf("127.0.0.%d", i+2) }

// Restart stops a node without a grace period and starts it again, at new addresses for callers.
func (s *Site) Restart(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Nodes[i].Stop(ctx)
	s.Nodes[i] = s.startNode(i, len(s.Nodes))
	s.Eventually("node is ready again", s.Nodes[i].Ready)
}

// StopAll stops all nodes at once, without a grace period.
func (s *Site) StopAll() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range s.Nodes {
		n.Stop(ctx)
	}
	s.Nodes = nil
}

// Stop stops the node; further calls do nothing. The end of ctx ends the grace period.
func (n *Node) Stop(ctx context.Context) {
	n.once.Do(func() { _ = n.kernel.Stop(ctx) })
}

// Ready reports whether the node is ready.
func (n *Node) Ready() bool { return Ready(n.Config.ReadyListen) }

// Ready reports whether the node at addr is ready, by the request that the platform's load
// balancer sends.
func Ready(addr string) bool {
	resp, err := http.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitTimeout bounds waits for a condition that never holds; no test result depends on its
// length.
const waitTimeout = 20 * time.Second

// Eventually waits until f returns true. It fails the test after waitTimeout.
func (s *Site) Eventually(what string, f func() bool) {
	s.T.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.T.Fatalf("condition not met in time: %s", what)
}
