// Package platform is a stand-in for the platform: its key-value service and
// its VM list, with switches that make them fail.
package platform

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/store"
	"github.com/knapweedgw/knapweedgw/store/etcd"
	"github.com/knapweedgw/knapweedgw/store/memory"
	"github.com/knapweedgw/knapweedgw/vmlist"
)

const expiryInterval = 200 * time.Millisecond

// Platform serves the key-value service, the VM list and the fault switches.
type Platform struct {
	store  *memory.Store
	faulty *faultyStore

	mu     sync.Mutex
	vms    map[string]vmlist.VM
	list   vmlist.List
	listed []timedList
	lag    time.Duration
}

type timedList struct {
	at   time.Time
	list vmlist.List
}

// New returns a platform with an empty store and VM list.
func New() *Platform {
	s := memory.New(time.Now)
	return &Platform{
		store: s, faulty: newFaultyStore(s),
		vms: make(map[string]vmlist.VM),
	}
}

// Store returns the key-value service with its faults.
func (p *Platform) Store() store.Store { return p.faulty }

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

// Handler returns the platform's routes: /v3/* (store), /v1/vms (VM list),
// /lab/vms/{id} (change the list) and /lab/faults.
func (p *Platform) Handler() http.Handler {
	c := restful.NewContainer()
	ws := new(restful.WebService)
	etcd.NewServer(p.faulty).Routes(ws)
	ws.Route(ws.GET("/v1/vms").To(p.serveList))
	ws.Route(ws.PUT("/lab/vms/{id}").To(p.putVM))
	ws.Route(ws.DELETE("/lab/vms/{id}").To(p.deleteVM))
	ws.Route(ws.PUT("/lab/faults").To(p.putFaults))
	ws.Route(ws.GET("/lab/calls").To(p.serveCalls))
	c.Add(ws)
	return c
}

// serveList serves the list with its version as entity tag, compressed if the
// client accepts it.
func (p *Platform) serveList(r *restful.Request, w *restful.Response) {
	list := p.laggedList()
	etag := fmt.Sprintf("\"%d\"", list.Version)
	w.Header().Set("ETag", etag)
	if r.Request.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Request.Header.Get("Accept-Encoding"), "gzip") {
		_ = json.NewEncoder(w.ResponseWriter).Encode(list)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w.ResponseWriter)
	_ = json.NewEncoder(z).Encode(list)
	_ = z.Close()
}

func (p *Platform) laggedList() vmlist.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	cutoff := time.Now().Add(-p.lag)
	list := vmlist.List{VMs: []vmlist.VM{}}
	for _, t := range p.listed {
		if !t.at.After(cutoff) {
			list = t.list
		}
	}
	return list
}

func (p *Platform) putVM(r *restful.Request, w *restful.Response) {
	var vm vmlist.VM
	if err := json.NewDecoder(r.Request.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathParameter("id")
	p.PutVM(vm)
}

// PutVM adds or replaces a VM.
func (p *Platform) PutVM(vm vmlist.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.ID] = vm
	p.publish()
}

func (p *Platform) deleteVM(r *restful.Request, _ *restful.Response) {
	p.DeleteVM(r.PathParameter("id"))
}

// DeleteVM removes a VM.
func (p *Platform) DeleteVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, id)
	p.publish()
}

func (p *Platform) publish() {
	p.list = vmlist.List{Version: p.list.Version + 1, VMs: make([]vmlist.VM, 0, len(p.vms))}
	for _, vm := range p.vms {
		p.list.VMs = append(p.list.VMs, vm)
	}
	const keep = 1000
	p.listed = append(p.listed, timedList{time.Now(), p.list})
	p.listed = p.listed[max(0, len(p.listed)-keep):]
}

func (p *Platform) putFaults(r *restful.Request, w *restful.Response) {
	var f Faults
	if err := json.NewDecoder(r.Request.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

// SetFaults puts the fault switches in force.
func (p *Platform) SetFaults(f Faults) {
	p.faulty.set(f)
	if f.CompactNow {
		p.store.Compact()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = time.Duration(f.VMListLagMS) * time.Millisecond
}

func (p *Platform) serveCalls(_ *restful.Request, w *restful.Response) {
	_ = json.NewEncoder(w.ResponseWriter).Encode(p.faulty.calls())
}
