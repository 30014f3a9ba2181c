package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/load"
	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/lab/service"
	"github.com/knapweedgw/knapweedgw/lab/standin"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// Names and sizes of the fleet of nodes with the callers' own interface (knapweedgw serve).
const (
	ownRegion  = "region"
	ownDomain  = "zone-0"
	ownModel   = "model"
	ownService = "service"
	ownKey     = "own-key"
	ownTargets = 3
	ownTurns   = 3
	ownTokens  = 60
	ownThink   = 30 * time.Millisecond
	ownTries   = 8
	// ownGrace is the time from SIGTERM to SIGKILL. It is long because these nodes complete every
	// request in progress, however long that takes, before they exit.
	ownGrace = 30 * time.Second
)

// ownRun is the state of one soak run of nodes with the callers' own interface.
type ownRun struct {
	Options
	host     standin.Owner
	platform *platform.Platform
	url      string
	services []*service.Service
	cfg      load.Config
	nodes    []*process
	report   *Report
}

func runOwn(ctx context.Context, host standin.Owner, o Options) (*Report, error) {
	r, err := newOwnRun(ctx, host, o)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(r.nodes, ownReady); err != nil {
		return nil, err
	}
	r.report.Steps = NewPlan(o.Seed, o.Length, o.Profile)
	ctx, cancel := context.WithTimeout(ctx, o.Length)
	defer cancel()
	played := make(chan struct{})
	go func() {
		defer close(played)
		play(ctx, r.report.Steps, r.step)
	}()
	for ctx.Err() == nil {
		if err := r.load(context.WithoutCancel(ctx)); err != nil {
			return nil, err
		}
	}
	<-played
	if err := awaitReady(r.nodes, ownReady); err != nil {
		r.report.broken("%v", err)
	}
	r.report.addExits(r.nodes)
	return r.report, nil
}

func newOwnRun(ctx context.Context, host standin.Owner, o Options) (*ownRun, error) {
	r := &ownRun{Options: o, host: host, platform: platform.New(), report: &Report{Seed: o.Seed}}
	done := make(chan struct{})
	host.Cleanup(func() { close(done) })
	go r.platform.Run(done)
	r.url = r.serve(r.platform.Handler())
	r.cfg = load.Config{
		Keys: []string{ownKey}, Model: ownModel, Service: ownService, Chats: o.Callers, Turns: ownTurns,
		MaxTokens: ownTokens, Think: ownThink, Seed: o.Seed, Notices: 0.3, Resend: 0.2, MaxTries: ownTries,
		MaxRetryAfter: time.Second, Window: time.Second, UnderFaults: true,
	}
	r.startTargets(ctx)
	if err := r.putSettings(); err != nil {
		return nil, err
	}
	for i := range o.Nodes {
		p := r.newNode(i)
		r.nodes = append(r.nodes, p)
		r.cfg.Nodes = append(r.cfg.Nodes, "http://"+p.front)
	}
	return r, nil
}

// serve serves h until the run ends, and returns its URL.
func (r *ownRun) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.host.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

func (r *ownRun) startTargets(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	r.host.Cleanup(cancel)
	for i := range ownTargets {
		incarnation := time.Now().UnixNano()
		e := engine.New(engine.Config{
			ID: fmt.Sprint("engine-", i), Step: 3 * time.Millisecond, Batch: 32, CacheTokens: 200_000,
			PrefillRate: 50_000, Hold: time.Minute, Incarnation: incarnation,
		})
		go e.Run(ctx)
		url := r.serve(e.Handler())
		r.cfg.Engines = append(r.cfg.Engines, url)
		r.putVM(vmlist.RoleEngine, fmt.Sprint("engine-", i), url, ownModel, incarnation)

		s := service.New(fmt.Sprint("service-", i))
		r.services = append(r.services, s)
		url = r.serve(s.Handler())
		r.cfg.Services = append(r.cfg.Services, url)
		r.putVM(vmlist.RoleService, fmt.Sprint("service-", i), url, ownService, incarnation)
	}
}

func (r *ownRun) putVM(role vmlist.Role, id, url, pool string, incarnation int64) {
	r.platform.PutVM(vmlist.VM{
		ID: id, Role: role, Addr: url[len("http://"):], Pool: pool, FailureDomain: ownDomain, Region: ownRegion,
		State: vmlist.StateLive, Incarnation: incarnation,
	})
}

// putSettings writes the settings of the fleet's only team with the command that operators use.
func (r *ownRun) putSettings() error {
	raw, err := json.Marshal(map[string]any{
		"models": map[string]any{ownModel: map[string]any{}}, "services": map[string]any{ownService: map[string]any{}},
		"workspaces": map[string]any{"ws": map[string]any{"keys_sha256": []string{settings.KeyDigest(ownKey)}}},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(r.Dir, "team.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	out, err := exec.Command(r.Program, "settings", "set", "team", file, "--store", r.url).CombinedOutput()
	if err != nil {
		return fmt.Errorf("settings: %w: %s", err, out)
	}
	return nil
}

func (r *ownRun) newNode(i int) *process {
	ip := nodeIP(r.Seed, i)
	p := &process{
		name: fmt.Sprint("node-", i), grace: ownGrace, logs: filepath.Join(r.Dir, fmt.Sprint("node-", i, ".log")),
		front: standin.FreeAddr(r.host, ip),
	}
	p.ready = p.front
	peer := standin.FreeAddr(r.host, ip)
	p.command = func() (*exec.Cmd, error) {
		r.platform.PutVM(vmlist.VM{
			ID: p.name, Role: vmlist.RoleNode, Addr: p.front, PeerAddr: peer, FailureDomain: ownDomain, Region: ownRegion,
			State: vmlist.StateLive, Incarnation: time.Now().UnixNano(),
		})
		return exec.Command(r.Program, "serve", "--node-id", p.name, "--region", ownRegion,
			"--failure-domain", ownDomain, "--listen", p.front, "--peer-listen", peer,
			"--store", r.url, "--vm-list", r.url+"/v1/vms"), nil
	}
	return p
}

// ownReady reports whether a node is ready: it accepts connections and /readyz returns 200, as the
// platform's load balancer checks it.
func ownReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	resp, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *ownRun) stop() {
	for _, n := range r.nodes {
		n.stop()
	}
}

// load has callers send chats and notices, and adds the results to the report.
func (r *ownRun) load(ctx context.Context) error {
	r.cfg.Seed++
	result, err := load.New(r.cfg).Run(ctx)
	if err != nil {
		return err
	}
	r.report.Requests += result.Requests
	r.report.Whole += result.Whole
	r.report.Refused += result.Refused
	r.report.Failed += result.Failed + result.Unanswered
	r.report.Cut += result.Lost
	for what, n := range map[string]int{
		"another caller's answer": result.Wrong, "run more than once": result.Doubled,
		"told that they were not run, and run": result.FalseNotRun,
	} {
		if n > 0 {
			r.report.broken("%d requests of the load with seed %d: %s", n, r.cfg.Seed, what)
		}
	}
	return nil
}

func (r *ownRun) step(s Step) {
	n := r.nodes[s.Which%len(r.nodes)]
	switch s.Kind {
	case Term:
		r.must(n.restart(syscall.SIGTERM))
	case Kill:
		r.must(n.restart(syscall.SIGKILL))
	case Freeze:
		n.freeze(s.For)
	case StoreBusy:
		r.platform.SetFaults(platform.Faults{Outage: true})
		time.Sleep(s.For)
		r.platform.SetFaults(platform.Faults{})
	case StoreWatchStall:
		r.platform.SetFaults(platform.Faults{CompactNow: true, CutWatchesNow: true, LoseEvery: 2})
		time.Sleep(s.For)
		r.platform.SetFaults(platform.Faults{})
	case TargetFault:
		e := r.services[s.Which%len(r.services)]
		e.SetFaults(ownFaults[s.Variant%len(ownFaults)])
		time.Sleep(s.For)
		e.SetFaults(service.Faults{})
	}
}

// ownFaults are the faults that a service may show.
var ownFaults = []service.Faults{
	{RefuseEvery: 2}, {DropEvery: 2}, {LoseEvery: 2}, {CutEvery: 2}, {DelayBeforeMS: 500}, {DelayMS: 500},
}

func (r *ownRun) must(err error) {
	if err != nil {
		r.host.Fatal(err)
	}
}
