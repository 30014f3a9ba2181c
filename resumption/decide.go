// Package resumption decides at which targets a stream may go on that was begun at another one, and
// keeps what the nodes know for that: which software wrote the beginning of a stream, and which
// versions the targets of a service have run. The pure parts read no clock and do no I/O.
package resumption

import "time"

// Origin identifies the software that writes a stream: what a target of another origin writes doesn't
// fit a stream's beginning. Origins are only compared for equality. The empty Origin means that it
// isn't known. For a router it is the version of the target's software; for the callers' own
// interface the run of the target, since there only the run that began a stream can continue it.
type Origin string

// Allows reports whether a stream that began at o, which is empty if nothing of it was delivered, may
// go on at a target of the origin present.
func (o Origin) Allows(present Origin) bool { return o == "" || o == present }

const (
	// Retention is how long after its last event a stream may be taken up by its caller. Records of streams,
	// and of versions that no target runs any longer, are kept for this time.
	Retention = time.Minute
	// RefreshInterval is the time between two records of the same stream while it is in progress.
	RefreshInterval = Retention / 3
	// MaxViewAge is the age up to which a node's list of targets counts as current.
	MaxViewAge = 2 * time.Second
	// viewAgeError is the largest error of that age: the time that a call which confirms the list takes.
	viewAgeError = time.Second
	// NewTime is how long after a node first sees a version it knows that no stream can have begun there.
	// Streams of nodes that ended before the version appeared, and so had shared no records, go on meanwhile.
	NewTime = 2 * time.Second
	// SettleTime is how long after a version appears in a service no stream that may be resumed begins at
	// it, while targets of other versions are left. A node that is cut off may for MaxViewAge take a list
	// without that version for a current one.
	SettleTime = MaxViewAge + viewAgeError + NewTime
)

// Past is what a node knows of the origins that the targets of a service have had.
type Past struct {
	// Origins are those within Retention at which a stream may have begun, in ascending order.
	Origins []Origin
	// Complete means that no origin within Retention can be missing from Origins, except one that has
	// appeared since the node's list of targets was last confirmed.
	Complete bool
	// Current means that the list was confirmed within MaxViewAge, and that no other node is known to
	// have a newer one.
	Current bool
}

// Sole returns the only origin that the targets of the service have had; ok is false if there were
// several, or if it isn't known that there were not.
func (p Past) Sole() (o Origin, ok bool) {
	if !p.Complete || !p.Current || len(p.Origins) != 1 {
		return "", false
	}
	return p.Origins[0], true
}

// Source is where the origin of a stream was learnt.
type Source string

// The sources. They are also values of a metric label and a log field.
const (
	// FromRecord: this node's record of the stream, its own or one that another node sent.
	FromRecord Source = "record"
	// FromPeer: the record of a node that was asked.
	FromPeer Source = "peer"
	// FromPast: the service has had one version only, by this node's list of targets.
	FromPast Source = "past"
	// FromPeerPast: the same by the list of a node that was asked.
	FromPeerPast Source = "peer_past"
	// Unknown: no source knows it.
	Unknown Source = "unknown"
	// Conflicting: there are records of several origins for the ID that the caller named.
	Conflicting Source = "conflicting"
)

// Record is what is known of the beginning of a stream.
type Record struct {
	Origin Origin
	// Conflicting means that several origins were recorded under the stream's ID, as when a caller
	// uses an ID twice.
	Conflicting bool
	// Age is the time since the stream was last recorded.
	Age time.Duration
}

// Decision is at which origin a stream may go on.
type Decision struct {
	// Origin is the only one at which the stream may go on, empty if it may go on nowhere.
	Origin Origin
	Source Source
	// Age is that of the record used, 0 for none.
	Age time.Duration
}

// Decide decides at which origin a stream may go on, given the record of its beginning, which is zero if
// there is none, and the past of its service. That there is no record proves nothing: it may have
// been lost with the nodes that held it.
func Decide(r Record, p Past) Decision {
	switch {
	case r.Conflicting:
		return Decision{Source: Conflicting, Age: r.Age}
	case r.Origin != "":
		return Decision{Origin: r.Origin, Source: FromRecord, Age: r.Age}
	}
	if o, ok := p.Sole(); ok {
		return Decision{Origin: o, Source: FromPast}
	}
	return Decision{Source: Unknown}
}

// fromPeer returns the decision of another node as this node's.
func (d Decision) fromPeer() Decision {
	switch d.Source {
	case FromRecord:
		d.Source = FromPeer
	case FromPast:
		d.Source = FromPeerPast
	}
	return d
}
