package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/knapweedgw/knapweedgw/lab/platform"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// The quantities of reading the platform's VM list.
const (
	VMListChangedBytes   Quantity = "vm_list_read_bytes_changed"
	VMListUnchangedBytes Quantity = "vm_list_read_bytes_unchanged"
	VMListCPU            Quantity = "vm_list_read_cpu_changed"
)

// VMList measures reads of the VM list by the number of VMs, client and
// stand-in together.
type VMList struct{}

// Name implements Probe.
func (VMList) Name() string { return "vmlist" }

// Measure implements Probe.
func (VMList) Measure(ctx context.Context) ([]Slope, error) {
	sizes := []int{30, 800, 2000, 5870}
	bytesOf := func(warm bool) func(int) (float64, error) {
		return func(n int) (float64, error) { return listBytes(ctx, n, warm) }
	}
	changed, err := sweep(VMListChangedBytes, "VMs", "B", sizes, bytesOf(false))
	if err != nil {
		return nil, err
	}
	unchanged, err := sweep(VMListUnchangedBytes, "VMs", "B", sizes, bytesOf(true))
	if err != nil {
		return nil, err
	}
	cpu, err := sweep(VMListCPU, "VMs", "ns", sizes, func(n int) (float64, error) { return decodeCPU(n) })
	return []Slope{changed, unchanged, cpu}, err
}

// listBytes returns the body bytes of one read. A warm client has read the
// same list before.
func listBytes(ctx context.Context, n int, warm bool) (float64, error) {
	p := platform.New()
	for i := range n {
		p.PutVM(sampleVM(i))
	}
	var sent atomic.Int64
	server := httptest.NewServer(countBody(p.Handler(), &sent))
	defer server.Close()
	c := vmlist.NewClient(server.URL+"/v1/vms", time.Minute)
	if warm {
		if _, err := c.Fetch(ctx); err != nil {
			return 0, err
		}
		sent.Store(0)
	}
	_, err := c.Fetch(ctx)
	return float64(sent.Load()), err
}

func decodeCPU(n int) (float64, error) {
	var list vmlist.List
	for i := range n {
		list.VMs = append(list.VMs, sampleVM(i))
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return 0, err
	}
	return perOp(cpuSample, func() {
		var l vmlist.List
		_ = json.NewDecoder(strings.NewReader(string(raw))).Decode(&l)
	}), nil
}

func sampleVM(i int) vmlist.VM {
	return vmlist.VM{
		ID: fmt.Sprintf("engine-%d", i), Role: vmlist.RoleEngine,
		Addr: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&0xff, i&0xff),
		Pool: fmt.Sprintf("model-%d", i%Models), FailureDomain: fmt.Sprintf("domain-%d", i%FailureDomains),
		Region: fmt.Sprintf("region-%d", i%Regions), State: vmlist.StateLive, Incarnation: 1_760_000_000_000_000_000 + int64(i),
	}
}

func countBody(h http.Handler, n *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&countingWriter{w, n}, r)
	})
}

type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.n.Add(int64(n))
	return n, err
}
