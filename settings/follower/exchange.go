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

// Methods between nodes.
const (
	methodAnnounce = "settings.announce"
	methodPull     = "settings.pull"
	methodHead     = "settings.head"
)

const (
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// HintTimeout bounds one call that follows a new revision: the peer is
	// near and the delta small.
	HintTimeout = 300 * time.Millisecond
	// LaterDelay is how long a relay leaves the other's part of the failure
	// domain to it.
	LaterDelay = 50 * time.Millisecond
	// HintTries is the number of tries of such a call.
	HintTries = 3
	// antiEntropyInterval is the mean time between a node's comparisons of
	// heads with another node; it is freshInterval during freshTime after the
	// start, for the relays' views don't show a new node at once.
	antiEntropyInterval = 2 * time.Second
	freshInterval       = 500 * time.Millisecond
	freshTime           = 15 * time.Second
	// maxParallelCalls bounds the calls of one announcement or start.
	maxParallelCalls = 16
)

// headMessage tells a node's head. From is its peer address.
type headMessage struct {
	Head int64  `json:"head"`
	From string `json:"from,omitempty"`
	// Ready says that the node serves settings.
	Ready bool `json:"ready,omitempty"`
}

// hint says that a peer may hold more than this node.
type hint struct {
	addr  string
	head  int64
	tries int
}

func (f *Follower) handle() {
	f.peers.Handle(methodAnnounce, f.onHead)
	f.peers.Handle(methodHead, f.onHead)
	f.peers.Handle(methodPull, f.onPull)
}

// onHead answers an announcement or a question with this node's head.
func (f *Follower) onHead(_ context.Context, params json.RawMessage) (any, error) {
	var m headMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	f.learn(m)
	return headMessage{Head: f.Head(), Ready: f.Snapshot() != nil}, nil
}

// onPull answers with what is newer than the asking node's head.
func (f *Follower) onPull(_ context.Context, params json.RawMessage) (any, error) {
	var m headMessage
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, err
	}
	f.learn(m)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Since(m.Head), nil
}

// learn takes over what another node says of its head.
func (f *Follower) learn(m headMessage) {
	f.confirm(m.From, m.Head)
	if m.From != "" && m.Head > f.Head() {
		f.hint(hint{addr: m.From, head: m.Head})
	}
}

// hint asks the pull loop for a pull. When many wait already, one more isn't
// needed: anti-entropy covers it.
func (f *Follower) hint(h hint) {
	select {
	case f.hints <- h:
	default:
	}
}

func (f *Follower) self() membership.Node {
	v := f.members.View()
	n, _ := v.Node(v.Self)
	return n
}

// announce tells the failure domain of a new head if this node is a relay.
func (f *Follower) announce(ctx context.Context, head int64) {
	v := f.members.View()
	self, _ := v.Node(v.Self)
	if duty.Position(duty.Relays(v, self.FailureDomain), v.Self) < 0 {
		return
	}
	m := headMessage{Head: head, From: self.PeerAddr}
	tell := func(n membership.Node) { f.announceTo(ctx, n.PeerAddr, m) }
	first, later := duty.Announcees(v)
	f.spawn(func() { f.each(first, tell) })
	f.spawn(func() {
		f.wait(ctx, LaterDelay)
		f.each(later, tell)
	})
}

// announceTo tries until the peer answers or a newer head makes it needless.
func (f *Follower) announceTo(ctx context.Context, addr string, m headMessage) {
	for range HintTries {
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

func (f *Follower) askHead(ctx context.Context, addr, method string, m headMessage, timeout time.Duration) (headMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply headMessage
	err := f.peers.Call(ctx, addr, method, m, &reply)
	return reply, err
}

// each calls do for every node, maxParallelCalls at a time, and waits.
func (f *Follower) each(nodes []membership.Node, do func(membership.Node)) {
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

// pullLoop pulls from the peers that are said to hold more.
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

// follow pulls what a hint promises, unless this node holds it by now and
// knows of another that does. A pull that fails goes to the end of the queue.
func (f *Follower) follow(ctx context.Context, h hint) {
	if f.confirmed() >= h.head {
		return
	}
	err := f.pull(ctx, h.addr, HintTimeout)
	if err == nil {
		return
	}
	f.log.Debug("settings not pulled", "peer", h.addr, "tries", h.tries, "err", err)
	if h.tries++; h.tries < HintTries {
		f.hint(h)
	}
}

// pull takes over what the peer holds beyond this node's head. The last call,
// which brings nothing, tells each of both that the other holds it.
func (f *Follower) pull(ctx context.Context, addr string, timeout time.Duration) error {
	for {
		since := f.Head()
		d, err := f.pullOnce(ctx, addr, since, timeout)
		f.metrics.pulls.WithLabelValues(resultOf(err)).Inc()
		if err != nil {
			return err
		}
		f.confirm(addr, d.Through)
		f.absorb(ctx, d, sourcePeer)
		if f.Head() <= since {
			f.seekHolder(ctx)
			return nil
		}
	}
}

// seekHolder tells one node that a restart would ask of what came from
// elsewhere, so that it comes to hold it too.
func (f *Follower) seekHolder(ctx context.Context) {
	head := f.Head()
	if f.confirmed() >= head {
		return
	}
	if seeds := duty.Seeds(f.members.View(), newRand()); len(seeds) > 0 {
		m := headMessage{Head: head, From: f.self().PeerAddr}
		f.spawn(func() { f.announceTo(ctx, seeds[0].PeerAddr, m) })
	}
}

func (f *Follower) pullOnce(ctx context.Context, addr string, since int64, timeout time.Duration) (accepted.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d accepted.Delta
	err := f.peers.Call(ctx, addr, methodPull, headMessage{Head: since, From: f.self().PeerAddr}, &d)
	return d, err
}

// newRand returns a random source of its own for one loop.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// antiEntropyLoop compares heads with another node now and then; the one that
// is behind pulls.
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
			f.log.Debug("heads not compared; the next round asks another node", "peer", n.PeerAddr, "err", err)
		}
	}
}

// AntiEntropyDelay returns the time until the next comparison of a node that
// started some time ago: between half and one and a half times the mean.
func AntiEntropyDelay(age time.Duration, rnd *rand.Rand) time.Duration {
	mean := antiEntropyInterval
	if age < freshTime {
		mean = freshInterval
	}
	return mean/2 + time.Duration(rnd.Int64N(int64(mean)))
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
