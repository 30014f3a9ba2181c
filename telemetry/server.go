package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	restful "github.com/emicklei/go-restful/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/knapweedgw/knapweedgw/kernel"
)

// ServerID is the kernel name of the Server.
const ServerID kernel.ID = "telemetry.server"

const readHeaderTimeout = 5 * time.Second

// Server serves the metrics over HTTP on a separate address.
type Server struct {
	addr   string
	log    *log.Logger
	server *http.Server
}

// NewServer returns a server that listens on addr, an ip:port, once started. With an empty addr
// it serves nothing.
func NewServer(addr string, reg *prometheus.Registry, l *log.Logger) *Server {
	metrics := promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
	ws := new(restful.WebService)
	ws.Route(ws.GET("/metrics").To(func(r *restful.Request, w *restful.Response) {
		metrics.ServeHTTP(w.ResponseWriter, r.Request)
	}))
	c := restful.NewContainer()
	c.Add(ws)
	return &Server{addr: addr, log: l, server: &http.Server{Handler: c, ReadHeaderTimeout: readHeaderTimeout}}
}

// ID implements kernel.Service.
func (*Server) ID() kernel.ID { return ServerID }

// Start implements kernel.Starter. It returns no error if it can't listen, since a node whose
// metrics can't be served still serves callers.
func (s *Server) Start(context.Context) error {
	if s.addr == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		s.log.Error("metrics not served: set a free address for them", "addr", s.addr, "err", err)
		return nil
	}
	go func() {
		if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("metrics server failed", "err", err)
		}
	}()
	return nil
}

// Stop implements kernel.Stopper.
func (s *Server) Stop(context.Context) error {
	return errors.Wrap(s.server.Close(), "telemetry: close metrics server")
}
