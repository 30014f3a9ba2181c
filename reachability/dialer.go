package reachability

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/tunnel"
	"github.com/knapweedgw/knapweedgw/upstream"
)

const (
	// askTimeout is how long one node may take to open a tunnel before the next is asked,
	// tunnelTimeout how long all of them may take together.
	askTimeout    = 150 * time.Millisecond
	tunnelTimeout = 500 * time.Millisecond
	// maxAsked is the maximum number of nodes asked for one connection.
	maxAsked = 6
	// refusalQuorum is the number of other nodes that must be refused by a target for it to count
	// as refusing connections: a single one may have lost its path a moment ago.
	refusalQuorum = 2
)

// DialThrough opens a connection to addr through a node; see tunnel.Dial.
type DialThrough func(ctx context.Context, node, addr string) (net.Conn, tunnel.Info, error)

// DialerConfig configures a Dialer.
type DialerConfig struct {
	// Self is the address at which this node carries connections for others, Domain its failure domain.
	Self, Domain string
	// Direct opens connections over this node's own network path. Its attempts must end by
	// themselves within a fraction of a second.
	Direct upstream.DialFunc
	// Through opens connections through another node; nil for tunnel.Dial.
	Through DialThrough
	// Nodes returns the addresses at which other live nodes carry connections; nil for none.
	Nodes func() []string
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// ServiceID identifies the Dialer in the kernel.
const ServiceID kernel.ID = "reachability.dialer"

// Dialer opens connections to targets over the path that works. It is safe for concurrent use.
type Dialer struct {
	cfg     DialerConfig
	log     *log.Logger
	metrics *metrics
	// onChange is called after each change of a path, without a lock held.
	onChange func(c Change, addr string, hung bool)
	// wake has capacity 1 and contains a value after a path was lost.
	wake chan struct{}

	mu      sync.Mutex
	tracker *Tracker
	helpers *Helpers
}

// NewDialer returns a dialer of a node that has not lost any path.
func NewDialer(cfg DialerConfig, l *log.Logger, reg prometheus.Registerer) *Dialer {
	if cfg.Through == nil {
		cfg.Through = tunnel.Dial
	}
	if cfg.Nodes == nil {
		cfg.Nodes = func() []string { return nil }
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Dialer{
		cfg: cfg, log: l, metrics: newMetrics(reg), onChange: func(Change, string, bool) {},
		wake: make(chan struct{}, 1), tracker: NewTracker(DefaultConfig()), helpers: NewHelpers(cfg.Self, cfg.Domain, rng),
	}
}

// OnChange sets the function that is called after each change of a path: that to addr, or those to all
// targets. hung means that the lost path loses packets. It must be called before the first connection.
func (d *Dialer) OnChange(f func(c Change, addr string, hung bool)) { d.onChange = f }

// ID implements kernel.Service.
func (d *Dialer) ID() kernel.ID { return ServiceID }

// Start implements kernel.Starter. Until ctx ends, the dialer tries lost paths: connections that other
// nodes carry are reused, so that none may be opened for long.
func (d *Dialer) Start(ctx context.Context) error {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-d.wake:
				d.tryLostPaths(ctx)
			}
		}
	}()
	return nil
}

// tryLostPaths tries the lost paths until none is left or ctx ends.
func (d *Dialer) tryLostPaths(ctx context.Context) {
	tick := time.NewTicker(DefaultConfig().MinTrialInterval)
	defer tick.Stop()
	for d.hasLost() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if addr, ok := d.trial(); ok {
			go func() {
				if err := d.ProbeDirect(addr); err != nil {
					d.log.Debug("path still lost", "target_addr", addr, "err", err)
				}
			}()
		}
	}
}

func (d *Dialer) hasLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.HasLost()
}

func (d *Dialer) trial() (addr string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Trial(d.cfg.Now())
}

// IsPartitioned is Tracker.IsPartitioned.
func (d *Dialer) IsPartitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.IsPartitioned()
}

// MayBePartitioned is Tracker.MayBePartitioned.
func (d *Dialer) MayBePartitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.MayBePartitioned(d.cfg.Now())
}

// TakeProbe is Tracker.TakeProbe.
func (d *Dialer) TakeProbe(interval time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.TakeProbe(interval, d.cfg.Now())
}

// result is the outcome of an attempt.
type result struct {
	conn   net.Conn
	err    error
	direct bool
}

// DialContext opens a connection to a target, directly or through another node, whichever succeeds
// first. A failure is a *net.OpError with Op "dial"; it is ECONNREFUSED only if the target refused this
// node's connection or those of several others.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	plan := d.tracker.Plan(addr, d.cfg.Now())
	d.mu.Unlock()
	tunnelCtx, cancelTunnel := context.WithCancel(ctx)
	r := race{d: d, network: network, addr: addr, tunnelCtx: tunnelCtx, results: make(chan result, 2)}
	defer cancelTunnel() // it covers the opening of a tunnel only
	return r.run(ctx, plan)
}

// ProbeDirect opens a direct connection and closes it, to show whether this node's own path works.
func (d *Dialer) ProbeDirect(addr string) error {
	conn, err := d.dialDirect(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	return errors.Wrap(conn.Close(), "reachability: close")
}

// race is the attempts to open one connection.
type race struct {
	d             *Dialer
	network, addr string
	tunnelCtx     context.Context
	results       chan result
	// pending is the number of attempts in progress.
	pending        int
	directPending  bool
	tunnelStarted  bool
	directErr, err error
}

func (r *race) run(ctx context.Context, plan Plan) (net.Conn, error) {
	var headStart <-chan time.Time
	if plan.Direct {
		r.startDirect(ctx)
		timer := time.NewTimer(plan.TunnelAfter)
		defer timer.Stop()
		headStart = timer.C
	} else {
		r.startTunnel()
	}
	defer r.closeLate()
	for r.pending > 0 {
		select {
		case <-ctx.Done():
			return nil, dialError(r.network, ctx.Err())
		case <-headStart:
			r.startTunnel()
		case res := <-r.results:
			r.pending--
			if res.direct {
				r.directPending = false
			}
			if res.err == nil {
				r.won(res)
				return res.conn, nil
			}
			r.lost(res)
		}
	}
	return nil, r.failure()
}

// startDirect starts the direct attempt. It goes on after the race has ended, since its outcome shows
// whether the path works.
func (r *race) startDirect(ctx context.Context) {
	r.pending++
	r.directPending = true
	ctx = context.WithoutCancel(ctx)
	go func() {
		conn, err := r.d.dialDirect(ctx, r.network, r.addr)
		r.results <- result{conn: conn, err: err, direct: true}
	}()
}

func (r *race) startTunnel() {
	if r.tunnelStarted {
		return
	}
	r.tunnelStarted = true
	r.pending++
	go func() {
		conn, err := r.d.dialTunnel(r.tunnelCtx, r.network, r.addr)
		r.results <- result{conn: conn, err: err}
	}()
}

// won handles the first attempt that succeeded.
func (r *race) won(res result) {
	if res.direct || !r.directPending {
		return
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.tracker.DirectPending(r.d.cfg.Now())
}

// lost handles an attempt that failed.
func (r *race) lost(res result) {
	if !res.direct {
		r.err = res.err
		return
	}
	r.directErr = res.err
	if !upstream.IsLocal(res.err) {
		r.startTunnel()
	}
}

// failure returns the error of a race without a winner.
func (r *race) failure() error {
	if r.directErr != nil {
		return r.directErr
	}
	return r.err
}

// closeLate closes the connections of attempts that succeed after the race has ended.
func (r *race) closeLate() {
	if r.pending == 0 {
		return
	}
	go func() {
		for range r.pending {
			if res := <-r.results; res.err == nil {
				_ = res.conn.Close()
			}
		}
	}()
}

// dialDirect makes a direct attempt and records its outcome.
func (d *Dialer) dialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.cfg.Direct(ctx, network, addr)
	if upstream.IsLocal(err) {
		return nil, err
	}
	d.mu.Lock()
	var c Change
	if err == nil {
		c = d.tracker.DirectOpened(addr, d.cfg.Now())
	} else {
		c = d.tracker.DirectFailed(addr, !errors.Is(err, syscall.ECONNREFUSED), d.cfg.Now())
	}
	hung := d.tracker.Hung()
	d.mu.Unlock()
	d.announce(c, hung, addr, err)
	return conn, err
}

// dialTunnel asks other nodes for a connection, one after the other.
func (d *Dialer) dialTunnel(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	nodes := d.cfg.Nodes()
	var tried, silent []string
	refused := 0
	cause := errNoNode
	for len(tried) < maxAsked && refused < refusalQuorum && ctx.Err() == nil {
		node, ok := d.pick(nodes, tried)
		if !ok {
			break
		}
		tried = append(tried, node)
		conn, err := d.ask(ctx, node, addr)
		if err == nil {
			d.recordTunnel(addr, node, silent)
			return conn, nil
		}
		cause = err
		switch {
		case errors.Is(err, tunnel.ErrRefused):
			refused++
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			silent = append(silent, node)
		}
	}
	if refused == refusalQuorum || refused > 0 && refused == len(tried) {
		cause = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	}
	return nil, dialError(network, cause)
}

// errNoNode means that no other node can be asked for a connection.
var errNoNode = errors.New("no other node offers a path to the target")

func (d *Dialer) pick(nodes, tried []string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.helpers.Pick(nodes, tried, d.cfg.Now())
}

// ask asks one node for a connection.
func (d *Dialer) ask(ctx context.Context, node, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, info, err := d.cfg.Through(ctx, node, addr)
	if err != nil && ctx.Err() != nil {
		d.metrics.asked.WithLabelValues("no_answer").Inc()
		return nil, context.DeadlineExceeded
	}
	d.metrics.asked.WithLabelValues(outcome(err)).Inc()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.helpers.Record(info, err, d.cfg.Now())
	return conn, err
}

// recordTunnel records that a node connected to the target at addr, after the nodes in silent had not
// answered.
func (d *Dialer) recordTunnel(addr, node string, silent []string) {
	d.mu.Lock()
	now := d.cfg.Now()
	for _, n := range silent {
		d.helpers.RecordSilence(n, now)
	}
	c := d.tracker.TunnelOpened(addr, now)
	hung := d.tracker.Hung()
	d.mu.Unlock()
	d.log.Debug("connection through another node", "target_addr", addr, "via", node)
	d.announce(c, hung, addr, nil)
}

// announce logs and passes on a change of a path.
func (d *Dialer) announce(c Change, hung bool, addr string, cause error) {
	switch c {
	case Unchanged:
		return
	case PathLost:
		d.log.Warn("path to target lost; other nodes reach it", "target_addr", addr, "hung", hung, "cause", cause)
	case PathRestored:
		d.log.Info("path to target restored", "target_addr", addr)
	case Partitioned:
		d.metrics.partitioned.Set(1)
		d.log.Warn("partitioned from all targets; connecting through other nodes", "target_addr", addr, "hung", hung, "cause", cause)
	case Rejoined:
		d.metrics.partitioned.Set(0)
		d.log.Info("paths to targets restored", "target_addr", addr)
	}
	if c == PathLost || c == Partitioned {
		select {
		case d.wake <- struct{}{}:
		default: // it is awake already
		}
	}
	d.metrics.changes.WithLabelValues(c.String()).Inc()
	d.onChange(c, addr, hung)
}

func dialError(network string, cause error) error {
	return &net.OpError{Op: "dial", Net: network, Err: cause}
}

// IsNoPath reports whether a connection failed since neither this node nor another one offers a path.
func IsNoPath(err error) bool { return errors.Is(err, errNoNode) || errors.Is(err, tunnel.ErrNoPath) }

// TunnelAddress returns the address at which a node carries connections: the node's IP, with the port of
// this node's own such address. ok is false if either is not ip:port.
func TunnelAddress(node, own string) (addr string, ok bool) {
	host, _, err := net.SplitHostPort(node)
	_, port, ownErr := net.SplitHostPort(own)
	return net.JoinHostPort(host, port), err == nil && ownErr == nil
}

// TunnelAddresses returns the addresses at which the nodes carry connections; see TunnelAddress.
func TunnelAddresses(nodes []string, own string) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		if addr, ok := TunnelAddress(n, own); ok {
			out = append(out, addr)
		}
	}
	return out
}
