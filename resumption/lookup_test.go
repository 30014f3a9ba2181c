package resumption

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/peer"
)

// fakeFleet is the other nodes of a fleet by groups, and what each of them answers to a lookup; a node
// without an answer is gone.
type fakeFleet struct {
	own     []string
	others  [][]string
	answers map[string]lookupReply
}

func (f *fakeFleet) Interval() time.Duration                { return 200 * time.Millisecond }
func (f *fakeFleet) Groups(uint64) ([]string, [][]string)   { return f.own, f.others }
func (f *fakeFleet) StreamHolders(uint64, int) []string     { return nil }
func (f *fakeFleet) SendStreams(string, []byte)             {}
func (f *fakeFleet) Handle(string, peer.Handler)            {}
func (f *fakeFleet) LimitConcurrency(string, int)           {}
func (f *fakeFleet) saveNote(context.Context, []byte) error { return nil }

func (f *fakeFleet) Call(_ context.Context, node, _ string, _, result any) error {
	reply, ok := f.answers[node]
	if !ok {
		return errors.New("the node is gone")
	}
	raw, err := json.Marshal(reply)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// nodes returns n names.
func nodes(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint(prefix, i)
	}
	return out
}

// Guards against a stream being refused although a node knows its version: the nodes asked first are gone, or
// can prove nothing since their lists of targets are behind for a moment.
func TestLookupFindsTheNodeThatKnows(t *testing.T) {
	unknown, record := lookupReply{Source: Unknown}, lookupReply{Origin: "v1", Source: FromRecord}
	past := lookupReply{Origin: "v1", Source: FromPast}
	for name, tt := range map[string]struct {
		fleet fakeFleet
		want  Decision
	}{
		"the first": {
			fakeFleet{own: nodes("a", 7), answers: map[string]lookupReply{"a0": record, "a1": unknown, "a2": unknown}},
			Decision{Origin: "v1", Source: FromPeer},
		},
		"the fourth, the first are behind": {
			fakeFleet{own: nodes("a", 7), answers: map[string]lookupReply{"a0": unknown, "a1": unknown, "a2": unknown, "a3": past}},
			Decision{Origin: "v1", Source: FromPeerPast},
		},
		"the last of eight nodes, the others are gone": {
			fakeFleet{own: nodes("a", 7), answers: map[string]lookupReply{"a6": record}},
			Decision{Origin: "v1", Source: FromPeer},
		},
		"the second of another group": {
			fakeFleet{own: nodes("a", 2), others: [][]string{nodes("b", 2), nodes("c", 2)}, answers: map[string]lookupReply{
				"a0": unknown, "a1": unknown, "b0": unknown, "c0": unknown, "b1": unknown, "c1": record,
			}},
			Decision{Origin: "v1", Source: FromPeer},
		},
		"none": {
			fakeFleet{own: nodes("a", 2), answers: map[string]lookupReply{"a0": unknown, "a1": unknown}},
			Decision{Source: Unknown},
		},
		"two that contradict each other": {
			fakeFleet{own: nodes("a", 2), answers: map[string]lookupReply{"a0": past, "a1": {Origin: "v1.1", Source: FromPast}}},
			Decision{Source: Conflicting},
		},
		"no other node": {fakeFleet{}, Decision{Source: Unknown}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(&fakeTargets{}, tt.fleet.saveNote, &tt.fleet, &tt.fleet, log.New(io.Discard), prometheus.NewRegistry())
			is.New(t).Equal(s.Resolve(t.Context(), 1, "s"), tt.want)
		})
	}
}
