package load

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/lab/engine"
	"github.com/knapweedgw/knapweedgw/lab/service"
)

// settle asks the targets what they ran and completes the result.
func (r *Runner) settle(ctx context.Context) (Result, error) {
	var loads []float64
	for _, url := range r.cfg.Engines {
		var runs map[string]int
		if err := r.get(ctx, url+"/lab/runs", &runs); err != nil {
			return r.result, err
		}
		r.countDoubled(runs)
		var s engine.Stats
		if err := r.get(ctx, url+"/lab/stats", &s); err != nil {
			return r.result, err
		}
		loads = append(loads, s.LoadSeconds)
	}
	for _, url := range r.cfg.Services {
		var runs service.Runs
		if err := r.get(ctx, url+"/lab/runs", &runs); err != nil {
			return r.result, err
		}
		r.countDoubled(runs.ByRequest)
	}
	r.result.Skew = skew(loads)
	r.result.FirstTokenP50 = quantile(r.firsts, 0.50)
	r.result.FirstTokenP99 = quantile(r.firsts, 0.99)
	return r.result, nil
}

func (r *Runner) countDoubled(runs map[string]int) {
	for id, n := range runs {
		if r.ids[id] && n > 1 {
			r.result.Doubled += n - 1
		}
	}
}

func (r *Runner) get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "ask target")
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(v), url)
}

func skew(loads []float64) float64 {
	sum := 0.0
	for _, l := range loads {
		sum += l
	}
	if sum == 0 {
		return 0
	}
	return slices.Max(loads) * float64(len(loads)) / sum
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}
