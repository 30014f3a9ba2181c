package claims

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/claims/core"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/store"
)

// Settings holds the limits of a Service.
type Settings struct {
	Shard   core.Config
	Attempt core.AttemptLimits
	Ends    core.OutcomeQueueConfig
	Answers AnswerLimits
}

// DefaultSettings returns the limits used in production.
func DefaultSettings() Settings {
	return Settings{
		Shard:   core.DefaultConfig(),
		Attempt: core.DefaultAttemptLimits(),
		Ends:    core.DefaultOutcomeQueueConfig(),
		Answers: AnswerLimits{EntryBytes: 64 << 10, TotalBytes: 8 << 20, InheritedBytes: 4 << 20},
	}
}

// Service implements Claimer. It asks the owners of the shards for claims, and acts as an
// owner of any shard that other nodes ask it for.
type Service struct {
	settings Settings
	self     core.Holder
	peers    Peers
	selector *ownerSelector
	answers  *answers
	metrics  *metrics
	log      *log.Logger
	owners   [core.Shards]*owner
	start    time.Time

	mu   sync.Mutex // guards ends
	ends *core.OutcomeQueue
	wake chan struct{}
}

var (
	_ Claimer        = (*Service)(nil)
	_ kernel.Starter = (*Service)(nil)
	_ kernel.Drainer = (*Service)(nil)
	_ kernel.Stopper = (*Service)(nil)
)

// NewService returns a service for the node process self, and registers its methods with
// peers.
func NewService(
	self core.Holder, set Settings, st store.Store, peers Peers, view membership.Source,
	l *log.Logger, reg prometheus.Registerer,
) *Service {
	s := &Service{
		settings: set,
		self:     self,
		peers:    peers,
		metrics:  newMetrics(reg),
		log:      l,
		start:    time.Now(),
		ends:     core.NewOutcomeQueue(set.Ends),
		wake:     make(chan struct{}, 1),
	}
	s.selector = newOwnerSelector(view, s.now)
	s.answers = newAnswers(set.Answers, set.Shard.Retention, func(origin string) {
		s.metrics.evicted.WithLabelValues(origin).Inc()
	})
	for i := range s.owners {
		s.owners[i] = &owner{
			number: i, cfg: set.Shard, alive: s.selector.alive, isPrimary: s.isPrimary, store: st,
			metrics: s.metrics, log: l, now: s.now, wake: make(chan struct{}, 1), pending: make(map[core.Ref]chan<- core.Reply),
		}
	}
	peers.Handle(methodClaim, s.handleClaim)
	peers.Handle(methodEnd, s.handleEnd)
	peers.Handle(methodAnswer, s.handleAnswer)
	peers.Handle(methodInherit, s.handleInherit)
	return s
}

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// now returns the monotonic time since NewService.
func (s *Service) now() core.Instant { return time.Since(s.start) }

// primaryDelay is the time after NewService in which this node doesn't consider itself a
// primary owner, and so reads a shard only for a request: its membership view may not
// include the other nodes yet.
const primaryDelay = 10 * time.Second

// isPrimary reports whether this node is the primary owner of a shard.
func (s *Service) isPrimary(shard int) bool {
	if s.now() < primaryDelay {
		return false
	}
	n, ok := s.selector.primary(shard)
	return ok && n.ID == s.self.Node
}

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	for _, o := range s.owners {
		go o.run(ctx)
	}
	go s.sendEnds(ctx)
	return nil
}

// Drain implements kernel.Drainer. The service inherits no more answers, but continues to
// serve.
func (s *Service) Drain(context.Context) error {
	s.answers.close()
	return nil
}

// Stop implements kernel.Stopper. It hands the kept answers over to other nodes and waits
// until every outcome is recorded, for at most stopTimeout. Claims whose outcomes are not
// recorded by then stay open in the log and are reported as Unknown by other nodes.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	var handover sync.WaitGroup
	handover.Go(func() { s.handOver(ctx) })
	defer handover.Wait()
	for s.pending() > 0 {
		select {
		case <-ctx.Done():
			s.log.Warn("claims: stopped with outcomes that are not recorded; the state of their keys stays unknown", "outcomes", s.pending())
			return nil
		case <-time.After(stopPoll):
		}
	}
	return nil
}

const (
	stopTimeout = 10 * time.Second
	stopPoll    = 20 * time.Millisecond
)

func (s *Service) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ends.Len()
}

func (s *Service) handleClaim(ctx context.Context, raw json.RawMessage) (any, error) {
	var p claimParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, errors.Wrap(err, methodClaim)
	}
	return s.owners[p.Ask.Key.Shard()].ask(ctx, p.Ask, p.wait())
}

func (s *Service) handleEnd(ctx context.Context, raw json.RawMessage) (any, error) {
	var p endParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, errors.Wrap(err, methodEnd)
	}
	if p.Shard < 0 || p.Shard >= core.Shards {
		return nil, errors.Newf("%s: no shard %d; run the same version on all nodes", methodEnd, p.Shard)
	}
	return endResult{Recorded: s.recordAsOwner(ctx, p.Shard, p.Ends)}, nil
}

// jitter returns a duration in [d, 2d).
func jitter(d time.Duration) time.Duration { return d + rand.N(d) }
