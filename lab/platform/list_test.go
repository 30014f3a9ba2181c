package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/vmlist"
)

// readIDs reads the list and returns its version and the concatenated IDs.
func readIDs(t *testing.T, l *vmListHistory) (int64, string) {
	t.Helper()
	list, _, ok := l.read()
	is.New(t).True(ok)
	var out []byte
	for _, vm := range list.VMs {
		out = append(out, vm.ID...)
	}
	return list.Version, string(out)
}

func TestVMListFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		want   [2]string // version and IDs of two successive reads
	}{
		"healthy":                   {Faults{}, [2]string{"3 abc", "3 abc"}},
		"lag of one":                {Faults{VMListLagMS: 1500}, [2]string{"2 ab", "2 ab"}},
		"lag before first list":     {Faults{VMListLagMS: 60_000}, [2]string{"0 ", "0 "}},
		"lagging replica":           {Faults{VMListBack: 1}, [2]string{"3 abc", "2 ab"}},
		"lagging before first list": {Faults{VMListBack: 9}, [2]string{"3 abc", "0 "}},
		"hidden":                    {Faults{VMListHide: []string{"b"}}, [2]string{"3 ac", "3 ac"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, c := newTest()
			for _, id := range []string{"a", "b", "c"} {
				c.Advance(time.Second)
				p.PutVM(vmlist.VM{ID: id})
			}
			c.Advance(time.Second)
			p.SetFaults(tt.faults)
			for _, want := range tt.want {
				version, got := readIDs(t, p.vmList)
				is.New(t).Equal(fmt.Sprint(version, " ", got), want)
			}
		})
	}
}

// TestVMListClientSeesFaults checks that a client with a cache sees hidden VMs disappear and
// reappear although the version stays the same: the entity tag includes the hidden IDs.
func TestVMListClientSeesFaults(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, _ := newTest()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	source := vmlist.NewClient(srv.URL+"/v1/vms", time.Minute)
	p.PutVM(vmlist.VM{ID: "a"})
	p.PutVM(vmlist.VM{ID: "b"})
	for _, faults := range []Faults{{}, {VMListHide: []string{"a"}}, {}} {
		p.SetFaults(faults)
		list, err := source.Fetch(ctx)
		is.NoErr(err)
		is.Equal(len(list.VMs), 2-len(faults.VMListHide)) // the entity tag differs
	}
	p.SetFaults(Faults{VMListOutage: true})
	_, err := source.Fetch(ctx)
	is.True(err != nil)
}

// TestVMListHistoryIsBounded checks that old lists are dropped and that a reader that lags further
// than the history gets the oldest list kept.
func TestVMListHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	p, _ := newTest()
	p.vmList.change(func(vms map[string]vmlist.VM) {
		for i := range 1000 {
			id := fmt.Sprint(i)
			vms[id] = vmlist.VM{ID: id}
		}
	})
	for range 500 {
		p.PutVM(vmlist.VM{ID: "x"})
	}
	is.True(p.vmList.entries <= maxHistoryEntries)
	is.Equal(p.vmList.history[len(p.vmList.history)-1].list.Version, int64(501))
	p.SetFaults(Faults{VMListBack: 400})
	_, _ = readIDs(t, p.vmList)
	version, _ := readIDs(t, p.vmList)
	is.Equal(version, p.vmList.history[0].list.Version) // the oldest list kept
}

// TestScheduleKeepsOrderAndIsReplaced checks that steps are applied by time and not by position,
// and that a replaced schedule is never applied.
func TestScheduleKeepsOrderAndIsReplaced(t *testing.T) {
	is := is.New(t)
	var s schedule
	applied := make(chan Faults)
	apply := func(f Faults) { applied <- f }
	s.set([]ScheduledFaults{{AfterMS: 3_600_000, Faults: Faults{LoseEvery: 9}}}, apply)
	s.set([]ScheduledFaults{
		{AfterMS: 20, Faults: Faults{LoseEvery: 2}},
		{AfterMS: 1, Faults: Faults{LoseEvery: 1}},
	}, apply)
	is.Equal((<-applied).LoseEvery, 1)
	is.Equal((<-applied).LoseEvery, 2)
}

// TestRoutesRejectInvalidBodies checks that misspelt fields and invalid JSON get status 400.
func TestRoutesRejectInvalidBodies(t *testing.T) {
	p, _ := newTest()
	for path, body := range map[string]string{
		"/lab/faults":   `{"outrage":true}`,
		"/lab/schedule": `[{"after_ms":1,"fault":{}}]`,
		"/lab/vms/a":    `{`,
	} {
		r := httptest.NewRequest(http.MethodPut, path, bytes.NewBufferString(body))
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, r)
		is.New(t).Equal(w.Code, http.StatusBadRequest)
	}
}
