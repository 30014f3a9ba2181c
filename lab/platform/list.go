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

// Bounds of the earlier VM lists kept to simulate lag: lists are dropped, oldest first, while
// together they have more than maxHistoryEntries entries, but the latest minHistoryLists stay.
const (
	maxHistoryEntries = 200_000
	minHistoryLists   = 2
)

// vmListHistory is the VM list with its earlier versions and fault switches.
type vmListHistory struct {
	now func() time.Time

	mu      sync.Mutex
	vms     map[string]vmlist.VM
	history []timedList // ordered by version; the last is the current one
	entries int         // VMs in all lists of history
	faults  Faults
	reads   int
}

// timedList is a list and the time at which it was published.
type timedList struct {
	at   time.Time
	list vmlist.List
}

func newVMListHistory(now func() time.Time) *vmListHistory {
	return &vmListHistory{now: now, vms: make(map[string]vmlist.VM)}
}

func (l *vmListHistory) setFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// change calls f with the VMs and publishes the result as a new version.
func (l *vmListHistory) change(f func(map[string]vmlist.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.vms)
	next := vmlist.List{Version: 1, VMs: make([]vmlist.VM, 0, len(l.vms))}
	if n := len(l.history); n > 0 {
		next.Version = l.history[n-1].list.Version + 1
	}
	for _, id := range slices.Sorted(maps.Keys(l.vms)) {
		next.VMs = append(next.VMs, l.vms[id])
	}
	l.history = append(l.history, timedList{l.now(), next})
	l.entries += len(next.VMs)
	l.trim()
}

// trim drops the oldest lists over the bounds. The caller holds l.mu.
func (l *vmListHistory) trim() {
	n := 0
	for l.entries > maxHistoryEntries && len(l.history)-n > minHistoryLists {
		l.entries -= len(l.history[n].list.VMs)
		n++
	}
	l.history = slices.Delete(l.history, 0, n)
}

// read returns the list with the faults applied and its entity tag; ok is false in an outage.
func (l *vmListHistory) read() (list vmlist.List, etag string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.faults.VMListOutage {
		return vmlist.List{}, "", false
	}
	list = vmlist.List{VMs: []vmlist.VM{}}
	if i := l.index(); i >= 0 {
		list = l.history[i].list
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

// index returns the position in history of the list to answer with, or -1 if the answer predates
// the first list. If older lists were dropped it returns the oldest one kept. The caller holds
// l.mu.
func (l *vmListHistory) index() int {
	cutoff := l.now().Add(-time.Duration(l.faults.VMListLagMS) * time.Millisecond)
	i := len(l.history) - 1
	for i >= 0 && l.history[i].at.After(cutoff) {
		i--
	}
	if l.reads%2 == 0 {
		i -= l.faults.VMListBack
	}
	trimmed := len(l.history) > 0 && l.history[0].list.Version > 1
	if i < 0 && trimmed {
		return 0
	}
	return max(i, -1)
}

// serve sends the list with its entity tag, compressed if the client accepts gzip. It answers with
// status 304 if the client has this list and with 503 in an outage.
func (l *vmListHistory) serve(r *restful.Request, w *restful.Response) {
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
