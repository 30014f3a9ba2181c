package resumption

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream going on at another version, or being refused while its service has had only one.
func TestDecide(t *testing.T) {
	one, two := []Origin{"v1"}, []Origin{"v1", "v1.1"}
	past := func(o []Origin) Past { return Past{Origins: o, Complete: true, Current: true} }
	for name, tt := range map[string]struct {
		record Record
		past   Past
		want   Decision
	}{
		"a record":                           {Record{Origin: "v1", Age: 5}, past(two), Decision{"v1", FromRecord, 5}},
		"a record of a version that is gone": {Record{Origin: "v0"}, past(one), Decision{"v0", FromRecord, 0}},
		"an old record in an old list":       {Record{Origin: "v1"}, Past{}, Decision{"v1", FromRecord, 0}},
		"one version":                        {Record{}, past(one), Decision{"v1", FromPast, 0}},
		"several versions":                   {Record{}, past(two), Decision{"", Unknown, 0}},
		"no version":                         {Record{}, past(nil), Decision{"", Unknown, 0}},
		"no past":                            {Record{}, Past{Origins: one, Current: true}, Decision{"", Unknown, 0}},
		"no present":                         {Record{}, Past{Origins: one, Complete: true}, Decision{"", Unknown, 0}},
		"two records":                        {Record{Origin: "v1", Conflicting: true}, past(one), Decision{"", Conflicting, 0}},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(Decide(tt.record, tt.past), tt.want) })
	}
}

// Guards against a target of another origin continuing a stream, and against a stream without events being
// bound to one.
func TestAllows(t *testing.T) {
	is := is.New(t)
	is.True(Origin("").Allows("v1"))
	is.True(Origin("v1").Allows("v1"))
	is.True(!Origin("v1").Allows("v1.0"))
	is.True(!Origin("v1").Allows(""))
}

// Guards against the answers of other nodes being combined to what none of them knows.
func TestBetterDecision(t *testing.T) {
	none, record, past := Decision{Source: Unknown}, Decision{Origin: "v1", Source: FromPeer}, Decision{Origin: "v1", Source: FromPeerPast}
	other := Decision{Origin: "v2", Source: FromPeerPast}
	conflict := Decision{Source: Conflicting}
	is := is.New(t)
	is.Equal(better(none, past), past)
	is.Equal(better(past, none), past)
	is.Equal(better(past, record), record)
	is.Equal(better(record, other), record)
	is.Equal(better(past, other), conflict)
	is.Equal(better(record, conflict), conflict)
	is.Equal(lookupReply{Origin: "v1", Source: "of a later release"}.decision(), none)
	is.Equal(lookupReply{Source: FromRecord}.decision(), none)
	is.Equal(lookupReply{Origin: "v1", Source: FromPast}.decision(), past)
}
