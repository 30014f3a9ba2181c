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

// Orders serves an engine's order interface over HTTP, with its fault
// switches and the journal of the orders that it applied.
type Orders struct{ engine *orderstest.Engine }

// NewOrders returns the order interface of an engine that starts empty.
func NewOrders(incarnation int64) *Orders {
	return &Orders{engine: orderstest.NewEngine(incarnation, time.Now)}
}

// Routes adds /v1/orders/* and /lab/orders/* to ws.
func (s *Orders) Routes(ws *restful.WebService) {
	ws.Route(ws.PUT(orders.DesiredPath).To(s.putDesired))
	ws.Route(ws.GET(orders.StatePath).To(s.serveState))
	ws.Route(ws.PUT("/lab/orders/faults").To(s.putFaults))
	ws.Route(ws.GET("/lab/orders/journal").To(s.serveJournal))
}

func (s *Orders) putDesired(r *restful.Request, w *restful.Response) {
	var o orders.Order
	if err := json.NewDecoder(r.Request.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.engine.Faults().Down {
		hangUp(w)
		return
	}
	lost, err := s.engine.Apply(o)
	switch {
	case lost:
		hangUp(w)
	case err != nil:
		http.Error(w, err.Error(), orderStatus(err))
	default:
		w.WriteHeader(http.StatusAccepted)
	}
}

func orderStatus(err error) int {
	switch {
	case errors.Is(err, orders.ErrStaleFence):
		return http.StatusConflict
	case errors.Is(err, orders.ErrIncarnation):
		return http.StatusPreconditionFailed
	}
	return http.StatusUnprocessableEntity
}

// hangUp closes the connection without an answer.
func hangUp(w *restful.Response) {
	conn, _, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Orders) serveState(_ *restful.Request, w *restful.Response) {
	if s.engine.Faults().Down {
		hangUp(w)
		return
	}
	_ = json.NewEncoder(w.ResponseWriter).Encode(s.engine.State())
}

func (s *Orders) putFaults(r *restful.Request, w *restful.Response) {
	var f orderstest.Faults
	if err := json.NewDecoder(r.Request.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.engine.SetFaults(f)
}

func (s *Orders) serveJournal(_ *restful.Request, w *restful.Response) {
	_ = json.NewEncoder(w.ResponseWriter).Encode(s.engine.AppliedOrders())
}
