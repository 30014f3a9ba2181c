package gateway

import (
	"net/http"
	"net/url"
	"strings"

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
	c.kind = kindService
	name := r.PathParameter("name")
	svc, ok := c.settings.Service(c.workspace.Team, name)
	if !ok {
		return problem.New(problem.UnknownService, problem.NotRun, name)
	}
	path, err := servicePath(c.req.URL)
	if err != nil {
		return err
	}
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	return g.serve(c, forwardRequest{
		admission: admission.Request{
			ID: c.id, Chat: routing.Hash(c.id), Workspace: c.workspace,
			Priority: priority(c.req.Header.Get(HeaderPriority)), Pool: svc,
		},
		method:     c.req.Method,
		path:       path.escaped,
		query:      c.req.URL.RawQuery,
		body:       body,
		repeatable: svc.Service.Repeatable(c.req.Method, path.plain),
	})
}

// callPath is the path of a service call without /services/ and the service's name.
type callPath struct {
	escaped string // with the caller's escaping
	plain   string // unescaped, to match the routes of the settings
}

// servicePath returns the path to forward. It refuses paths with "." and ".." segments, which a
// service might resolve to a route that doesn't match the prefix in the settings.
func servicePath(u *url.URL) (callPath, error) {
	p := callPath{escaped: afterName(u.EscapedPath()), plain: afterName(u.Path)}
	for segment := range strings.SplitSeq(p.plain, "/") {
		if segment == "." || segment == ".." {
			return p, problem.New(problem.BadRequest, problem.NotRun, "the path has a \""+segment+"\" segment")
		}
	}
	return p, nil
}

func afterName(path string) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(path, servicePrefix), "/")
	return "/" + rest
}
