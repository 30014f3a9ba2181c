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

// Settings are the limits of a Service.
type Settings struct {
	Shard   core.Config
	Attempt core.AttemptLimits
	Ends    core.EndsConfig
	Answers AnswerLimits
}

// DefaultSettings returns the limits used in production.
func DefaultSettings() Settings {
	return Settings{
		Shard:   core.DefaultConfig(),
		Attempt: core.DefaultAttemptLimits(),
		Ends:    core.DefaultEndsConfig(),
		Answers: AnswerLimits{EntryBytes: 64 << 10, TotalBytes: 8 << 20, InheritedBytes: 4 << 20},
	}
}

// Service is a Claimer. It asks the owners of the shards, and serves as the
// owner of any shard that it is asked for.
type Service struct {
	settings Settings
	self     core.Holder
	peers    Peers
	duties   *duties
	answers  *answers
	metrics  *metrics
	log      *log.Logger
	owners   [core.Shards]*owner
	start    time.Time

	mu   sync.Mutex // guards ends
	ends *core.Ends
	wake chan struct{}
}

var (
	_ Claimer        = (*Service)(nil)
	_ kernel.Starter = (*Service)(nil)
	_ kernel.Drainer = (*Service)(nil)
	_ kernel.Stopper = (*Service)(nil)
)

// NewService returns a service for the given run of a node, and registers its
// methods with peers.
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
		ends:     core.NewEnds(set.Ends),
		wake:     make(chan struct{}, 1),
	}
	s.duties = newDuties(view, s.now)
	s.answers = newAnswers(set.Answers, set.Shard.Retention, func(origin string) {
		s.metrics.evicted.WithLabelValues(origin).Inc()
	})
	for i := range s.owners {
		s.owners[i] = &owner{
			number: i, cfg: set.Shard, alive: s.duties.alive, onDuty: s.onDuty, store: st,
			metrics: s.metrics, log: l, now: s.now, wake: make(chan struct{}, 1), waits: make(map[core.Ref]chan<- core.Reply),
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

// now is the monotonic time since the service was made.
func (s *Service) now() core.Instant { return time.Since(s.start) }

// dutyDelay is the time after the start in which a node reads no shard unless
// it is asked: it may not know the other nodes yet.
const dutyDelay = 10 * time.Second

// onDuty says whether this node is the first to be asked for a shard.
func (s *Service) onDuty(shard int) bool {
	if s.now() < dutyDelay {
		return false
	}
	n, ok := s.duties.first(shard)
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

// Drain implements kernel.Drainer: this node inherits nothing more, and goes on
// serving.
func (s *Service) Drain(context.Context) error {
	s.answers.close()
	return nil
}

// Stop implements kernel.Stopper: for flushLimit at most it hands the kept
// answers to other nodes and waits until every outcome is recorded. What is
// left then stays open in the log, which other nodes report as unknown.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	var handover sync.WaitGroup
	handover.Go(func() { s.handOver(ctx) })
	defer handover.Wait()
	for s.pending() > 0 {
		select {
		case <-ctx.Done():
			s.log.Warn("claims: stopped with outcomes that are not recorded; their keys stay unknown", "outcomes", s.pending())
			return nil
		case <-time.After(flushPoll):
		}
	}
	return nil
}

const (
	flushLimit = 10 * time.Second
	flushPoll  = 20 * time.Millisecond
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
	return endResult{Recorded: s.record(ctx, p.Shard, p.Ends)}, nil
}

// jitter returns a duration in [d, 2d).
func jitter(d time.Duration) time.Duration { return d + rand.N(d) }
