package routing

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedgw/knapweedgw/admission/cell"
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

// Samples of the fields of the peer protocol's messages, of usual length.
const (
	samplePool   = `"p":"asistente-lm","c":10,"o":53`
	sampleFrom   = `"n":"node-001","i":1700000000`
	sampleAsk    = `{` + sampleFrom + `,` + samplePool + `,"q":123456,"h":12345678901234567890,"w":"team-01/ws-001","u":3}`
	sampleGrant  = `{"t":"engine-0001"}`
	sampleFull   = `{"k":1,"a":1500,"m":12}`
	sampleEnd    = `{` + sampleFrom + `,"e":[{` + samplePool + `,"q":[123456]}]}`
	sampleSync   = `{` + sampleFrom + `,` + samplePool + `,"s":123456,"q":[]}`
	sampleSeq    = `1234,`
	sampleDetail = `{"q":123456,"t":"engine-0001","w":"team-01/ws-001","h":12345678901234567890},`
	sampleRecent = `[12345678901234567890,"engine-0001",120],`
	samplePull   = `{` + sampleFrom + `,` + samplePool + `}`
	sampleTotals = `{` + sampleFrom + `,"s":123456,"e":[]}`
	sampleCell   = `{` + samplePool + `,"f":270,"a":15},`
	sampleDelta  = `[123,-1],`
)

// wireSizes gives the sizes of the peer protocol's messages: the JSON-RPC
// envelope with its length prefix, without TCP and IP headers.
var wireSizes = newSizes()

type sizes struct {
	call, notice, answer int // envelopes without params or result
}

func newSizes() sizes {
	answer := jsonrpc2.Response{ID: jsonrpc2.ID{Num: 123456}, Result: &json.RawMessage{'0'}}
	return sizes{
		call:   encodedLen(jsonrpc2.Request{Method: "admission.acquire", ID: jsonrpc2.ID{Num: 123456}, Params: &json.RawMessage{'0'}}),
		notice: encodedLen(jsonrpc2.Request{Method: "admission.release", Notif: true, Params: &json.RawMessage{'0'}}),
		answer: encodedLen(answer),
	}
}

func encodedLen(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // a type of this file that can't be encoded
	}
	return len(b) - 1 + frameBytes
}

func (z sizes) ask(exclude int) int { return z.call + len(sampleAsk) + exclude*len(`"engine-0001",`) }

func (z sizes) verdict(o cell.Outcome) int {
	if o == cell.Granted {
		return z.answer + len(sampleGrant)
	}
	return z.answer + len(sampleFull)
}

func (z sizes) release() int { return z.notice + len(sampleEnd) }

// resync is the size of a list of places that the owner knows, and its answer.
func (z sizes) resync(places int) int {
	return z.call + len(sampleSync) + places*len(sampleSeq) + z.answer + len("{}")
}

// details is the size of a list of places that the owner doesn't know.
func (z sizes) details(places int) int {
	return z.call + len(sampleSync) + places*len(sampleDetail) + z.answer + len("{}")
}

// remember is the size of a list of chats' last targets.
func (z sizes) remember(chats int) int {
	return z.notice + len(samplePull) + chats*len(sampleRecent)
}

func (z sizes) pull() int { return z.notice + len(samplePull) }

// totals is the size of a node's message on that many cells.
func (z sizes) totals(cells int) int { return z.notice + len(sampleTotals) + cells*len(sampleCell) }

// delta is the size of a message with that many changed counts.
func (z sizes) delta(changes int) int { return z.notice + changes*len(sampleDelta) }
