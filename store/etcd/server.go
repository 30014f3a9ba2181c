package etcd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/store"
)

// maxRequestBytes bounds the body of a request: a value of the largest size in
// base64, and space for others.
const maxRequestBytes = 4 * store.MaxValueBytes

// invalidArgument is the gRPC status code of a malformed request.
const invalidArgument = 3

// Server serves a store.Store over the JSON API that Client uses. The simulated
// platform in lab/platform and the contract tests use it.
type Server struct{ store store.Store }

// NewServer returns a server of s.
func NewServer(s store.Store) *Server { return &Server{store: s} }

// revisioner is implemented by stores that can return their revision.
type revisioner interface{ Revision() int64 }

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
	prefix, isPrefix := prefixOf(req.Key, req.RangeEnd)
	var page store.ListResult
	var err error
	switch {
	case req.RangeEnd == nil:
		page, err = s.readKey(r, string(req.Key))
	case isPrefix:
		page, err = s.store.List(r.Request.Context(), prefix)
	default:
		rejectRange(w)
		return
	}
	resp := rangeResponse{Header: header{int64String(page.Revision)}}
	for _, kv := range page.KVs {
		resp.KVs = append(resp.KVs, kvToWire(kv))
	}
	writeResponse(w, resp, err)
}

// readKey reads one key. It reads the store's revision first, so that any change after
// the read has a greater revision.
func (s *Server) readKey(r *restful.Request, key string) (store.ListResult, error) {
	var page store.ListResult
	if rs, ok := s.store.(revisioner); ok {
		page.Revision = rs.Revision()
	}
	kv, ok, err := s.store.Get(r.Request.Context(), key)
	if err != nil || !ok {
		return page, err
	}
	page.KVs = []store.KV{kv}
	page.Revision = max(page.Revision, kv.ModRevision)
	return page, nil
}

func (s *Server) serveTxn(r *restful.Request, w *restful.Response) {
	var req txnRequest
	if !decode(r, w, &req) {
		return
	}
	var t store.Txn
	for _, c := range req.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			writeError(w.ResponseWriter, http.StatusBadRequest, invalidArgument, "compare is not MOD EQUAL")
			return
		}
		t.Compares = append(t.Compares, store.Compare{Key: string(c.Key), ModRevision: int64(c.ModRevision)})
	}
	for _, op := range req.Success {
		o, ok := opFromWire(op)
		if !ok {
			rejectRange(w)
			return
		}
		t.Ops = append(t.Ops, o)
	}
	rev, ok, err := s.store.Commit(r.Request.Context(), t)
	writeResponse(w, txnResponse{Header: header{int64String(rev)}, Succeeded: ok}, err)
}

func (s *Server) serveGrant(r *restful.Request, w *restful.Response) {
	var req leaseGrantRequest
	if !decode(r, w, &req) {
		return
	}
	id, err := s.store.Grant(r.Request.Context(), time.Duration(req.TTL)*time.Second)
	writeResponse(w, leaseResponse{ID: int64String(id), TTL: req.TTL}, err)
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
	writeResponse(w, resp, err)
}

func (s *Server) serveRevoke(r *restful.Request, w *restful.Response) {
	var req leaseRequest
	if !decode(r, w, &req) {
		return
	}
	writeResponse(w, leaseResponse{}, s.store.Revoke(r.Request.Context(), store.LeaseID(req.ID)))
}

func (s *Server) serveWatch(r *restful.Request, w *restful.Response) {
	var req watchRequest
	if !decode(r, w, &req) {
		return
	}
	create := req.CreateRequest
	prefix, ok := prefixOf(create.Key, create.RangeEnd)
	if !ok {
		rejectRange(w)
		return
	}
	batches, err := s.store.Watch(r.Request.Context(), prefix, int64(create.StartRevision))
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	rc := http.NewResponseController(w.ResponseWriter)
	enc := json.NewEncoder(w.ResponseWriter)
	_ = enc.Encode(watchResponse{Result: watchResult{Created: true}})
	_ = rc.Flush()
	for b := range batches {
		if enc.Encode(batchToWire(b)) != nil {
			return
		}
		_ = rc.Flush()
	}
}

// decode decodes the body of a request. It reports false after it has sent an error
// response.
func decode(r *restful.Request, w *restful.Response, v any) bool {
	body := http.MaxBytesReader(w.ResponseWriter, r.Request.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		writeError(w.ResponseWriter, http.StatusBadRequest, invalidArgument, err.Error())
		return false
	}
	return true
}

func rejectRange(w *restful.Response) {
	writeError(w.ResponseWriter, http.StatusBadRequest, invalidArgument, "range is neither one key nor a prefix")
}

func writeResponse(w *restful.Response, v any, err error) {
	if err != nil {
		r := errorResponseOf(err)
		writeError(w.ResponseWriter, r.status, r.code, r.message)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.ResponseWriter).Encode(v)
}

// prefixOf returns the prefix whose keys are the range from key to end; ok is false
// if there is none.
func prefixOf(key, end []byte) (string, bool) {
	prefix := string(key)
	if bytes.Equal(key, lowestKey) && bytes.Equal(end, noEnd) {
		prefix = ""
	}
	return prefix, bytes.Equal(end, prefixEnd(prefix))
}
