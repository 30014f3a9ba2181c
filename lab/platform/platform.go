// Package platform is a stand-in for the platform on which the fleet runs: its key-value service
// and its VM list, with switches that inject faults.
package platform

import (
	"encoding/json"
	"net/http"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

// expiryInterval is the time between two checks for expired leases.
const expiryInterval = 200 * time.Millisecond

// Platform serves the key-value service, the VM list and the fault switches.
type Platform struct {
	store    *faultyStore
	vmList   *vmListHistory
	schedule schedule
}

// New returns a platform with an empty store and VM list.
func New() *Platform { return newAt(time.Now) }

func newAt(now func() time.Time) *Platform {
	return &Platform{store: newFaultyStore(memory.New(now), now), vmList: newVMListHistory(now)}
}

// Store returns the key-value service with the fault switches applied.
func (p *Platform) Store() store.Store { return p.store }

// Run expires leases until done is closed.
func (p *Platform) Run(done <-chan struct{}) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			p.store.Expire()
		}
	}
}

// Handler returns the platform's routes: /v3/* (key-value service), /v1/vms (VM list),
// /lab/vms/{id} (changes to the list), /lab/faults and /lab/schedule (fault switches) and
// /lab/calls (call counts).
func (p *Platform) Handler() http.Handler {
	c := restful.NewContainer()
	ws := new(restful.WebService)
	etcd.NewServer(p.store).Routes(ws)
	ws.Route(ws.GET("/v1/vms").To(p.vmList.serve))
	ws.Route(ws.PUT("/lab/vms/{id}").To(p.putVM))
	ws.Route(ws.DELETE("/lab/vms/{id}").To(p.deleteVM))
	ws.Route(ws.PUT("/lab/faults").To(p.putFaults))
	ws.Route(ws.PUT("/lab/schedule").To(p.putSchedule))
	ws.Route(ws.GET("/lab/calls").To(p.serveCalls))
	c.Add(ws)
	return c
}

func (p *Platform) putVM(r *restful.Request, w *restful.Response) {
	var vm vmlist.VM
	if !decode(r, w, &vm) {
		return
	}
	vm.ID = r.PathParameter("id")
	p.PutVM(vm)
}

// PutVM adds a VM to the list or replaces it.
func (p *Platform) PutVM(vm vmlist.VM) {
	p.vmList.change(func(vms map[string]vmlist.VM) { vms[vm.ID] = vm })
}

func (p *Platform) deleteVM(r *restful.Request, _ *restful.Response) {
	p.DeleteVM(r.PathParameter("id"))
}

// DeleteVM removes a VM from the list.
func (p *Platform) DeleteVM(id string) {
	p.vmList.change(func(vms map[string]vmlist.VM) { delete(vms, id) })
}

func (p *Platform) putFaults(r *restful.Request, w *restful.Response) {
	var f Faults
	if decode(r, w, &f) {
		p.SetFaults(f)
	}
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f Faults) {
	p.store.setFaults(f)
	p.vmList.setFaults(f)
}

func (p *Platform) putSchedule(r *restful.Request, w *restful.Response) {
	var steps []ScheduledFaults
	if decode(r, w, &steps) {
		p.Schedule(steps)
	}
}

// Schedule sets fault switches at their times, counted from now. It replaces the previous
// schedule.
func (p *Platform) Schedule(steps []ScheduledFaults) { p.schedule.set(steps, p.SetFaults) }

// Calls returns the number of calls to the key-value service by kind.
func (p *Platform) Calls() Calls { return p.store.calls() }

func (p *Platform) serveCalls(_ *restful.Request, w *restful.Response) {
	_ = json.NewEncoder(w.ResponseWriter).Encode(p.Calls())
}

// decode decodes a JSON body into v. It rejects unknown fields, so that a misspelt fault switch
// isn't ignored. It returns false after an error, which it sends with status 400.
func decode(r *restful.Request, w *restful.Response, v any) bool {
	dec := json.NewDecoder(r.Request.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
