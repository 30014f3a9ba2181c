// Package gossip propagates quarantine records between the nodes that serve the callers' own
// interface (package gateway). Nodes that route by a platform's catalog (package router) propagate
// them with their heartbeats instead.
package gossip

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/peer"
	"github.com/knapweedgw/knapweedgw/quarantine"
	"github.com/knapweedgw/knapweedgw/routing"
)

// ServiceID is the kernel name of the Service.
const ServiceID kernel.ID = "quarantine.gossip"

// method is the name of the notification that carries records.
const method = "quarantine.told"

const (
	// interval is the time between two rounds: each node that has a change sends it in three
	// rounds.
	interval = 300 * time.Millisecond
	// fanout is the number of nodes that a round sends to. Each of them sends to others in turn,
	// so that all of 370 nodes have the records after three or four intervals.
	fanout = 8
	// sendTimeout bounds one send; the next round repeats it.
	sendTimeout = time.Second
)

// message is the body of the notification.
type message struct {
	// Records are encoded in CBOR, as in the heartbeats.
	Records []byte `json:"r"`
}

// Network sends notifications to nodes and registers their handlers.
type Network interface {
	Notify(ctx context.Context, addr, method string, params any) error
	Handle(method string, f peer.Handler)
}

// Service propagates the guard's records to other nodes. It sends nothing while there are none.
type Service struct {
	guard   *quarantine.Guard
	network Network
	members membership.Source
	log     *log.Logger
	changes chan struct{}
	// spawn runs a function concurrently; tests run it synchronously.
	spawn func(func())
}

// New returns a service that propagates the records of g to the members over n.
func New(g *quarantine.Guard, n Network, m membership.Source, l *log.Logger) *Service {
	s := &Service{guard: g, network: n, members: m, log: l, changes: make(chan struct{}, 1), spawn: func(f func()) { go f() }}
	n.Handle(method, s.receive)
	g.OnLocalChange(func() {
		select {
		case s.changes <- struct{}{}:
		default: // a round is already pending
		}
	})
	g.SetTrialPosition(s.position)
	return s
}

// position returns this node's position, from 0, in an order of the live nodes for a key.
func (s *Service) position(key uint64) int {
	view := s.members.View()
	own := routing.Score(key, routing.Hash(view.Self))
	before := 0
	for _, n := range view.Nodes {
		if n.ID != view.Self && n.State <= membership.Suspect && routing.Score(key, routing.Hash(n.ID)) > own {
			before++
		}
	}
	return before
}

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// Guard returns the guard whose records are propagated.
func (s *Service) Guard() *quarantine.Guard { return s.guard }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go pause.RunPeriodically(ctx, interval, s.sendRound)
	go s.sendChanges(ctx)
	return nil
}

// sendChanges starts a round at once when this node has recorded a local change.
func (s *Service) sendChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changes:
			s.sendRound(ctx)
		}
	}
}

func (s *Service) sendRound(ctx context.Context) {
	records := s.guard.PendingRecords()
	if len(records) == 0 {
		return
	}
	raw, err := cbor.Marshal(records)
	if err != nil {
		s.log.Error("quarantine records not sent: encoding failed", "err", err)
		return
	}
	for _, n := range s.peers() {
		s.spawn(func() { s.send(ctx, n.PeerAddr, message{Records: raw}) })
	}
}

func (s *Service) send(ctx context.Context, addr string, m message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.network.Notify(ctx, addr, method, m); err != nil {
		s.log.Debug("quarantine records not sent to a node", "addr", addr, "err", err)
	}
}

// peers returns up to fanout random live nodes other than this one.
func (s *Service) peers() []membership.Node {
	view := s.members.View()
	var live []membership.Node
	for _, n := range view.Nodes {
		if n.ID != view.Self && n.State <= membership.Suspect {
			live = append(live, n)
		}
	}
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(fanout, len(live))]
}

func (s *Service) receive(_ context.Context, params json.RawMessage) (any, error) {
	var m message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, errors.Wrap(err, "gossip: message")
	}
	var records []quarantine.Record
	if err := cbor.Unmarshal(m.Records, &records); err != nil {
		return nil, errors.WithHint(errors.Wrap(err, "gossip: records"), "run the same version on all nodes")
	}
	s.guard.MergeRecords("another node", records)
	return nil, nil
}
