package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/orders"
	"github.com/knapweedgw/knapweedgw/orders/orderstest"
)

// OrderServer serves an engine's order interface over HTTP: the model version to load, the
// engine's state, fault switches and the journal of the orders that the engine applied.
type OrderServer struct{ engine *orderstest.Engine }

// NewOrderServer returns the order interface of an engine that has no model loaded. Incarnation is
// the engine's incarnation in the VM list.
func NewOrderServer(incarnation int64) *OrderServer {
	return &OrderServer{engine: orderstest.NewEngine(incarnation, time.Now)}
}

// Routes adds /v1/orders/* and /lab/orders/* to ws.
func (s *OrderServer) Routes(ws *restful.WebService) {
	ws.Route(ws.PUT(orders.DesiredPath).To(s.putDesired))
	ws.Route(ws.GET(orders.StatePath).To(s.serveState))
	ws.Route(ws.PUT("/lab/orders/faults").To(s.putFaults))
	ws.Route(ws.GET("/lab/orders/journal").To(s.serveJournal))
}

func (s *OrderServer) putDesired(r *restful.Request, w *restful.Response) {
	var o orders.Order
	if err := json.NewDecoder(r.Request.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.engine.Faults().Down {
		abortConnection(w)
		return
	}
	responseLost, err := s.engine.Apply(o)
	switch {
	case responseLost:
		abortConnection(w)
	case err != nil:
		http.Error(w, err.Error(), orderStatus(err))
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

// orderStatus returns the HTTP status for an order that the engine rejects with err.
func orderStatus(err error) int {
	switch {
	case errors.Is(err, orders.ErrStaleFence):
		return http.StatusConflict
	case errors.Is(err, orders.ErrIncarnation):
		return http.StatusPreconditionFailed
	}
	return http.StatusUnprocessableEntity
}

// abortConnection resets the connection without sending a response.
func abortConnection(w *restful.Response) {
	conn, _, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *OrderServer) serveState(_ *restful.Request, w *restful.Response) {
	if s.engine.Faults().Down {
		abortConnection(w)
		return
	}
	_ = json.NewEncoder(w.ResponseWriter).Encode(s.engine.State())
}

func (s *OrderServer) putFaults(r *restful.Request, w *restful.Response) {
	var f orderstest.Faults
	if err := json.NewDecoder(r.Request.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.engine.SetFaults(f)
}

func (s *OrderServer) serveJournal(_ *restful.Request, w *restful.Response) {
	_ = json.NewEncoder(w.ResponseWriter).Encode(s.engine.AppliedOrders())
}
