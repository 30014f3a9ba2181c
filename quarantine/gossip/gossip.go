// Package gossip tells the nodes of the callers' own interface which requests targets
// end under. Nodes that route by a platform's catalog tell it with their heartbeats.
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
)

// ServiceID is the kernel name of the Service.
const ServiceID kernel.ID = "quarantine.gossip"

// method is the notification that brings records.
const method = "quarantine.told"

const (
	// interval is the time between two tellings: news are told three times by each
	// node that has them.
	interval = 300 * time.Millisecond
	// fanout is the number of nodes told at a time. Each tells others in turn, so that
	// all of 370 know after three or four intervals.
	fanout = 8
	// sendTimeout bounds a telling; another follows.
	sendTimeout = time.Second
)

// message is what a node tells.
type message struct {
	// Records are in CBOR, as in the heartbeats.
	Records []byte `json:"r"`
}

// Network sends notifications to nodes.
type Network interface {
	Notify(ctx context.Context, addr, method string, params any) error
	Handle(method string, f peer.Handler)
}

// Service tells other nodes what the guard knows. It sends nothing while that is nothing.
type Service struct {
	guard   *quarantine.Guard
	network Network
	members membership.Source
	log     *log.Logger
	news    chan struct{}
	// spawn runs a call beside others.
	spawn func(func())
}

// New returns a service that tells what g knows to the members over n.
func New(g *quarantine.Guard, n Network, m membership.Source, l *log.Logger) *Service {
	s := &Service{guard: g, network: n, members: m, log: l, news: make(chan struct{}, 1), spawn: func(f func()) { go f() }}
	n.Handle(method, s.receive)
	g.OnNews(func() {
		select {
		case s.news <- struct{}{}:
		default: // a telling is due already
		}
	})
	return s
}

// ID implements kernel.Service.
func (s *Service) ID() kernel.ID { return ServiceID }

// Guard returns what decides over requests.
func (s *Service) Guard() *quarantine.Guard { return s.guard }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	go pause.Every(ctx, interval, s.tell)
	go s.tellNews(ctx)
	return nil
}

// tellNews tells at once what this node has seen itself.
func (s *Service) tellNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.news:
			s.tell(ctx)
		}
	}
}

func (s *Service) tell(ctx context.Context) {
	records := s.guard.Tell()
	if len(records) == 0 {
		return
	}
	raw, err := cbor.Marshal(records)
	if err != nil {
		s.log.Error("requests not told to other nodes", "err", err)
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
		s.log.Debug("requests not told to a node", "addr", addr, "err", err)
	}
}

// peers returns some live nodes besides this one.
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
	s.guard.Hear("another node", records)
	return nil, nil
}
