package capacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedgw/knapweedgw/lab/bench"
)

// The quantities of whole nodes, for all their control traffic.
const (
	// ControlIdle is the bytes a second that a node sends other nodes while
	// there are no requests.
	ControlIdle Quantity = "control_bytes_idle"
	// ControlRequest is the bytes sent between nodes for each request.
	ControlRequest Quantity = "control_bytes_per_request"
	// ControlClaim is what an Idempotency-Key adds to ControlRequest.
	ControlClaim Quantity = "control_bytes_per_claim"
	// StoreReads and StoreWrites are the idle fleet's calls to the store.
	StoreReads  Quantity = "store_reads_idle"
	StoreWrites Quantity = "store_writes_idle"
)

const (
	fleetWarmUp   = 5 * time.Second
	fleetIdle     = 6 * time.Second
	fleetLoad     = 6 * time.Second
	fleetRate     = 6 // requests a second a node
	answerPieces  = 20
	piecePause    = 100 * time.Millisecond
	answerAllowed = time.Minute
)

// Fleet measures whole nodes by their number, at a steady rate a node.
type Fleet struct{}

// Name implements Probe.
func (Fleet) Name() string { return "fleet" }

// Measure implements Probe.
func (Fleet) Measure(ctx context.Context) ([]Slope, error) {
	slopes := []Slope{
		{Quantity: ControlIdle, Per: "nodes", Unit: "B/s a node"},
		{Quantity: ControlRequest, Per: "nodes", Unit: "B"},
		{Quantity: ControlClaim, Per: "nodes", Unit: "B"},
		{Quantity: StoreReads, Per: "nodes", Unit: "1/s"},
		{Quantity: StoreWrites, Per: "nodes", Unit: "1/s"},
	}
	for _, n := range []int{4, 8, 16, 32} {
		values, err := measureFleet(ctx, n)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(n), Value: v})
		}
	}
	return slopes, nil
}

func measureFleet(ctx context.Context, n int) ([5]float64, error) {
	var out [5]float64
	f, err := newFleet(ctx, n, http.HandlerFunc(answerSlowly))
	defer f.stop()
	if err != nil {
		return out, err
	}
	time.Sleep(fleetWarmUp)
	calls := f.platform.Calls()
	idle, err := f.sentDuring(ctx, func() error {
		time.Sleep(fleetIdle)
		return nil
	})
	if err != nil {
		return out, err
	}
	after := f.platform.Calls()
	loaded, err := f.sentDuring(ctx, func() error { return f.load(ctx, false) })
	if err != nil {
		return out, err
	}
	claimed, err := f.sentDuring(ctx, func() error { return f.load(ctx, true) })
	if err != nil {
		return out, err
	}
	idleRate := idle.bytes / idle.seconds
	requests := float64(fleetRate) * fleetLoad.Seconds() * float64(n)
	out[0] = idleRate / float64(n)
	out[1] = (loaded.bytes - idleRate*loaded.seconds) / requests
	out[2] = (claimed.bytes-idleRate*claimed.seconds)/requests - out[1]
	out[3] = float64(after.Reads-calls.Reads) / idle.seconds
	out[4] = float64(after.Writes+after.Leases-calls.Writes-calls.Leases) / idle.seconds
	return out, nil
}

type traffic struct{ bytes, seconds float64 }

func (f *fleet) sentDuring(ctx context.Context, work func() error) (traffic, error) {
	before, err := f.sent(ctx)
	if err != nil {
		return traffic{}, err
	}
	start := time.Now()
	if err := work(); err != nil {
		return traffic{}, err
	}
	seconds := time.Since(start).Seconds()
	after, err := f.sent(ctx)
	return traffic{after - before, seconds}, err
}

// load sends requests at the fleet's rate, each with an Idempotency-Key if they
// are to be claimed, and waits for every answer.
func (f *fleet) load(ctx context.Context, claimed bool) error {
	var g errgroup.Group
	tick := time.NewTicker(time.Second / time.Duration(fleetRate*len(f.urls)))
	defer tick.Stop()
	client := &http.Client{Timeout: answerAllowed, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	total := fleetRate * int(fleetLoad.Seconds()) * len(f.urls)
	for i := range total {
		<-tick.C
		key := ""
		if claimed {
			key = fmt.Sprintf("key-%d", i)
		}
		g.Go(func() error { return askOnce(ctx, client, f.urls[i%len(f.urls)], i, key) })
	}
	return g.Wait()
}

func askOnce(ctx context.Context, client *http.Client, url string, i int, key string) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"prompt_cache_key":"c%d","messages":[{"role":"user","content":"hello"}]}`, bench.Model, i)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+bench.APIKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("capacity: fleet: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// answerSlowly is an engine that streams one answer over two seconds.
func answerSlowly(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	for i := range answerPieces {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", i+1)
		_ = rc.Flush()
		time.Sleep(piecePause)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
