package fleettest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/lease"
	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/orders/orderstest"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/store/etcd"
)

// TestIssuer kills or freezes the node that issues a pool's orders, changes the version in the
// settings, and resumes the frozen node. The other node takes over and the engines reach the new
// version; no engine applies an order with an older fencing number after one with a newer.
func TestIssuer(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for leases to expire")
	}
	cases := []struct {
		name    string
		fencing settings.Fencing
		fail    func(*nodeProcess)
		resumes bool
	}{
		{"killed", settings.FencingChecked, func(n *nodeProcess) { n.kill() }, false},
		{"frozen, then resumed", settings.FencingIgnored, func(n *nodeProcess) { n.signal(syscall.SIGSTOP) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 0, 2)
			for i := range 2 {
				f.nodes = append(f.nodes, f.startNode(t, fmt.Sprint("node-", i), "--duty-ttl", "3s"))
			}
			f.setFencing(t, tc.fencing)
			f.putVersion(t, "1", tc.fencing)
			first := f.awaitIssuer(t, "")
			f.awaitVersion(t, "1")
			tc.fail(first)
			f.putVersion(t, "2", tc.fencing)
			second := f.awaitIssuer(t, first.id)
			f.awaitVersion(t, "2")
			is.True(second.id != first.id)
			if tc.resumes {
				first.signal(syscall.SIGCONT)
			}
			f.putVersion(t, "3", tc.fencing)
			f.awaitVersion(t, "3")
			for _, url := range f.engineURLs {
				is.True(fencesNeverDecrease(journal(t, url)))
			}
		})
	}
}

// setFencing sets whether the engines check fencing numbers.
func (f *fleet) setFencing(t *testing.T, kind settings.Fencing) {
	t.Helper()
	faults := fmt.Sprintf(`{"ignore_fencing":%t}`, kind == settings.FencingIgnored)
	for _, url := range f.engineURLs {
		eventually(t, "the fault switch is set", func() bool { return sendOK("PUT", url+"/lab/orders/faults", faults) })
	}
}

// putVersion writes the team's settings with a version of the model.
func (f *fleet) putVersion(t *testing.T, version string, kind settings.Fencing) {
	t.Helper()
	doc := fmt.Sprintf(`{"models":{%q:{"version":%q,"fencing":%q}},"services":{%q:{}}}`, model, version, kind, service)
	file := filepath.Join(t.TempDir(), "team.json")
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "knapweedgw", "settings", "set", "renovacion", file, "--store", f.platformURL)
	if p.exitCode(t) != 0 {
		t.Fatal(p.out.String())
	}
}

// awaitIssuer waits until a node other than except holds the lease for the pool's orders, and
// returns it.
func (f *fleet) awaitIssuer(t *testing.T, except string) (holder *nodeProcess) {
	t.Helper()
	s := etcd.New([]string{f.platformURL}, conditionTimeout)
	eventually(t, "a node holds the lease", func() bool {
		kv, ok, err := s.Get(t.Context(), lease.Key(orders.LeaseName(region, model)))
		if err != nil || !ok {
			return false
		}
		rec, err := lease.ParseRecord(kv)
		for _, n := range f.nodes {
			if err == nil && n.id == rec.Holder && n.id != except {
				holder = n
			}
		}
		return holder != nil
	})
	return holder
}

// awaitVersion waits until every engine runs the version.
func (f *fleet) awaitVersion(t *testing.T, version string) {
	t.Helper()
	for _, url := range f.engineURLs {
		eventually(t, url+" runs version "+version, func() bool {
			var s orders.State
			return getJSON(url+orders.StatePath, &s) == nil && s.Current.Version == version
		})
	}
}

// journal returns the orders that an engine applied, oldest first.
func journal(t *testing.T, url string) []orderstest.AppliedOrder {
	t.Helper()
	var entries []orderstest.AppliedOrder
	if err := getJSON(url+"/lab/orders/journal", &entries); err != nil {
		t.Fatal(err)
	}
	return entries
}

// fencesNeverDecrease reports whether there are entries and their fencing numbers never decrease.
func fencesNeverDecrease(entries []orderstest.AppliedOrder) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].Order.Fence < entries[i-1].Order.Fence {
			return false
		}
	}
	return len(entries) > 0
}

// getJSON decodes the JSON response to a GET of url into out.
func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
