// Package acceptor accepts operators' changes: it checks each document and
// commits it by compare-and-swap under the next revision of the fleet, or says
// what to mend. Any node may do so at any time, several at once as well; only
// the compares make it safe, the duty merely saves work.
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

// ServiceID is the kernel name of the Acceptor.
const ServiceID kernel.ID = "settings.acceptor"

const (
	// dutyInterval is the time between looks at the membership view.
	dutyInterval = 500 * time.Millisecond
	// GroupDelay lets changes that come together share a transaction.
	GroupDelay = 50 * time.Millisecond
	// StandbyDelay is how long the standby leaves a change to the first.
	StandbyDelay = time.Second
	// resyncInterval is the time after which everything is listed anew, in
	// case a watch lost a change without an error.
	resyncInterval = 5 * time.Minute
	// retryDelay is the wait after the store failed.
	retryDelay = 500 * time.Millisecond
)

// errConflict means that something changed since it was read.
var errConflict = errors.New("settings: the store changed since it was read; read again")

// HeadSource gives the highest accepted revision that this node holds.
type HeadSource interface{ Head() int64 }

// Acceptor accepts changes while this node has the duty.
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

// position returns 0 for the node that accepts, 1 for its standby, -1 else.
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
			a.log.Warn("settings are not accepted for now", "err", err)
			pause.Sleep(ctx, retryDelay)
		}
	}
}

// serve accepts changes until the duty or the watch ends.
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
		var due <-chan time.Time
		if s.dirty {
			due = time.After(s.delay())
		}
		select {
		case b, ok := <-batches:
			if !ok || b.Err != nil {
				return b.Err
			}
			s.observe(b.Events)
		case <-due:
			if err := s.settle(ctx); err != nil {
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

// session is the work between two lists of the store.
type session struct {
	a     *Acceptor
	tree  *Tree
	dirty bool
	since time.Time
}

func (s *session) observe(events []store.Event) {
	for _, e := range events {
		s.tree.observe(e)
	}
	if len(events) > 0 && !s.dirty {
		s.dirty, s.since = true, s.a.now()
	}
}

// delay returns how long to wait for more changes, or for the first acceptor.
func (s *session) delay() time.Duration {
	wait := GroupDelay
	if s.a.position() > 0 {
		wait = StandbyDelay
	}
	return wait - s.a.now().Sub(s.since)
}

// settle decides on every pending change.
func (s *session) settle(ctx context.Context) error {
	if s.a.position() > 0 {
		if done, err := s.settledElsewhere(ctx); done || err != nil {
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

// settledElsewhere reads what became of the pending teams, and takes it over.
func (s *session) settledElsewhere(ctx context.Context) (bool, error) {
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

func keysOf(teams []string) []string {
	var out []string
	for _, team := range teams {
		out = append(out, accepted.TeamKey(team), accepted.StatusKey(team))
	}
	return out
}

// commit writes the records to accept or, when there are none, the refusals:
// a document that another pending one clashes with is decided last.
func (s *session) commit(ctx context.Context, p Plan) error {
	if len(p.Accept) == 0 {
		return s.refuse(ctx, p.Refuse)
	}
	txn, head, err := s.tree.acceptTxn(p.Accept, uuid.NewString())
	if err != nil {
		return err
	}
	mod, err := s.write(ctx, txn, head.WriteID)
	if err != nil {
		return err
	}
	s.tree.accepted(p.Accept, head, mod)
	s.a.metrics.accepted.Add(float64(len(p.Accept)))
	s.a.log.Info("settings accepted", "revision", head.Revision, "teams", len(p.Accept))
	return nil
}

func (s *session) refuse(ctx context.Context, statuses []accepted.Status) error {
	txn, err := s.tree.refuseTxn(statuses)
	if err != nil {
		return err
	}
	mod, err := s.write(ctx, txn, "")
	if err != nil {
		return err
	}
	s.tree.refused(statuses, mod)
	for _, st := range statuses {
		for _, f := range st.Faults {
			s.a.metrics.refused.WithLabelValues(string(f.Reason)).Inc()
		}
		s.a.log.Warn("settings refused; the team's last accepted ones stay in force",
			"team", st.Team, "change", st.Change, "fault", st.Faults[0].String(), "faults", len(st.Faults))
	}
	return nil
}

// write commits a transaction. A lost answer is settled by reading the head's
// write ID back; one without a write ID is decided anew, which is idempotent.
func (s *session) write(ctx context.Context, txn store.Txn, writeID string) (int64, error) {
	mod, ok, err := s.a.store.Commit(ctx, txn)
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
	return mod, nil
}

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
