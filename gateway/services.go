package gateway

import (
	"net/http"

	restful "github.com/emicklei/go-restful/v3"

	"github.com/knapweedgw/knapweedgw/admission"
	"github.com/knapweedgw/knapweedgw/problem"
	"github.com/knapweedgw/knapweedgw/routing"
)

var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (g *Gateway) serveService(c *call, r *restful.Request) error {
	c.kind = "service"
	name := r.PathParameter("name")
	svc, ok := c.settings.Service(c.workspace.Team, name)
	if !ok {
		return problem.New(problem.UnknownService, problem.RanNo, name)
	}
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	path := "/" + r.PathParameter("path")
	_, keyed := idempotencyKey(c.req)
	return g.forward(c, forwardRequest{
		admission: admission.Request{
			ID: c.id, Chat: routing.Hash(c.id), Workspace: c.workspace,
			Priority: priority(c.req.Header.Get(HeaderPriority)), Pool: svc,
		},
		method:     c.req.Method,
		path:       path,
		query:      c.req.URL.RawQuery,
		body:       body,
		repeatable: !keyed && svc.Service.Repeatable(c.req.Method, path),
	})
}
