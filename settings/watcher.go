package settings

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/store"
)

// ServiceID is the kernel name of the Watcher.
const ServiceID kernel.ID = "settings.watcher"

const retryInterval = time.Second

// Watcher keeps the latest settings from the store.
type Watcher struct {
	store store.Store
	log   *log.Logger
	snap  atomic.Pointer[Snapshot]
}

// NewWatcher returns a watcher of the operators' tree.
func NewWatcher(s store.Store, l *log.Logger) *Watcher {
	return &Watcher{store: s, log: l}
}

// ID implements kernel.Service.
func (w *Watcher) ID() kernel.ID { return ServiceID }

// Snapshot returns the settings in force, nil before the first are read.
func (w *Watcher) Snapshot() *Snapshot { return w.snap.Load() }

// Start implements kernel.Starter. The first settings are read in the
// background.
func (w *Watcher) Start(ctx context.Context) error {
	go w.run(ctx)
	return nil
}

func (w *Watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.follow(ctx); err != nil && ctx.Err() == nil {
			w.log.Warn("settings not followed", "err", err)
		}
		sleep(ctx, retryInterval)
	}
}

// follow lists the tree, then applies changes until the watch ends.
func (w *Watcher) follow(ctx context.Context) error {
	page, err := w.store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	teams := make(map[string]Team)
	for _, kv := range page.KVs {
		w.apply(teams, store.Event{KV: kv})
	}
	w.publish(page.Revision, teams)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := w.store.Watch(ctx, Prefix, page.Revision+1)
	if err != nil {
		return err
	}
	for b := range batches {
		if b.Err != nil {
			return b.Err
		}
		for _, e := range b.Events {
			w.apply(teams, e)
		}
		if len(b.Events) > 0 {
			w.publish(b.Revision, teams)
		}
	}
	return errors.New("settings: watch closed")
}

func (w *Watcher) apply(teams map[string]Team, e store.Event) {
	team, ok := strings.CutSuffix(strings.TrimPrefix(e.KV.Key, Prefix), "/settings")
	if !ok {
		return
	}
	if e.Deleted {
		delete(teams, team)
		return
	}
	var doc Team
	if err := json.Unmarshal(e.KV.Value, &doc); err != nil {
		w.log.Error("settings refused; the team's last accepted ones stay in force", "team", team, "err", err)
		return
	}
	teams[team] = doc
}

func (w *Watcher) publish(revision int64, teams map[string]Team) {
	if cur := w.snap.Load(); cur != nil && cur.Revision >= revision {
		return
	}
	w.snap.Store(NewSnapshot(revision, maps.Clone(teams)))
	w.log.Info("settings in force", "revision", revision, "teams", len(teams))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
