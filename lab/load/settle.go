package load

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/lab/service"
)

// settle fetches the run counts of all targets and adds the figures that depend on them to the
// result.
func (r *Runner) settle(ctx context.Context) (Result, error) {
	for _, url := range r.cfg.Engines {
		var runs map[string]int
		if err := r.get(ctx, url+"/lab/runs", &runs); err != nil {
			return r.result, err
		}
		r.ledger.addRequestRuns(runs)
	}
	for _, url := range r.cfg.Services {
		var runs service.Runs
		if err := r.get(ctx, url+"/lab/runs", &runs); err != nil {
			return r.result, err
		}
		r.ledger.addRequestRuns(runs.ByRequest)
		r.ledger.addKeyRuns(runs.ByKey)
	}
	c := r.ledger.countRuns(r.cfg.UnderFaults)
	r.result.Doubled, r.result.Repeated, r.result.FalseNotRun = c.doubled, c.repeated, c.falseNotRun
	return r.result, nil
}

// get fetches a JSON document into v.
func (r *Runner) get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "request target")
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), url)
}
