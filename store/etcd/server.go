package etcd

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/store"
)

// Server serves a store.Store over the same JSON mapping that Client speaks.
// The laboratory's platform and the contract tests use it.
type Server struct{ store store.Store }

// NewServer returns a server of s.
func NewServer(s store.Store) *Server { return &Server{store: s} }

// Routes adds the /v3 paths to ws.
func (s *Server) Routes(ws *restful.WebService) {
	ws.Route(ws.POST("/v3/kv/range").To(s.serveRange))
	ws.Route(ws.POST("/v3/kv/txn").To(s.serveTxn))
	ws.Route(ws.POST("/v3/lease/grant").To(s.serveGrant))
	ws.Route(ws.POST("/v3/lease/keepalive").To(s.serveKeepAlive))
	ws.Route(ws.POST("/v3/lease/revoke").To(s.serveRevoke))
	ws.Route(ws.POST("/v3/watch").To(s.serveWatch))
}

func (s *Server) serveRange(r *restful.Request, w *restful.Response) {
	var req rangeRequest
	if !decode(r, w, &req) {
		return
	}
	var page store.Page
	var err error
	if req.RangeEnd == nil {
		page, err = s.single(r, string(req.Key))
	} else {
		page, err = s.store.List(r.Request.Context(), string(req.Key))
	}
	resp := rangeResponse{Header: header{int64String(page.Revision)}}
	for _, kv := range page.KVs {
		resp.KVs = append(resp.KVs, kvToWire(kv))
	}
	reply(w, resp, err)
}

func (s *Server) single(r *restful.Request, key string) (store.Page, error) {
	kv, ok, err := s.store.Get(r.Request.Context(), key)
	if err != nil || !ok {
		return store.Page{}, err
	}
	return store.Page{KVs: []store.KV{kv}, Revision: kv.ModRevision}, nil
}

func (s *Server) serveTxn(r *restful.Request, w *restful.Response) {
	var req txnRequest
	if !decode(r, w, &req) {
		return
	}
	var t store.Txn
	for _, c := range req.Compare {
		t.Compares = append(t.Compares, store.Compare{Key: string(c.Key), ModRevision: int64(c.ModRevision)})
	}
	for _, op := range req.Success {
		t.Ops = append(t.Ops, opFromWire(op))
	}
	rev, ok, err := s.store.Commit(r.Request.Context(), t)
	reply(w, txnResponse{Header: header{int64String(rev)}, Succeeded: ok}, err)
}

func (s *Server) serveGrant(r *restful.Request, w *restful.Response) {
	var req leaseGrantRequest
	if !decode(r, w, &req) {
		return
	}
	id, err := s.store.Grant(r.Request.Context(), time.Duration(req.TTL)*time.Second)
	reply(w, leaseResponse{ID: int64String(id), TTL: req.TTL}, err)
}

func (s *Server) serveKeepAlive(r *restful.Request, w *restful.Response) {
	var req leaseRequest
	if !decode(r, w, &req) {
		return
	}
	resp := keepAliveResponse{Result: leaseResponse{ID: req.ID, TTL: 1}}
	err := s.store.Renew(r.Request.Context(), store.LeaseID(req.ID))
	if errors.Is(err, store.ErrLeaseNotFound) {
		resp.Result.TTL, err = 0, nil
	}
	reply(w, resp, err)
}

func (s *Server) serveRevoke(r *restful.Request, w *restful.Response) {
	var req leaseRequest
	if !decode(r, w, &req) {
		return
	}
	reply(w, leaseResponse{}, s.store.Revoke(r.Request.Context(), store.LeaseID(req.ID)))
}

func (s *Server) serveWatch(r *restful.Request, w *restful.Response) {
	var req watchRequest
	if !decode(r, w, &req) {
		return
	}
	create := req.CreateRequest
	batches, err := s.store.Watch(r.Request.Context(), string(create.Key), int64(create.StartRevision))
	if err != nil {
		reply(w, nil, err)
		return
	}
	rc := http.NewResponseController(w.ResponseWriter)
	enc := json.NewEncoder(w.ResponseWriter)
	_ = enc.Encode(watchResponse{Result: watchResult{Created: true}})
	_ = rc.Flush()
	for b := range batches {
		if enc.Encode(watchResponse{Result: batchToWire(b)}) != nil {
			return
		}
		_ = rc.Flush()
	}
}

func batchToWire(b store.Batch) watchResult {
	r := watchResult{Header: header{int64String(b.Revision)}, Canceled: b.Err != nil}
	for _, e := range b.Events {
		we := watchEvent{Type: "PUT", KV: kvToWire(e.KV)}
		if e.Deleted {
			we.Type = "DELETE"
		}
		r.Events = append(r.Events, we)
	}
	return r
}

func decode(r *restful.Request, w *restful.Response, v any) bool {
	if err := json.NewDecoder(r.Request.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w *restful.Response, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w.ResponseWriter).Encode(v)
	case errors.Is(err, store.ErrLeaseNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrUncertain):
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func opFromWire(op requestOp) store.Op {
	if p := op.RequestPut; p != nil {
		return store.Op{Key: string(p.Key), Value: p.Value, Lease: store.LeaseID(p.Lease)}
	}
	d := op.RequestDeleteRange
	return store.Op{Key: string(d.Key), Delete: true, Prefix: d.RangeEnd != nil}
}

func kvToWire(kv store.KV) keyValue {
	return keyValue{
		Key: []byte(kv.Key), Value: kv.Value,
		ModRevision: int64String(kv.ModRevision), Lease: int64String(kv.Lease),
	}
}
