package routing

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
	"github.com/knapweedgw/knapweedgw/peer"
)

// workspaceWeight is what an operator would set: a workspace's usual share of
// the callers, 1 on average.
func workspaceWeight(i int) float64 {
	if i < surgingWorkspaces {
		return workspaces * surgeShare / surgingWorkspaces
	}
	rank := float64(i - surgingWorkspaces + 1)
	return workspaces * (1 - surgeShare) * math.Log1p(1/rank) / math.Log(workspaces-surgingWorkspaces)
}

func workspaceName(i int) string { return fmt.Sprintf("team-%02d/ws-%03d", i%20, i) }

// A conversation is measured after its first messages, whose repeated parts
// the connection hasn't carried yet.
const (
	conversation = 64
	warmUp       = 8
	sampleList   = 32 // elements of a list whose mean size is taken
	// sampleSeqStep is the mean step from one place of a node in a cell to
	// the next, as a node numbers its places in all cells.
	sampleSeqStep = 26
)

// wireSizes gives the sizes of the peer protocol's messages as a connection
// carries them, without TCP and IP headers.
var wireSizes = newSizes(rand.New(rand.NewPCG(1, 1)))

type sizes struct {
	askBytes, excludeBytes, grantBytes, fullBytes, releaseBytes int
	resyncBytes, heldBytes, detailBytes, recentBytes, pullBytes int
	totalsBytes, cellBytes, deltaBytes                          int
}

// sampler makes messages of usual content.
type sampler struct {
	rng  *rand.Rand
	from holds.From
	key  holds.CellKey
}

func newSizes(rng *rand.Rand) sizes {
	s := sampler{
		rng:  rng,
		from: holds.From{Node: "node-001", Incarnation: 1_700_000_000_000_000_000},
		key:  holds.CellKey{Pool: "asistente-lm", Cell: 10, Of: 26},
	}
	asks := onWire(s.acquire(0), s.release)
	return sizes{
		askBytes:     asks[0],
		releaseBytes: asks[1],
		excludeBytes: onWire(s.acquire(1), s.release)[0] - asks[0],
		grantBytes:   onWire(s.grant)[0],
		fullBytes:    onWire(s.full)[0],
		resyncBytes:  onWire(s.resync(0))[0] + onWire(s.resynced)[0],
		heldBytes:    element(s.resync),
		detailBytes:  element(s.details),
		recentBytes:  element(s.recent),
		pullBytes:    onWire(s.pull)[0],
		totalsBytes:  onWire(s.totals(0))[0],
		cellBytes:    element(s.totals),
		deltaBytes:   element(s.delta),
	}
}

// onWire returns the mean sizes of messages that take turns on a connection.
func onWire(turns ...func() any) []int {
	var messages []any
	for range conversation {
		for _, next := range turns {
			messages = append(messages, next())
		}
	}
	all, err := peer.WireBytes(messages...)
	if err != nil {
		panic(err) // a type of this file that can't be encoded
	}
	means := make([]int, len(turns))
	for i := warmUp * len(turns); i < len(all); i++ {
		means[i%len(turns)] += all[i]
	}
	for i := range means {
		means[i] = (means[i] + (conversation-warmUp)/2) / (conversation - warmUp)
	}
	return means
}

// element returns the mean size of an element of a list, rounded up.
func element(list func(n int) func() any) int {
	empty, full := onWire(list(0))[0], onWire(list(sampleList))[0]
	return (full - empty + sampleList - 1) / sampleList
}

func (s sampler) acquire(exclude int) func() any {
	return func() any {
		m := holds.Acquire{
			From: s.from, CellKey: s.key, Seq: s.rng.Uint64N(1e6), Chat: s.rng.Uint64(),
			Workspace: workspaceName(s.rng.IntN(workspaces)), Weight: 1.25, Urgency: 3, Returning: s.rng.IntN(4) > 0,
		}
		for range exclude {
			m.Exclude = append(m.Exclude, s.target())
		}
		return call("admission.acquire", s.rng.Uint64N(1e6), m)
	}
}

func (s sampler) target() string { return fmt.Sprintf("engine-%04d", s.rng.IntN(786)) }

func (s sampler) release() any {
	return notice("admission.release", holds.Release{
		From: s.from, Cells: []holds.EndedPlaces{{CellKey: s.key, Seqs: holds.Seqs{s.rng.Uint64N(1e6)}}},
	})
}

func (s sampler) grant() any { return s.answer(holds.Reply{Target: s.target()}) }

func (s sampler) full() any {
	return s.answer(holds.Reply{Code: holds.Full, Reason: cell.ReasonSaturated, RetryAfterMS: s.rng.Int64N(2000), Least: 12})
}

func (s sampler) resync(n int) func() any {
	return func() any {
		m := holds.Resync{From: s.from, CellKey: s.key, At: s.rng.Uint64N(1e6)}
		seq := m.At
		for range n {
			seq += 1 + s.rng.Uint64N(2*sampleSeqStep)
			m.Held = append(m.Held, seq)
		}
		return call("admission.resync", s.rng.Uint64N(1e6), m)
	}
}

func (s sampler) resynced() any { return s.answer(holds.ResyncReply{}) }

func (s sampler) details(n int) func() any {
	return func() any {
		list := make([]holds.Place, n)
		for i := range list {
			list[i] = holds.Place{
				Seq: s.rng.Uint64N(1e6), Target: s.target(),
				Workspace: workspaceName(s.rng.IntN(workspaces)), Chat: s.rng.Uint64(),
			}
		}
		return s.answer(list)
	}
}

func (s sampler) recent(n int) func() any {
	return func() any {
		list := make([]cell.RecentChat, n)
		for i := range list {
			list[i] = cell.RecentChat{Chat: s.rng.Uint64(), Target: s.target(), Age: time.Duration(s.rng.IntN(300)) * time.Second}
		}
		return s.answer(list)
	}
}

func (s sampler) pull() any {
	return notice("admission.pull", holds.Pull{From: s.from, CellKey: s.key})
}

func (s sampler) totals(n int) func() any {
	return func() any {
		m := holds.Totals{From: s.from, Seq: s.rng.Uint64N(1e6)}
		for range n {
			m.Cells = append(m.Cells, holds.CellTotals{CellKey: s.key, InFlight: 400 + s.rng.IntN(200), Capacity: 30})
		}
		return notice("admission.totals", m)
	}
}

// delta is a message of way 2: changed counts of targets.
func (s sampler) delta(n int) func() any {
	return func() any {
		list := make([][2]int, n)
		for i := range list {
			list[i] = [2]int{s.rng.IntN(786), s.rng.IntN(3) - 1}
		}
		return notice("routing.delta", list)
	}
}

func call(method string, id uint64, params any) any {
	return jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: id}, Params: raw(params)}
}

func notice(method string, params any) any {
	return jsonrpc2.Request{Method: method, Notif: true, Params: raw(params)}
}

func (s sampler) answer(result any) any {
	return jsonrpc2.Response{ID: jsonrpc2.ID{Num: s.rng.Uint64N(1e6)}, Result: raw(result)}
}

func raw(v any) *json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a type of this file that can't be encoded
	}
	m := json.RawMessage(b)
	return &m
}

func (z sizes) ask(exclude int) int { return z.askBytes + exclude*z.excludeBytes }

func (z sizes) verdict(o cell.Outcome) int {
	if o == cell.Granted {
		return z.grantBytes
	}
	return z.fullBytes
}

func (z sizes) release() int { return z.releaseBytes }

// resync is the size of a list of places that the owner knows, and its answer.
func (z sizes) resync(places int) int { return z.resyncBytes + places*z.heldBytes }

// details is the size of a list of places that the owner doesn't know.
func (z sizes) details(places int) int { return z.resyncBytes + places*z.detailBytes }

// remember is the size of a list of chats' last targets.
func (z sizes) remember(chats int) int { return z.resyncBytes + chats*z.recentBytes }

func (z sizes) pull() int { return z.pullBytes }

// totals is the size of a node's message on that many cells.
func (z sizes) totals(cells int) int { return z.totalsBytes + cells*z.cellBytes }

// delta is the size of a message of way 2 with that many changed counts.
func (z sizes) delta(changes int) int { return z.totalsBytes + changes*z.deltaBytes }
