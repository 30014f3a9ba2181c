package doccheck

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/pflag"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/node"
	"github.com/knapweedgw/knapweedgw/platform"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/telemetry"
)

// fqName matches the name in the text form of a prometheus.Desc, which has no accessor for it.
var fqName = regexp.MustCompile(`fqName: "([^"]+)"`)

// operationsPage returns the text of the operators' page.
func operationsPage(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	is.New(t).NoErr(err)
	return string(raw)
}

func TestEveryReasonIsListed(t *testing.T) {
	text := operationsPage(t)
	for _, r := range problem.Reasons() {
		if !strings.Contains(text, "`"+string(r)+"`") {
			t.Errorf("docs/OPERATIONS.md: refusal reason %s is missing", r)
		}
	}
}

func TestEveryMetricIsListed(t *testing.T) {
	text := operationsPage(t)
	for name := range metrics(t) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("docs/OPERATIONS.md: metric %s is missing", name)
		}
	}
}

// metrics returns the names of the metrics that a node registers, without those of client libraries,
// and of the metrics of a router node.
func metrics(t *testing.T) map[string]bool {
	t.Helper()
	is := is.New(t)
	cfg := config.BindFlags(pflag.NewFlagSet("node", pflag.ContinueOnError))
	cfg.NodeID, cfg.Region, cfg.FailureDomain = "node-1", "region-1", "domain-1"
	cfg.StoreEndpoints, cfg.VMListURL = []string{"http://127.0.0.1:1"}, "http://127.0.0.1:1/v1/vms"
	k, err := node.New(cfg, io.Discard)
	is.NoErr(err)
	reg, err := kernel.Lookup[prometheus.Collector](k, telemetry.ServiceID)
	is.NoErr(err)
	descs := make(chan *prometheus.Desc)
	go func() {
		reg.Describe(descs)
		close(descs)
	}()
	names := make(map[string]bool)
	for d := range descs {
		name := fqName.FindStringSubmatch(d.String())[1]
		if strings.HasPrefix(name, telemetry.Namespace) {
			names[name] = true
		}
	}
	for name := range routerMetrics(t) {
		names[name] = true
	}
	return names
}

// routerMetrics returns the names of the metrics that a router node registers.
func routerMetrics(t *testing.T) map[string]bool {
	t.Helper()
	cfg := &config.RouterNode{
		NodeID: "node-1", Listen: "127.0.0.1:1", ReadyListen: "127.0.0.1:2", PeerListen: "127.0.0.1:3",
		StoreAddr: "127.0.0.1:4", ShutdownGrace: time.Second, RetryWindow: time.Second,
	}
	reg := prometheus.NewRegistry()
	telemetry.NewAsyncWriter(io.Discard, reg)
	_, err := node.NewRouter(cfg, platform.NewAdapter("", cfg).Platform(cfg), io.Discard, reg)
	is.New(t).NoErr(err)
	descs := make(chan *prometheus.Desc)
	go func() {
		reg.Describe(descs)
		close(descs)
	}()
	names := make(map[string]bool)
	for d := range descs {
		names[fqName.FindStringSubmatch(d.String())[1]] = true
	}
	return names
}

func TestEveryFlagIsListed(t *testing.T) {
	text := operationsPage(t)
	fs := pflag.NewFlagSet("node", pflag.ContinueOnError)
	config.BindFlags(fs)
	fs.VisitAll(func(f *pflag.Flag) {
		if !strings.Contains(text, "`--"+f.Name+"`") {
			t.Errorf("docs/OPERATIONS.md: flag --%s is missing", f.Name)
		}
	})
}
