package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/pflag"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/lab/bench"
	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/node"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

const (
	fleetRegion  = "region-1"
	fleetEngines = 16
	fleetCells   = 8
	readyWait    = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	peerBytes    = "knapweedgw_peer_bytes_total"
)

// fleet is a number of whole nodes in this process, before engines that
// answer at a set pace, with the platform's stand-in.
type fleet struct {
	platform *platform.Platform
	server   *httptest.Server
	nodes    []*kernel.Kernel
	urls     []string
	stops    []func()
}

func newFleet(ctx context.Context, nodes int, engine http.Handler) (*fleet, error) {
	f := &fleet{platform: platform.New()}
	f.server = httptest.NewServer(f.platform.Handler())
	done := make(chan struct{})
	go f.platform.Run(done)
	f.stops = append(f.stops, f.server.Close, func() { close(done) })
	if err := f.addEngines(engine); err != nil {
		return f, err
	}
	if err := f.writeSettings(ctx); err != nil {
		return f, err
	}
	for i := range nodes {
		if err := f.addNode(ctx, i); err != nil {
			return f, err
		}
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) addEngines(h http.Handler) error {
	for i := range fleetEngines {
		addr, stop, err := bench.Serve(h)
		if err != nil {
			return err
		}
		f.stops = append(f.stops, stop)
		f.platform.PutVM(vmlist.VM{
			ID: fmt.Sprintf("engine-%d", i), Role: vmlist.RoleEngine, Addr: addr, Pool: bench.Model,
			Region: fleetRegion, FailureDomain: domain(i), State: vmlist.StateLive, Incarnation: 1,
		})
	}
	return nil
}

func (f *fleet) writeSettings(ctx context.Context) error {
	raw, err := json.Marshal(settings.Team{
		Workspaces: map[string]settings.Workspace{"w": {KeysSHA256: []string{settings.KeyDigest(bench.APIKey)}}},
		Models:     map[string]settings.Model{bench.Model: {Cells: fleetCells}},
	})
	if err != nil {
		return err
	}
	_, _, err = f.platform.Store().Commit(ctx, store.Txn{Ops: []store.Op{{Key: settings.TeamKey("bench"), Value: raw}}})
	return err
}

func (f *fleet) addNode(ctx context.Context, i int) error {
	listen, err := freeAddr()
	if err != nil {
		return err
	}
	peerAddr, err := freeAddr()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("node-%d", i)
	cfg := config.BindFlags(pflag.NewFlagSet(id, pflag.ContinueOnError))
	cfg.NodeID, cfg.Region, cfg.FailureDomain = id, fleetRegion, domain(i)
	cfg.Listen, cfg.PeerListen = listen, peerAddr
	cfg.StoreEndpoints, cfg.VMListURL = []string{f.server.URL}, f.server.URL+"/v1/vms"
	cfg.LogLevel, cfg.DrainGrace = "error", 0
	k, err := node.New(cfg, io.Discard)
	if err != nil {
		return err
	}
	f.platform.PutVM(vmlist.VM{
		ID: id, Role: vmlist.RoleNode, Addr: listen, PeerAddr: peerAddr, Region: fleetRegion,
		FailureDomain: domain(i), State: vmlist.StateLive, Incarnation: cfg.IncarnationTime.UnixNano(),
	})
	f.nodes = append(f.nodes, k)
	f.urls = append(f.urls, "http://"+listen)
	return k.Start(ctx)
}

func domain(i int) string { return fmt.Sprintf("domain-%d", i%3) }

func (f *fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyWait)
	for _, url := range f.urls {
		for !ready(ctx, url) {
			if time.Now().After(deadline) {
				return errors.Newf("capacity: node %s not ready", url)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// sent returns the payload bytes that the nodes have sent each other.
func (f *fleet) sent(ctx context.Context) (float64, error) {
	total := 0.0
	for _, url := range f.urls {
		n, err := scrapeSent(ctx, url)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

func scrapeSent(ctx context.Context, url string) (float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0, err
	}
	for _, m := range families[peerBytes].GetMetric() {
		if strings.Contains(m.String(), `"out"`) {
			return m.GetCounter().GetValue(), nil
		}
	}
	return 0, nil
}

func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), readyWait)
	defer cancel()
	for _, k := range f.nodes {
		_ = k.Stop(ctx)
	}
	for _, s := range f.stops {
		s()
	}
}
