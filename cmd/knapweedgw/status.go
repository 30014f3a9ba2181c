package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/config"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

const (
	statusTimeout   = 3 * time.Second
	parallelQueries = 16
	revisionMetric  = "knapweedgw_settings_revision"
)

// nodeStatus is the settings revision reported by a node, or the error of the query.
type nodeStatus struct {
	addr     string
	revision int64
	err      error
}

func statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show which share of the fleet has which revision of the settings",
		Long: "Show which share of the fleet has which revision of the settings.\n" +
			"The nodes are those of --nodes, else those of the VM list.",
		Example: "  knapweedgw status --vm-list http://10.0.0.3/v1/vms\n" +
			"  knapweedgw status --nodes 10.0.1.1:8080,10.0.1.2:8080",
		Args: cobra.NoArgs,
	}
	nodes := cmd.Flags().StringSlice("nodes", nil, "ip:port of nodes' --listen")
	list := cmd.Flags().String("vm-list", "", "URL of the platform's VM list")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := config.ApplyEnv(cmd.Flags()); err != nil {
			return err
		}
		addrs, err := nodeAddrs(cmd, *nodes, *list)
		if err != nil {
			return err
		}
		return printFleet(cmd.OutOrStdout(), queryAll(addrs))
	}
	return cmd
}

func nodeAddrs(cmd *cobra.Command, nodes []string, url string) ([]string, error) {
	if len(nodes) > 0 {
		return nodes, nil
	}
	if url == "" {
		return nil, errors.New("--nodes and --vm-list are empty: give one of them")
	}
	list, err := vmlist.NewClient(url, statusTimeout).Fetch(cmd.Context())
	if err != nil {
		return nil, errors.WithHint(err, "name the nodes with --nodes while the VM list is out")
	}
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleNode {
			nodes = append(nodes, vm.Addr)
		}
	}
	return nodes, nil
}

func queryAll(addrs []string) []nodeStatus {
	out := make([]nodeStatus, len(addrs))
	client := &http.Client{Timeout: statusTimeout}
	var g errgroup.Group
	g.SetLimit(parallelQueries)
	for i, addr := range addrs {
		g.Go(func() error {
			revision, err := queryRevision(client, addr)
			out[i] = nodeStatus{addr, revision, err}
			return nil
		})
	}
	_ = g.Wait() // never fails: the errors are in the nodes' statuses
	return out
}

func queryRevision(client *http.Client, addr string) (int64, error) {
	resp, err := client.Get("http://" + addr + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return parseRevision(resp.Body)
}

func parseRevision(r io.Reader) (int64, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	family, ok := families[revisionMetric]
	if !ok || len(family.GetMetric()) == 0 {
		return 0, errors.Newf("no metric %s", revisionMetric)
	}
	return int64(family.GetMetric()[0].GetGauge().GetValue()), nil
}

func printFleet(w io.Writer, nodes []nodeStatus) error {
	byRevision := make(map[int64][]string)
	var unreachable []nodeStatus
	for _, n := range nodes {
		if n.err != nil {
			unreachable = append(unreachable, n)
			continue
		}
		byRevision[n.revision] = append(byRevision[n.revision], n.addr)
	}
	t := newTable(w)
	fmt.Fprintln(t, "REVISION\tNODES\tSHARE\tBEHIND")
	revisions := slices.SortedFunc(maps.Keys(byRevision), func(a, b int64) int { return cmp.Compare(b, a) })
	for i, r := range revisions {
		behind := ""
		if i > 0 {
			behind = strings.Join(byRevision[r], " ")
		}
		fmt.Fprintf(t, "%d\t%d\t%.1f%%\t%s\n", r, len(byRevision[r]), percent(len(byRevision[r]), len(nodes)), behind)
	}
	if len(unreachable) > 0 {
		fmt.Fprintf(t, "unknown\t%d\t%.1f%%\t\n", len(unreachable), percent(len(unreachable), len(nodes)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, n := range unreachable {
		fmt.Fprintf(w, "%s doesn't answer: %v\n", n.addr, n.err)
	}
	return nil
}

func percent(count, total int) float64 {
	const hundred = 100
	return hundred * float64(count) / float64(total)
}
