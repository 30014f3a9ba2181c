package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
	"github.com/knapweedgw/knapweedgw/pause"
	"github.com/knapweedgw/knapweedgw/settings/accepted"
	"github.com/knapweedgw/knapweedgw/settings/duty"
)

// Methods of the calls between nodes.
const (
	methodAnnounce = "settings.announce"
	methodPull     = "settings.pull"
	methodHead     = "settings.head"
)

const (
	// callTimeout is the timeout of a call to a peer.
	callTimeout = time.Second
	// HintTimeout is the timeout of a call that follows a new revision. It is
	// shorter than callTimeout because the peer is close and the delta small.
	HintTimeout = 300 * time.Millisecond
	// OtherPartDelay is how long a relay waits before it announces also to the
	// other relay's part of the failure domain.
	OtherPartDelay = 50 * time.Millisecond
	// MaxHintAttempts is the largest number of attempts of a call that follows a
	// new revision.
	MaxHintAttempts = 3
	// antiEntropyInterval is the mean time between a node's comparisons of
	// heads with another node. It is startupInterval during startupPeriod after the
	// start, because relays announce to a new node only after it has appeared
	// in their views.
	antiEntropyInterval = 2 * time.Second
	startupInterval     = 500 * time.Millisecond
	startupPeriod       = 15 * time.Second
	// maxParallelCalls limits the concurrent calls of one announcement or
	// bootstrap.
	maxParallelCalls = 16
)

// headMessage carries a node's head. From is the sender's peer address.
type headMessage struct {
	Head int64  `json:"head"`
	From string `json:"from,omitempty"`
	// Ready is whether the node serves settings.
	Ready bool `json:"ready,omitempty"`
}

// hint names a peer that may hold a higher head than this node. tries counts the
// failed pulls.
type hint struct {
	addr  string
	head  int64
	tries int
}

// handle registers the handlers of the calls between nodes.
func (f *Follower) handle() {
	f.peers.Handle(methodAnnounce, f.onHead)
	f.peers.Handle(methodHead, f.onHead)
	f.peers.Handle(methodPull, f.onPull)
}

// onHead handles an announcement or a request for the head; the response is this
// node's head.
func (f *Follower) onHead(_ context.Context, params json.RawMessage) (any, error) {
	var m headMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	f.learn(m)
	return headMessage{Head: f.Head(), Ready: f.Snapshot() != nil}, nil
}

// onPull responds with the records newer than the caller's head.
func (f *Follower) onPull(_ context.Context, params json.RawMessage) (any, error) {
	var m headMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	f.learn(m)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.DeltaSince(m.Head), nil
}

// learn handles another node's head: it confirms what both nodes hold, and queues a
// pull if the other head is higher.
func (f *Follower) learn(m headMessage) {
	f.confirm(m.From, m.Head)
	if m.From != "" && m.Head > f.Head() {
		f.queueHint(hint{addr: m.From, head: m.Head})
	}
}

// queueHint queues a pull for the pull loop. A hint that doesn't fit into the queue
// is dropped; anti-entropy covers it.
func (f *Follower) queueHint(h hint) {
	select {
	case f.hints <- h:
	default:
	}
}

// self returns this node's entry in the view.
func (f *Follower) self() membership.Node {
	v := f.members.View()
	n, _ := v.Node(v.Self)
	return n
}

// announce sends a new head to the failure domain if this node is a relay.
func (f *Follower) announce(ctx context.Context, head int64) {
	v := f.members.View()
	self, _ := v.Node(v.Self)
	if duty.Position(duty.Relays(v, self.FailureDomain), v.Self) < 0 {
		return
	}
	m := headMessage{Head: head, From: self.PeerAddr}
	send := func(n membership.Node) { f.announceTo(ctx, n.PeerAddr, m) }
	first, later := duty.AnnouncementPeers(v)
	f.spawn(func() { f.forEach(first, send) })
	f.spawn(func() {
		f.wait(ctx, OtherPartDelay)
		f.forEach(later, send)
	})
}

// announceTo sends the head until the peer answers, this node holds a newer head, or
// MaxHintAttempts attempts have failed.
func (f *Follower) announceTo(ctx context.Context, addr string, m headMessage) {
	for range MaxHintAttempts {
		reply, err := f.askHead(ctx, addr, methodAnnounce, m, HintTimeout)
		f.metrics.announcements.WithLabelValues(resultOf(err)).Inc()
		if err == nil {
			f.confirm(addr, reply.Head)
			return
		}
		if f.Head() > m.Head {
			return
		}
	}
}

// askHead sends this node's head and returns the peer's.
func (f *Follower) askHead(ctx context.Context, addr, method string, m headMessage, timeout time.Duration) (headMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply headMessage
	err := f.peers.Call(ctx, addr, method, m, &reply)
	return reply, err
}

// forEach calls do for every node, maxParallelCalls at a time, and waits for all.
func (f *Follower) forEach(nodes []membership.Node, do func(membership.Node)) {
	slots := make(chan struct{}, maxParallelCalls)
	var wg sync.WaitGroup
	for _, n := range nodes {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			do(n)
		})
	}
	wg.Wait()
}

// pullLoop pulls from the peers of the queued hints.
func (f *Follower) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-f.hints:
			f.follow(ctx, h)
		}
	}
}

// follow pulls from the hint's peer, unless this node already holds the hint's head
// and has it confirmed by another node. A failed pull goes to the end of the queue,
// up to MaxHintAttempts attempts.
func (f *Follower) follow(ctx context.Context, h hint) {
	if f.confirmed() >= h.head {
		return
	}
	err := f.pull(ctx, h.addr, HintTimeout)
	if err == nil {
		return
	}
	f.log.Debug("settings not pulled", "peer", h.addr, "tries", h.tries, "err", err)
	if h.tries++; h.tries < MaxHintAttempts {
		f.queueHint(h)
	}
}

// pull applies the peer's records above this node's head. It pulls until a response
// has nothing new: that last call confirms to each of the two nodes that the other
// holds the same head.
func (f *Follower) pull(ctx context.Context, addr string, timeout time.Duration) error {
	for {
		since := f.Head()
		d, err := f.pullOnce(ctx, addr, since, timeout)
		f.metrics.pulls.WithLabelValues(resultOf(err)).Inc()
		if err != nil {
			return err
		}
		f.confirm(addr, d.Through)
		f.apply(ctx, d, sourcePeer)
		if f.Head() <= since {
			f.announceToSeed(ctx)
			return nil
		}
	}
}

// announceToSeed announces this node's head to one of its seeds if no seed has
// confirmed it, so that the seed pulls it and a restart of this node finds it
// again.
func (f *Follower) announceToSeed(ctx context.Context) {
	head := f.Head()
	if f.confirmed() >= head {
		return
	}
	if seeds := duty.Seeds(f.members.View(), newRand()); len(seeds) > 0 {
		m := headMessage{Head: head, From: f.self().PeerAddr}
		f.spawn(func() { f.announceTo(ctx, seeds[0].PeerAddr, m) })
	}
}

// pullOnce requests the peer's records above a revision.
func (f *Follower) pullOnce(ctx context.Context, addr string, since int64, timeout time.Duration) (accepted.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d accepted.Delta
	err := f.peers.Call(ctx, addr, methodPull, headMessage{Head: since, From: f.self().PeerAddr}, &d)
	return d, err
}

// newRand returns a new random source; one isn't safe for concurrent use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// antiEntropyLoop periodically compares heads with another node; the node with the
// lower head pulls from the other.
func (f *Follower) antiEntropyLoop(ctx context.Context) {
	rnd := newRand()
	start := f.now()
	for round := 0; ctx.Err() == nil; round++ {
		pause.Sleep(ctx, AntiEntropyDelay(f.now().Sub(start), rnd))
		n, ok := duty.AntiEntropyPeer(f.members.View(), round, rnd)
		if !ok {
			continue
		}
		if err := f.pull(ctx, n.PeerAddr, callTimeout); err != nil {
			f.log.Debug("anti-entropy failed; the next round calls another node", "peer", n.PeerAddr, "err", err)
		}
	}
}

// AntiEntropyDelay returns the time until the next comparison of heads of a node
// that started age ago: a random time between half and one and a half times the
// mean interval.
func AntiEntropyDelay(age time.Duration, rnd *rand.Rand) time.Duration {
	mean := antiEntropyInterval
	if age < startupPeriod {
		mean = startupInterval
	}
	return mean/2 + time.Duration(rnd.Int64N(int64(mean)))
}

// resultOf returns the result label of a call.
func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
