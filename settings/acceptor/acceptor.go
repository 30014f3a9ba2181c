// Package acceptor decides on operators' changes: it validates each document and
// either commits it by compare-and-swap under the next revision of the fleet, or
// refuses it and writes its faults to the team's status. Several nodes may do so
// at the same time: safety depends only on the compares. The duty, which limits
// the work to two nodes, avoids duplicate work.
package acceptor

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/settings"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/duty"
	"github.com/knapweedgw/knapweedgw/store"
)

// ServiceID is the kernel ID of the Acceptor.
const ServiceID kernel.ID = "settings.acceptor"

const (
	// dutyInterval is the time between checks whether this node has the duty.
	dutyInterval = 500 * time.Millisecond
	// BatchDelay is the wait after a change, so that changes written at about
	// the same time share a transaction.
	BatchDelay = 50 * time.Millisecond
	// StandbyDelay is how long the standby waits for the primary to decide on
	// a change.
	StandbyDelay = time.Second
	// resyncInterval is the time after which all keys are listed again, in
	// case a watch lost a change without an error.
	resyncInterval = 5 * time.Minute
	// retryDelay is the wait after a store error.
	retryDelay = 500 * time.Millisecond
)

// errConflict is returned when a compare of the transaction failed: a key changed
// since it was read.
var errConflict = errors.New("settings: the store changed since it was read; read again")

// HeadSource returns the highest accepted revision that this node holds.
type HeadSource interface{ Head() int64 }

// Acceptor decides on changes while this node has the duty.
type Acceptor struct {
	store   store.Store
	log     *log.Logger
	metrics *metrics
	now     func() time.Time

	members membership.Source
	held    HeadSource
}

// New returns an acceptor.
func New(s store.Store, l *log.Logger, reg prometheus.Registerer) *Acceptor {
	return &Acceptor{store: s, log: l, metrics: newMetrics(reg), now: time.Now}
}

// ID implements kernel.Service.
func (a *Acceptor) ID() kernel.ID { return ServiceID }

// Provision implements kernel.Provisioner.
func (a *Acceptor) Provision(k *kernel.Kernel) error {
	var err error
	if a.members, err = kernel.Lookup[membership.Source](k, membership.ServiceID); err != nil {
		return err
	}
	a.held, err = kernel.Lookup[HeadSource](k, settings.ServiceID)
	return err
}

// Start implements kernel.Starter.
func (a *Acceptor) Start(ctx context.Context) error {
	go a.run(ctx)
	return nil
}

// position returns 0 if this node is the primary acceptor, 1 if it is the standby,
// -1 otherwise.
func (a *Acceptor) position() int {
	v := a.members.View()
	return duty.Position(duty.Acceptors(v), v.Self)
}

func (a *Acceptor) run(ctx context.Context) {
	for ctx.Err() == nil {
		if a.position() < 0 {
			pause.Sleep(ctx, dutyInterval)
			continue
		}
		if err := a.serve(ctx); err != nil && ctx.Err() == nil {
			a.log.Warn("cannot accept settings; retrying", "err", err)
			pause.Sleep(ctx, retryDelay)
		}
	}
}

// serve lists the settings and decides on changes until this node loses the duty,
// the watch ends or resyncInterval has passed.
func (a *Acceptor) serve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, resyncInterval)
	defer cancel()
	tree, revision, err := readTree(ctx, a.store)
	if err != nil {
		return err
	}
	batches, err := a.store.Watch(ctx, settings.Prefix, revision+1)
	if err != nil {
		return err
	}
	s := session{a: a, tree: tree, dirty: true}
	tick := time.NewTicker(dutyInterval)
	defer tick.Stop()
	for {
		var timer <-chan time.Time
		if s.dirty {
			timer = time.After(s.delay())
		}
		select {
		case b, ok := <-batches:
			if !ok || b.Err != nil {
				return b.Err
			}
			s.observe(b.Events)
		case <-timer:
			if err := s.decidePending(ctx); err != nil {
				return err
			}
		case <-tick.C:
			if a.position() < 0 {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// session holds the state of the work between two lists of the store.
type session struct {
	a          *Acceptor
	tree       *Tree
	dirty      bool      // there may be pending changes
	dirtySince time.Time // when dirty was set by a change
}

// observe applies events to the tree.
func (s *session) observe(events []store.Event) {
	for _, e := range events {
		s.tree.observe(e)
	}
	if len(events) > 0 && !s.dirty {
		s.dirty, s.dirtySince = true, s.a.now()
	}
}

// delay returns the remaining time to wait for more changes or, on the standby,
// for the primary.
func (s *session) delay() time.Duration {
	wait := BatchDelay
	if s.a.position() > 0 {
		wait = StandbyDelay
	}
	return wait - s.a.now().Sub(s.dirtySince)
}

// decidePending decides on every pending change. The standby first reads whether the
// primary has decided.
func (s *session) decidePending(ctx context.Context) error {
	if s.a.position() > 0 {
		if done, err := s.decidedElsewhere(ctx); done || err != nil {
			s.dirty = false
			return err
		}
	}
	for {
		p := s.tree.plan(s.a.held.Head(), s.a.now())
		if p.empty() {
			s.dirty = false
			return nil
		}
		if err := s.commit(ctx, p); err != nil {
			return err
		}
	}
}

// decidedElsewhere reads the decisions on the pending teams from the store into
// the tree. It returns whether no team is pending any more.
func (s *session) decidedElsewhere(ctx context.Context) (bool, error) {
	pending := s.tree.pending()
	if len(pending) > 1 {
		tree, _, err := readTree(ctx, s.a.store)
		if err != nil {
			return false, err
		}
		s.tree = tree
		return len(tree.pending()) == 0, nil
	}
	for _, key := range append(keysOf(pending), accepted.HeadKey) {
		kv, ok, err := s.a.store.Get(ctx, key)
		if err != nil {
			return false, err
		}
		if !ok {
			continue
		}
		prefix := accepted.Prefix
		if key != accepted.HeadKey && key == accepted.StatusKey(pending[0]) {
			prefix = accepted.StatusPrefix
		}
		if err := s.tree.load(prefix, kv); err != nil {
			return false, err
		}
	}
	return len(s.tree.pending()) == 0, nil
}

// keysOf returns the keys of the teams' records and statuses.
func keysOf(teams []string) []string {
	var out []string
	for _, team := range teams {
		out = append(out, accepted.TeamKey(team), accepted.StatusKey(team))
	}
	return out
}

// commit writes the records to accept or, if there are none, the refusals. A
// refusal waits because another pending document, once accepted, may resolve the
// clash that it reports.
func (s *session) commit(ctx context.Context, p Plan) error {
	if len(p.Accept) == 0 {
		return s.refuse(ctx, p.Refuse)
	}
	txn, head, err := s.tree.acceptTxn(p.Accept, uuid.NewString())
	if err != nil {
		return err
	}
	modRevision, err := s.write(ctx, txn, head.WriteID)
	if err != nil {
		return err
	}
	s.tree.recordAccepted(p.Accept, head, modRevision)
	s.a.metrics.accepted.Add(float64(len(p.Accept)))
	s.a.log.Info("settings accepted", "revision", head.Revision, "teams", len(p.Accept))
	return nil
}

func (s *session) refuse(ctx context.Context, statuses []accepted.Status) error {
	txn, err := s.tree.refuseTxn(statuses)
	if err != nil {
		return err
	}
	modRevision, err := s.write(ctx, txn, "")
	if err != nil {
		return err
	}
	s.tree.recordRefused(statuses, modRevision)
	for _, st := range statuses {
		for _, f := range st.Faults {
			s.a.metrics.refused.WithLabelValues(string(f.Reason)).Inc()
		}
		s.a.log.Warn("settings refused; the team's last accepted ones stay in force",
			"team", st.Team, "change", st.Change, "fault", st.Faults[0].String(), "faults", len(st.Faults))
	}
	return nil
}

// write commits a transaction and returns the store's revision of the commit. If
// the response was lost, the write ID in the head shows whether the transaction
// took effect. A refusal has no write ID: it returns the error and is decided
// again, which is idempotent.
func (s *session) write(ctx context.Context, txn store.Txn, writeID string) (int64, error) {
	modRevision, ok, err := s.a.store.Commit(ctx, txn)
	switch {
	case errors.Is(err, store.ErrUncertain):
		s.a.metrics.commits.WithLabelValues(resultUncertain).Inc()
		return s.readBack(ctx, writeID, err)
	case err != nil:
		s.a.metrics.commits.WithLabelValues(resultUnavailable).Inc()
		return 0, err
	case !ok:
		s.a.metrics.commits.WithLabelValues(resultConflict).Inc()
		return 0, errConflict
	}
	s.a.metrics.commits.WithLabelValues(resultOK).Inc()
	return modRevision, nil
}

// readBack returns the store's revision of the head if the head has the write ID,
// otherwise the error of the lost response.
func (s *session) readBack(ctx context.Context, writeID string, lost error) (int64, error) {
	kv, ok, err := s.a.store.Get(ctx, accepted.HeadKey)
	if err != nil || !ok {
		return 0, errors.CombineErrors(lost, err)
	}
	head, err := accepted.DecodeHead(kv)
	if err != nil || writeID == "" || head.WriteID != writeID {
		return 0, errors.CombineErrors(lost, err)
	}
	return kv.ModRevision, nil
}
