package follower

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedgw/knapweedgw/membership"
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
	// AntiEntropyInterval is the mean time between a node's comparisons of
	// heads with another node.
	AntiEntropyInterval = 2 * time.Second
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
	addr string
	head int64
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
	f.confirm(m.Head)
	if m.From != "" && m.Head > f.Head() {
		f.hint(hint{m.From, m.Head})
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
	f.spawn(func() {
		f.each(duty.Announcees(v), func(n membership.Node) {
			reply, err := f.askHead(ctx, n.PeerAddr, methodAnnounce, headMessage{Head: head, From: self.PeerAddr})
			f.metrics.announcements.WithLabelValues(resultOf(err)).Inc()
			if err == nil {
				f.confirm(reply.Head)
			}
		})
	})
}

func (f *Follower) askHead(ctx context.Context, addr, method string, m headMessage) (headMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
			if h.head <= f.Head() {
				continue
			}
			if err := f.pull(ctx, h.addr); err != nil {
				f.log.Debug("settings not pulled; the next comparison tries again", "peer", h.addr, "err", err)
			}
		}
	}
}

// pull takes over what the peer holds beyond this node's head. The last call,
// which brings nothing, tells each of both that the other holds it.
func (f *Follower) pull(ctx context.Context, addr string) error {
	for {
		since := f.Head()
		d, err := f.pullOnce(ctx, addr, since)
		f.metrics.pulls.WithLabelValues(resultOf(err)).Inc()
		if err != nil {
			return err
		}
		f.confirm(d.Through)
		f.absorb(ctx, d, sourcePeer)
		if f.Head() <= since {
			return nil
		}
	}
}

func (f *Follower) pullOnce(ctx context.Context, addr string, since int64) (accepted.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var d accepted.Delta
	err := f.peers.Call(ctx, addr, methodPull, headMessage{Head: since, From: f.self().PeerAddr}, &d)
	return d, err
}

// antiEntropyLoop compares heads with another node now and then; the one that
// is behind pulls.
func (f *Follower) antiEntropyLoop(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for round := 0; ctx.Err() == nil; round++ {
		sleep(ctx, Jitter(AntiEntropyInterval, rnd))
		n, ok := duty.AntiEntropyPeer(f.members.View(), round, rnd)
		if !ok {
			continue
		}
		if err := f.pull(ctx, n.PeerAddr); err != nil {
			f.log.Debug("heads not compared; the next round asks another node", "peer", n.PeerAddr, "err", err)
		}
	}
}

// Jitter returns a duration between half and one and a half times d.
func Jitter(d time.Duration, rnd *rand.Rand) time.Duration {
	return d/2 + time.Duration(rnd.Int64N(int64(d)))
}

func resultOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
