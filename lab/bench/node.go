// Package bench measures the gateway against engine stand-ins in one process:
// its own added time to the first token, the events it relays and its memory.
package bench

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/gateway"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/quarantine/gossip"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/targets"
)

// The names by which callers of a Node are known.
const (
	APIKey = "bench-key"
	Model  = "bench-lm"
)

// Node is a gateway over fixed targets.
type Node struct {
	*gateway.Gateway
	Metrics *prometheus.Registry
}

// NewNode starts a gateway on a free loopback port before the given targets,
// which it tries from the one that a chat's key picks. tune may change the
// configuration.
func NewNode(addrs []string, tune func(*config.Node)) (*Node, error) {
	cfg := &config.Node{
		Listen: "127.0.0.1:0", MaxBodyBytes: 4 << 20, BodyTimeout: 15 * time.Second,
		MaxAttempts: 3, RetryShare: 0.1, ResumeHold: 10 * time.Second, StreamHold: 250 * time.Millisecond,
	}
	if tune != nil {
		tune(cfg)
	}
	n := &Node{Metrics: prometheus.NewRegistry()}
	n.Gateway = gateway.New(cfg, log.New(io.Discard), n.Metrics)
	pool := fixedTargets{}
	for i, addr := range addrs {
		pool = append(pool, targets.Target{ID: "e" + string(rune('a'+i)), Addr: addr, Pool: Model})
	}
	guard := quarantine.NewGuard(quarantine.DefaultConfig(), time.Now, log.New(io.Discard), n.Metrics)
	k, err := kernel.New(benchSettings{}, pool, &turning{pool: pool}, alone{guard}, n.Gateway)
	if err != nil {
		return nil, err
	}
	return n, k.Start(context.Background())
}

// URL is where the node listens.
func (n *Node) URL() string { return "http://" + n.Addr() }

// alone is the guard of a node without others.
type alone struct{ guard *quarantine.Guard }

func (alone) ID() kernel.ID              { return gossip.ServiceID }
func (a alone) Guard() *quarantine.Guard { return a.guard }

type benchSettings struct{}

var benchSnapshot = settings.NewSnapshot(1, map[string]settings.Team{"bench": {
	Workspaces: map[string]settings.Workspace{"w": {KeysSHA256: []string{settings.KeyDigest(APIKey)}}},
	Models:     map[string]settings.Model{Model: {}},
}})

func (benchSettings) ID() kernel.ID                { return settings.ServiceID }
func (benchSettings) Snapshot() *settings.Snapshot { return benchSnapshot }

type fixedTargets []targets.Target

func (fixedTargets) ID() kernel.ID { return targets.ServiceID }

func (f fixedTargets) Snapshot() *targets.Snapshot {
	return &targets.Snapshot{Pools: map[string][]targets.Target{Model: f}}
}

// turning grants the targets from the one that the chat's routing key picks.
type turning struct{ pool fixedTargets }

func (*turning) ID() kernel.ID { return admission.ServiceID }

// Acquire implements admission.Admitter.
func (a *turning) Acquire(_ context.Context, r admission.Request) (admission.Grant, error) {
	first := int(r.Chat % uint64(len(a.pool)))
	for i := range a.pool {
		t := a.pool[(first+i)%len(a.pool)]
		if !slices.Contains(r.Exclude, t.ID) {
			return admission.Grant{Target: t, Release: func(admission.Result) {}}, nil
		}
	}
	return admission.Grant{}, problem.New(problem.NoTarget, problem.NotRun, "").WithRetryAfter(time.Second)
}

// Serve serves h on a free loopback port until stop is called.
func Serve(h http.Handler) (addr string, stop func(), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), func() { _ = s.Close() }, nil
}
