package platform

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/vmlist"
)

// keptEntries bounds the old lists that are kept to serve a lagging one, in
// entries of all of them; keptLists is the least number of lists.
const (
	keptEntries = 200_000
	keptLists   = 2
)

// vmLists is the VM list with its past.
type vmLists struct {
	now func() time.Time

	mu     sync.Mutex
	vms    map[string]vmlist.VM
	past   []timedList // ordered by version; the last is the current one
	kept   int         // entries in past
	faults Faults
	reads  int
}

type timedList struct {
	at   time.Time
	list vmlist.List
}

func newVMLists(now func() time.Time) *vmLists {
	return &vmLists{now: now, vms: make(map[string]vmlist.VM)}
}

func (l *vmLists) set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// change applies f to the VMs and publishes a new version.
func (l *vmLists) change(f func(map[string]vmlist.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.vms)
	next := vmlist.List{Version: 1, VMs: make([]vmlist.VM, 0, len(l.vms))}
	if n := len(l.past); n > 0 {
		next.Version = l.past[n-1].list.Version + 1
	}
	for _, id := range slices.Sorted(maps.Keys(l.vms)) {
		next.VMs = append(next.VMs, l.vms[id])
	}
	l.past = append(l.past, timedList{l.now(), next})
	l.kept += len(next.VMs)
	l.trim()
}

func (l *vmLists) trim() {
	n := 0
	for l.kept > keptEntries && len(l.past)-n > keptLists {
		l.kept -= len(l.past[n].list.VMs)
		n++
	}
	l.past = slices.Delete(l.past, 0, n)
}

// read returns the list as the platform gives it, with its faults, and its
// entity tag; ok is false in an outage.
func (l *vmLists) read() (list vmlist.List, etag string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.faults.VMListOutage {
		return vmlist.List{}, "", false
	}
	list = vmlist.List{VMs: []vmlist.VM{}}
	if i := l.index(); i >= 0 {
		list = l.past[i].list
	}
	etag = fmt.Sprintf("\"%d\"", list.Version)
	if len(l.faults.VMListHide) > 0 {
		etag = fmt.Sprintf("\"%d-%s\"", list.Version, strings.Join(l.faults.VMListHide, ","))
		list.VMs = slices.DeleteFunc(slices.Clone(list.VMs), func(vm vmlist.VM) bool {
			return slices.Contains(l.faults.VMListHide, vm.ID)
		})
	}
	return list, etag, true
}

// index returns the position of the list to answer with, -1 for none yet.
func (l *vmLists) index() int {
	cutoff := l.now().Add(-time.Duration(l.faults.VMListLagMS) * time.Millisecond)
	i := len(l.past) - 1
	for i >= 0 && l.past[i].at.After(cutoff) {
		i--
	}
	if l.reads%2 == 0 {
		i -= l.faults.VMListBack
	}
	forgotten := len(l.past) > 0 && l.past[0].list.Version > 1
	if i < 0 && forgotten {
		return 0
	}
	return max(i, -1)
}

// serve answers with the list's version as entity tag, compressed if the
// client accepts it.
func (l *vmLists) serve(r *restful.Request, w *restful.Response) {
	list, etag, ok := l.read()
	if !ok {
		http.Error(w, "VM list unavailable", http.StatusServiceUnavailable)
		return
	}
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
