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

// TestIssuer ends or freezes the node that issues a pool's orders, asks for
// another version, and lets a frozen one wake. The other node brings it about,
// and no engine applies an order of the old term after one of the new.
func TestIssuer(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for leases to lapse")
	}
	cases := []struct {
		name    string
		fencing settings.Fencing
		fail    func(*gateway)
		wakes   bool
	}{
		{"killed", settings.FencingChecked, func(n *gateway) { n.kill() }, false},
		{"frozen, then wakes", settings.FencingIgnored, func(n *gateway) { n.signal(syscall.SIGSTOP) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 0, 2)
			for i := range 2 {
				f.nodes = append(f.nodes, f.startNode(t, fmt.Sprint("node-", i), "--duty-ttl", "3s"))
			}
			f.ignoreFencing(t, tc.fencing)
			f.order(t, "1", tc.fencing)
			first := f.issuer(t, "")
			f.awaitVersion(t, "1")
			tc.fail(first)
			f.order(t, "2", tc.fencing)
			second := f.issuer(t, first.id)
			f.awaitVersion(t, "2")
			is.True(second.id != first.id)
			if tc.wakes {
				first.signal(syscall.SIGCONT)
			}
			f.order(t, "3", tc.fencing)
			f.awaitVersion(t, "3")
			for _, url := range f.engineURLs {
				is.True(inOrder(journal(t, url))) // fencing numbers never go back
			}
		})
	}
}

// ignoreFencing sets the kind of the engines.
func (f *fleet) ignoreFencing(t *testing.T, kind settings.Fencing) {
	t.Helper()
	faults := fmt.Sprintf(`{"ignore_fencing":%t}`, kind == settings.FencingIgnored)
	for _, url := range f.engineURLs {
		eventually(t, "switch is set", func() bool { return send("PUT", url+"/lab/orders/faults", faults) })
	}
}

// order asks for a version of the model.
func (f *fleet) order(t *testing.T, version string, kind settings.Fencing) {
	t.Helper()
	doc := fmt.Sprintf(`{"models":{%q:{"version":%q,"fencing":%q}},"services":{%q:{}}}`, model, version, kind, works)
	file := filepath.Join(t.TempDir(), "team.json")
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, "knapweedgw", "settings", "set", "renovacion", file, "--store", f.platformURL)
	if p.exitCode(t) != 0 {
		t.Fatal(p.out.String())
	}
}

// issuer waits until a node other than the one given holds the pool's duty.
func (f *fleet) issuer(t *testing.T, not string) (holder *gateway) {
	t.Helper()
	s := etcd.New([]string{f.platformURL}, patience)
	eventually(t, "there is an issuer", func() bool {
		kv, ok, err := s.Get(t.Context(), lease.Key(orders.LeaseName(region, model)))
		if err != nil || !ok {
			return false
		}
		rec, err := lease.ParseRecord(kv)
		for _, n := range f.nodes {
			if err == nil && n.id == rec.Holder && n.id != not {
				holder = n
			}
		}
		return holder != nil
	})
	return holder
}

func (f *fleet) awaitVersion(t *testing.T, version string) {
	t.Helper()
	for _, url := range f.engineURLs {
		eventually(t, url+" has version "+version, func() bool {
			var s orders.State
			return getJSON(url+orders.StatePath, &s) == nil && s.Current.Version == version
		})
	}
}

func journal(t *testing.T, url string) []orderstest.AppliedOrder {
	t.Helper()
	var entries []orderstest.AppliedOrder
	if err := getJSON(url+"/lab/orders/journal", &entries); err != nil {
		t.Fatal(err)
	}
	return entries
}

func inOrder(entries []orderstest.AppliedOrder) bool {
	for i := 1; i < len(entries); i++ {
		if entries[i].Order.Fence < entries[i-1].Order.Fence {
			return false
		}
	}
	return len(entries) > 0
}

func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out)
}
