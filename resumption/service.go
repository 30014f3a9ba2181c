package resumption

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/clock"
	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/peer"
)

// ServiceID is the kernel ID of the Service.
const ServiceID kernel.ID = "resumption.service"

// Methods by which nodes ask each other.
const (
	methodLookup = "resumption.lookup"
	methodCopy   = "resumption.copy"
)

const (
	// updateInterval is the time between two checks of the past and of the note in the store, besides those
	// when a version appears.
	updateInterval = time.Second
	// lookupTimeout bounds one round of lookups.
	lookupTimeout = 120 * time.Millisecond
	// copyTimeout bounds the copy of another node's ledger, of 500 kB at most.
	copyTimeout = 700 * time.Millisecond
	// copyPause is the time between two attempts to copy, from maxCopies nodes each: no other node may know
	// the past either.
	copyPause = time.Second
	maxCopies = 3
	// startUpTime is for how long after its start a node tries to copy every startUpInterval.
	startUpTime     = 2 * time.Second
	startUpInterval = 20 * time.Millisecond
	// maxConcurrentCopies bounds the copies that a node serves at once.
	maxConcurrentCopies = 8
	// noteTimeout bounds one write of the note.
	noteTimeout = time.Second
	// firstHolders is the number of nodes that are sent a record at once, batchDelay the time in which
	// records for the same node are collected.
	firstHolders = 2
	batchDelay   = 5 * time.Millisecond
	// reportSlack is how much later than two intervals after it became due a record may be sent.
	reportSlack = 50 * time.Millisecond
)

// Fleet provides the other nodes.
type Fleet interface {
	// Interval is the time in which each node of this one's group gets a report.
	Interval() time.Duration
	// Groups returns the other live nodes by their groups, this node's group first, each in the
	// rendezvous order of key. The nodes of its group get its reports.
	Groups(key uint64) (own []string, others [][]string)
	// StreamHolders returns up to limit of the nodes of its group that take records, in the rendezvous order
	// of key; SendStreams sends one of them packed records at once.
	StreamHolders(key uint64, limit int) []string
	SendStreams(node string, packed []byte)
}

// Network carries calls between nodes.
type Network interface {
	Handle(method string, f peer.Handler)
	LimitConcurrency(method string, limit int)
	Call(ctx context.Context, addr, method string, params, result any) error
}

// Service keeps this node's ledger and asks other nodes for theirs. Records are sent to the nodes of this
// node's group with its reports; see Report and Receive.
type Service struct {
	fleet   Fleet
	network Network
	view    *view
	now     func() time.Time
	log     *log.Logger
	metrics *metrics
	// saveNote writes the note into the store.
	saveNote func(ctx context.Context, note []byte) error

	mu     sync.Mutex
	ledger *Ledger
	// unsent holds the records that no other node has yet, begun has capacity 1 and contains a value while
	// there are any.
	unsent []Entry
	begun  chan struct{}
	// appeared has capacity 1 and contains a value after a version has appeared.
	appeared chan struct{}
	// storedNote is the note in the store as far as this node knows; forgotten counts how often that was lost.
	storedNote []byte
	forgotten  int

	// writing is true while the note is written.
	writing atomic.Bool

	// copied means that the records of other nodes were copied since a copy became due, nextCopy is when the
	// next attempt is due; only update uses them.
	copied   bool
	nextCopy time.Time
}

// New returns a service. saveNote writes the note into the store.
func New(
	t Targets, saveNote func(context.Context, []byte) error, f Fleet, n Network, l *log.Logger, reg prometheus.Registerer,
) *Service {
	s := &Service{
		fleet: f, network: n, now: clock.Monotonic, log: l, saveNote: saveNote, metrics: newMetrics(reg),
		begun: make(chan struct{}, 1), appeared: make(chan struct{}, 1), ledger: NewLedger(clock.Monotonic()),
	}
	s.view = &view{targets: t, now: s.now, suspended: clock.Suspended, lastSuspended: clock.Suspended()}
	n.Handle(methodLookup, s.serveLookup)
	n.Handle(methodCopy, s.serveCopy)
	n.LimitConcurrency(methodCopy, maxConcurrentCopies)
	return s
}

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go s.run(ctx)
	go s.sendBegun(ctx)
	return nil
}

// run updates the ledger and keeps the note.
func (s *Service) run(ctx context.Context) {
	s.startUp(ctx)
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.appeared:
		}
		s.update(ctx)
		s.keepNote(ctx)
	}
}

// PutTarget records that a target of a service has the origin. It doesn't call the list of targets.
func (s *Service) PutTarget(id, service string, o Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.PutTarget(id, service, o, s.now()) {
		signal(s.appeared)
	}
}

// signal puts a value into a channel of capacity 1 that may contain one already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// RemoveTarget records that a target is gone. It doesn't call the list of targets.
func (s *Service) RemoveTarget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.RemoveTarget(id, s.now())
}

// Begin records that this node has delivered events of a stream that began at the origin. It is called
// again after RefreshInterval while the stream is in progress.
func (s *Service) Begin(k Key, o Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Begin(k, o, s.now()) {
		s.unsent = append(s.unsent, Entry{k, o})
		signal(s.begun)
	}
}

// sendBegun sends new records to their first holders at once: the next report may come too late, since this
// node may end before it.
func (s *Service) sendBegun(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.begun:
		}
		pause.Sleep(ctx, batchDelay)
		s.mu.Lock()
		entries := s.unsent
		s.unsent = nil
		s.mu.Unlock()
		for node, some := range s.byHolder(entries) {
			s.fleet.SendStreams(node, pack(some))
		}
	}
}

// byHolder returns the records that each node is sent at once.
func (s *Service) byHolder(entries []Entry) map[string][]Entry {
	out := make(map[string][]Entry)
	for _, e := range entries {
		for _, node := range s.fleet.StreamHolders(uint64(e.Key), firstHolders) {
			out[node] = append(out[node], e)
		}
	}
	return out
}

// Settling returns the versions of a service that have just appeared, at which streams should not begin yet.
func (s *Service) Settling(service string) []Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Settling(service, s.now())
}

// Report returns the records to be sent with a report, and whether this node takes those of others.
func (s *Service) Report() (packed []byte, sharing bool) {
	keep := 2*s.fleet.Interval() + reportSlack
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.sharing {
		return nil, false
	}
	return s.ledger.Pending(keep, s.now()), true
}

// Receive adds the records in the report of another node.
func (s *Service) Receive(node string, packed []byte) {
	if len(packed) == 0 {
		return
	}
	s.mu.Lock()
	n, err := s.ledger.Receive(packed, s.now())
	s.mu.Unlock()
	s.metrics.received.Add(float64(n))
	if err != nil {
		s.log.Warn("records of streams not usable", "peer", node, "err", err)
	}
}

// update checks the past and copies the ledgers of other nodes if this node needs that. It reports whether
// it still does.
func (s *Service) update(ctx context.Context) (needsCopy bool) {
	confirmed := s.view.confirmed()
	s.mu.Lock()
	now := s.now()
	s.updateLedger(confirmed, now)
	needsCopy = s.ledger.NeedsCopy(now)
	s.metrics.records.Set(float64(s.ledger.Records()))
	s.mu.Unlock()
	switch {
	case !needsCopy:
		s.copied, s.nextCopy = false, time.Time{}
	case s.view.isCurrent() && !now.Before(s.nextCopy):
		s.copyLedger(ctx)
	}
	return needsCopy
}

// startUp updates the ledger often until it is copied, so that nodes that are restarted one after the other
// pass on the records of streams.
func (s *Service) startUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startUpTime)
	defer cancel()
	for ctx.Err() == nil && s.update(ctx) {
		pause.Sleep(ctx, startUpInterval)
	}
}

// updateLedger updates the ledger. Callers must hold s.mu.
func (s *Service) updateLedger(confirmed, now time.Time) {
	sharing, changed := s.ledger.Update(confirmed, now)
	if !changed {
		return
	}
	s.metrics.setSharing(sharing)
	s.log.Info("sharing of stream records changed", "sharing", sharing, "past_complete", s.ledger.IsComplete(now),
		"confirmed_ms_ago", now.Sub(confirmed).Milliseconds())
}

// copyRequest asks a node for its ledger.
type copyRequest struct {
	// PastOnly leaves out the records of streams, and all if that node doesn't know the past.
	PastOnly bool `json:"past_only,omitempty"`
}

// copyLedger copies the ledgers of other nodes of the group, until one of them has missed nothing itself. If
// none has, what they know together is all there is.
func (s *Service) copyLedger(ctx context.Context) {
	own, _ := s.fleet.Groups(rand.Uint64())
	for _, node := range own[:min(maxCopies, len(own))] {
		s.nextCopy = s.now().Add(copyPause)
		got, err := s.copyFrom(ctx, node)
		if err != nil {
			s.log.Debug("copying the records of streams failed", "peer", node, "err", err)
			continue
		}
		s.copied = true
		s.log.Info("copied the records of streams", "peer", node, "origins", len(got.Origins),
			"bytes", len(got.Records), "past_complete", got.Complete, "missing", got.Missing)
		if !got.Missing {
			break
		}
	}
	if s.copied {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ledger.EndCopy()
	}
}

func (s *Service) copyFrom(ctx context.Context, node string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var got Snapshot
	if err := s.network.Call(ctx, node, methodCopy, copyRequest{PastOnly: s.copied}, &got); err != nil {
		return got, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return got, s.ledger.Adopt(got, s.now())
}

func (s *Service) serveCopy(_ context.Context, params json.RawMessage) (any, error) {
	var req copyRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "resumption: copy")
	}
	current := s.view.isCurrent()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ledger.Snapshot(s.now())
	out.Complete = out.Complete && current
	switch {
	case req.PastOnly && !out.Complete:
		return Snapshot{Missing: out.Missing}, nil
	case req.PastOnly:
		out.Records = nil
	}
	return out, nil
}

// StoredNote records the note found in the store, nil for none. complete means that this node has just
// started, so that the note, or its absence, shows the past: no other node has told of it yet.
func (s *Service) StoredNote(raw []byte, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.storedNote = raw
	if raw == nil {
		s.ledger.ReadNoNote()
	} else if err := s.ledger.ReadNote(raw, now); err != nil {
		s.log.Warn("note on the versions of targets is unusable", "err", err)
		return
	}
	if complete {
		s.ledger.CompletePast(now)
	}
}

// ForgetStoredNote records that it isn't known which note is in the store, so that the note is written again.
func (s *Service) ForgetStoredNote() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedNote = nil
	s.forgotten++
	signal(s.appeared)
}

// keepNote begins to write the note when it has changed, if this node is the one that does.
func (s *Service) keepNote(ctx context.Context) {
	if !s.view.targets.WritesNote() || !s.view.isCurrent() {
		return
	}
	note, forgotten := s.dueNote()
	if note == nil || !s.writing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.writing.Store(false)
		s.writeNote(ctx, note, forgotten)
	}()
}

// dueNote returns the note to be written, nil for none, and the value of s.forgotten.
func (s *Service) dueNote() (note []byte, forgotten int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	note, err := s.ledger.Note(s.now())
	if err != nil {
		s.log.Error("encoding the note on the versions of targets failed", "err", err)
		return nil, s.forgotten
	}
	if bytes.Equal(note, s.storedNote) {
		return nil, s.forgotten
	}
	return note, s.forgotten
}

// writeNote writes the note. If it is unknown since forgotten was read what the store has, the write may be gone.
func (s *Service) writeNote(ctx context.Context, note []byte, forgotten int) {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	if err := s.saveNote(ctx, note); err != nil {
		s.log.Warn("saving the note on the versions of targets failed; trying again", "err", err)
		return
	}
	s.log.Info("note on the versions of targets saved", "bytes", len(note))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forgotten == forgotten {
		s.storedNote = note
	}
}
