package routing

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/admission/cell"
	"github.com/knapweedgw/knapweedgw/admission/holds"
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

// frameBytes is the length prefix of a message.
const frameBytes = 2

// Fields of usual length in the peer protocol's messages.
var (
	sampleFrom = holds.From{Node: "node-001", Incarnation: 1_700_000_000}
	sampleKey  = holds.Key{Pool: "asistente-lm", Cell: 10, Of: 26}
)

const (
	sampleSeq       = 123456
	sampleSeqStep   = 26
	sampleChat      = 12345678901234567890
	sampleTarget    = "engine-0001"
	sampleWorkspace = "team-01/ws-001"
)

// wireSizes gives the sizes of the peer protocol's messages: the JSON-RPC
// envelope with its length prefix, without TCP and IP headers.
var wireSizes = newSizes()

type sizes struct {
	askBytes, excludeBytes, grantBytes, fullBytes, releaseBytes int
	resyncBytes, heldBytes, detailBytes, recentBytes, pullBytes int
	totalsBytes, cellBytes                                      int
}

func newSizes() sizes {
	acquire := holds.Acquire{
		From: sampleFrom, Key: sampleKey, Seq: sampleSeq, Chat: sampleChat,
		Workspace: sampleWorkspace, Weight: 1.25, Urgency: 3, Returning: true,
	}
	resync := holds.Resync{From: sampleFrom, Key: sampleKey, At: sampleSeq, Held: holds.Seqs{sampleSeq}}
	detail := holds.Detail{Seq: sampleSeq, Target: sampleTarget, Workspace: sampleWorkspace, Chat: sampleChat}
	totals := holds.CellTotals{Key: sampleKey, InFlight: 540, Capacity: 30}
	return sizes{
		askBytes:     call("admission.acquire", acquire),
		excludeBytes: listed(sampleTarget),
		grantBytes:   answer(holds.Reply{Target: sampleTarget}),
		fullBytes:    answer(holds.Reply{Code: holds.Full, Reason: cell.ReasonSaturated, RetryAfterMS: 1500, Least: 12}),
		releaseBytes: notice("admission.release", holds.Release{
			From: sampleFrom, Cells: []holds.Released{{Key: sampleKey, Seqs: holds.Seqs{sampleSeq}}},
		}),
		resyncBytes: call("admission.resync", resync) + answer(holds.ResyncReply{}),
		heldBytes:   listed(sampleSeqStep),
		detailBytes: listed(detail),
		recentBytes: listed(cell.Recent{Chat: sampleChat, Target: sampleTarget, Age: 2 * time.Minute}),
		pullBytes:   notice("admission.pull", holds.Pull{From: sampleFrom, Key: sampleKey}),
		totalsBytes: notice("admission.totals", holds.Totals{From: sampleFrom, Seq: sampleSeq}),
		cellBytes:   listed(totals),
	}
}

func call(method string, params any) int {
	return encodedLen(jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: sampleSeq}, Params: raw(params)}) + frameBytes
}

func notice(method string, params any) int {
	return encodedLen(jsonrpc2.Request{Method: method, Notif: true, Params: raw(params)}) + frameBytes
}

func answer(result any) int {
	return encodedLen(jsonrpc2.Response{ID: jsonrpc2.ID{Num: sampleSeq}, Result: raw(result)}) + frameBytes
}

// listed is the size of an element of a list, with its comma.
func listed(v any) int { return encodedLen(v) + 1 }

func encodedLen(v any) int { return len(encode(v)) }

func raw(v any) *json.RawMessage {
	m := json.RawMessage(encode(v))
	return &m
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a type of this file that can't be encoded
	}
	return b
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
func (z sizes) delta(changes int) int {
	return notice("routing.delta", sampleFrom) + changes*listed([]int{123, -1})
}
