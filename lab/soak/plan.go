// Package soak runs router nodes as real processes and injects faults from the outside according to
// a seeded plan: signals, and network faults in proxies in front of the store and of each target. It
// checks the promised behaviour against what callers receive and what targets record.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault or of planned work, the action of a step.
type Kind string

// The kinds of steps.
const (
	Term            Kind = "term"     // SIGTERM, then a new process once the old one has exited
	Kill            Kind = "kill"     // SIGKILL, then a new process
	KillAll         Kind = "kill_all" // SIGKILL of all nodes at once, then new processes
	Freeze          Kind = "freeze"   // SIGSTOP, later SIGCONT
	Hup             Kind = "hup"      // SIGHUP, which reloads the settings
	CutStore        Kind = "cut_store"
	CutTarget       Kind = "cut_target"
	StoreBusy       Kind = "store_busy"
	StoreWatchStall Kind = "store_deaf"     // watches deliver no events, then the history is compacted
	StoreRestore    Kind = "store_restored" // it is away for a moment and comes back from a copy some seconds old
	TargetFault     Kind = "target_does"
	Drain           Kind = "drain" // a target drains and is removed while another joins
	Configure       Kind = "configure"
	ChangeTimeout   Kind = "retime" // the timeouts of all routes change
	RestartTarget   Kind = "revive" // a target crashes and restarts under the same ID
	ReuseAddress    Kind = "reuse"  // a target's address is reused by a target of another service
	Evacuate        Kind = "evacuate"
	ReplaceDomain   Kind = "cold_return" // all targets of a failure domain end and others start, cold
	// AnnounceLeave makes a target announce in its response headers that it leaves, while the
	// store doesn't answer and the target's entry there still says "ready".
	AnnounceLeave Kind = "leave"
	// KillOwner, FreezeOwner and TermOwner are Kill, Freeze and Term of the node that owns the places
	// of the plain service, or of the next one in its order for every third Variant.
	KillOwner   Kind = "owner_kill"
	FreezeOwner Kind = "owner_freeze"
	TermOwner   Kind = "owner_term"
	// Shed makes a target reject requests and ask to receive none for a while.
	Shed Kind = "shed"
	// PartitionNodes partitions some nodes from all targets.
	PartitionNodes Kind = "partition_nodes"
	// AnswerUnframed makes a target answer with neither a length nor chunks, whole or broken off.
	AnswerUnframed Kind = "unframed"
	// ReleaseTarget replaces a target by one of another software version. BreakStreams makes targets break
	// off streams.
	ReleaseTarget Kind = "release"
	BreakStreams  Kind = "break"
)

// Profile selects the kinds of steps in a plan.
type Profile string

// The profiles.
const (
	// Mixed contains faults of every component and planned work.
	Mixed Profile = "mixed"
	// Planned contains planned work only; no request may be lost in it.
	Planned Profile = "planned"
	// Own runs nodes with the callers' own interface (knapweedgw serve, package gateway) on
	// lab/platform, in place of router nodes (knapweedgw route) on lab/standin.
	Own Profile = "own"
	// Ending sends copies of a request that terminates its targets to arbitrary nodes, while
	// nodes restart and the store is unavailable.
	Ending Profile = "ending"
	// EndingPart sends requests that share a prompt part which terminates targets, no two alike, in the same way.
	EndingPart Profile = "ending_part"
	// Uneven hands most connections to one node, to another every few seconds, while nodes restart.
	Uneven Profile = "uneven"
	// Evacuating evacuates failure domains and replaces their targets by cold ones, while nodes
	// restart and the store is unavailable.
	Evacuating Profile = "evacuating"
	// Announcing has targets announce in their responses that they leave or want no requests for
	// a while, while nodes restart and the store is unavailable.
	Announcing Profile = "announcing"
	// Owners gives the plain service so few places that an owner grants them (package dispatch),
	// and disrupts the owner, other nodes and the targets.
	Owners Profile = "owners"
	// Partitioned partitions nodes from all targets, while they and those that carry their
	// connections restart and freeze. Its nodes run with lab/soaknode.
	Partitioned Profile = "partitioned"
	// Unframed has targets that answer with neither a length nor chunks and break some answers off,
	// while nodes and targets restart.
	Unframed Profile = "unframed"
	// Restored has a store that comes back from older copies, while nodes restart, freeze and are cut off from it,
	// targets come and go, and the configuration changes.
	Restored Profile = "restored"
	// Versions has targets of several software versions, whose callers take up broken streams at any node,
	// while targets are replaced by ones of other versions and nodes restart and are cut off from the store.
	Versions Profile = "versions"
)

var planned = []Kind{Term, Term, Hup, Drain, Configure, ChangeTimeout}

var mixed = append([]Kind{
	Kill, KillAll, Freeze, CutStore, CutTarget, StoreBusy, StoreWatchStall, TargetFault, RestartTarget, ReuseAddress,
}, planned...)

var own = []Kind{Term, Term, Kill, Freeze, StoreBusy, StoreWatchStall, TargetFault}

var ending = []Kind{Term, Kill, KillAll, Hup, CutStore, StoreBusy, StoreWatchStall, RestartTarget, Configure}

var evacuating = []Kind{Evacuate, Evacuate, ReplaceDomain, ReplaceDomain, Term, Kill, KillAll, Hup, CutStore, StoreBusy, StoreWatchStall, Configure}

var announcing = []Kind{AnnounceLeave, AnnounceLeave, Shed, Shed, Shed, Term, Kill, KillAll, Freeze, Hup, CutStore, StoreBusy, StoreWatchStall, RestartTarget, Configure}

var owners = []Kind{KillOwner, KillOwner, FreezeOwner, FreezeOwner, TermOwner, TermOwner, Term, Kill, KillAll, Freeze, Hup, CutTarget, StoreBusy, TargetFault, RestartTarget, Configure}

var partitioned = []Kind{PartitionNodes, PartitionNodes, PartitionNodes, PartitionNodes, Kill, Freeze, Term, CutTarget, RestartTarget}

var unframed = []Kind{AnswerUnframed, AnswerUnframed, AnswerUnframed, AnswerUnframed, Term, Kill, Freeze, Hup, Drain, CutTarget, RestartTarget, Configure}

var versions = []Kind{ReleaseTarget, ReleaseTarget, ReleaseTarget, ReleaseTarget, BreakStreams, BreakStreams, BreakStreams, BreakStreams, BreakStreams, Term, Kill, Kill, KillAll, Freeze, Hup, CutStore, StoreBusy, TargetFault, RestartTarget, Configure}

var restored = []Kind{
	StoreRestore, StoreRestore, StoreRestore, StoreRestore, Kill, KillAll, Freeze, Term, CutStore, StoreBusy, StoreWatchStall,
	Drain, Drain, RestartTarget, Configure, Configure, ChangeTimeout, Evacuate,
}

func (p Profile) kinds() []Kind {
	switch p {
	case Planned:
		return planned
	case Own:
		return own
	case Ending, EndingPart, Uneven:
		return ending
	case Evacuating:
		return evacuating
	case Announcing:
		return announcing
	case Owners:
		return owners
	case Partitioned:
		return partitioned
	case Unframed:
		return unframed
	case Versions:
		return versions
	case Restored:
		return restored
	default:
		return mixed
	}
}

func (p Profile) pause() time.Duration {
	if p == Evacuating || p == Owners || p == Partitioned || p == Versions {
		return longPause
	}
	return meanPause
}

// Step is one entry of a plan.
type Step struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Which selects the node or target, modulo their number.
	Which    int
	NetFault NetFault // used by CutStore and CutTarget
	// Variant is a random number that selects the fault of TargetFault, the ending of AnswerUnframed, the timeout
	// of ChangeTimeout, how Drain, AnnounceLeave and Shed proceed, and the IDs of new targets.
	Variant int
}

// String returns the line of the step in a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %-11s which=%d for=%.2fs harm=%s fault=%d",
		s.At.Seconds(), s.Kind, s.Which, s.For.Seconds(), s.NetFault, s.Variant)
}

// Shape of a plan: steps come in series and may overlap. The last part of a run is free of faults,
// so that the fleet can recover.
const (
	meanPause = 600 * time.Millisecond
	// longPause is the mean pause of Evacuating, Owners, Partitioned and Versions. What is checked of
	// evacuated domains, granted places and streams that are taken up holds only some seconds after the last
	// fault, so faults must be further apart.
	longPause  = 1500 * time.Millisecond
	minFault   = 200 * time.Millisecond
	maxFault   = 2500 * time.Millisecond
	calmAtEnd  = 6 * time.Second
	maxSteps   = 1000
	whichRange = 1 << 16
	// seriesPart is the probability that a single step begins a series, whose steps all select the
	// same node or target. seriesPause is the mean pause within a series, seriesEnd the probability
	// that a step of a series is its last.
	seriesPart  = 0.25
	seriesPause = 60 * time.Millisecond
	seriesEnd   = 0.35
)

var netFaults = []NetFault{Delay, Reset, Silent, OneWay}

// NewPlan returns the plan of a seed for a run of the given length. The same arguments give the same
// plan.
func NewPlan(seed uint64, length time.Duration, profile Profile) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	kinds := profile.kinds()
	var out []Step
	series, which := false, 0
	for at := time.Duration(0); len(out) < maxSteps; {
		pause := profile.pause()
		if series {
			pause = seriesPause
		} else {
			which = rng.IntN(whichRange)
		}
		at += time.Duration(rng.ExpFloat64() * float64(pause))
		if at > length-calmAtEnd {
			break
		}
		out = append(out, Step{
			At: at, For: minFault + time.Duration(rng.Int64N(int64(maxFault-minFault))),
			Kind: kinds[rng.IntN(len(kinds))], Which: which,
			NetFault: netFaults[rng.IntN(len(netFaults))],
			Variant:  rng.IntN(whichRange),
		})
		end := seriesEnd
		if !series {
			end = 1 - seriesPart
		}
		series = rng.Float64() >= end
	}
	return out
}
