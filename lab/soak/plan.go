// Package soak runs router nodes as real processes and injects faults from
// outside them, by a seeded plan: signals, and proxies in front of the store and
// of each target. It checks what must hold from what callers and targets see.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault or of planned work.
type Kind string

// The kinds.
const (
	Term       Kind = "term"     // SIGTERM, and a new process when it has ended
	Kill       Kind = "kill"     // SIGKILL, and a new process
	KillAll    Kind = "kill_all" // SIGKILL of all nodes at once
	Freeze     Kind = "freeze"   // SIGSTOP, later SIGCONT
	Hup        Kind = "hup"      // SIGHUP
	CutStore   Kind = "cut_store"
	CutTarget  Kind = "cut_target"
	StoreBusy  Kind = "store_busy"
	StoreDeaf  Kind = "store_deaf" // watches hear nothing, then the history is gone
	TargetDoes Kind = "target_does"
	Drain      Kind = "drain" // a target drains and leaves, another joins
	Configure  Kind = "configure"
	Retime     Kind = "retime" // routes get other timeouts
	Revive     Kind = "revive" // a target crashes and starts again under its ID
	Reuse      Kind = "reuse"  // a target's address goes to another service
	Evacuate   Kind = "evacuate"
	ColdReturn Kind = "cold_return" // a failure domain's targets end and others start, cold
	// Leave has a target say in its answers that it leaves, while the store is silent and
	// its entry says that it is ready.
	Leave Kind = "leave"
	// Shed has a target turn requests away and ask for rest.
	Shed Kind = "shed"
)

// Profile is which kinds of steps a plan holds.
type Profile string

// The profiles.
const (
	// Mixed holds every kind.
	Mixed Profile = "mixed"
	// Planned holds planned work only, in which nothing may be lost.
	Planned Profile = "planned"
	// Own plays nodes of the callers' own interface, on the laboratory's platform.
	Own Profile = "own"
	// Ending has callers that send a request which ends its targets again and again, at
	// any node, while nodes end and start and the store is away.
	Ending Profile = "ending"
	// Evacuating has failure domains evacuated and come back cold, while nodes end and
	// start and the store is away.
	Evacuating Profile = "evacuating"
	// Announcing has targets that say in their answers that they leave or want rest, while
	// nodes end and start and the store is away.
	Announcing Profile = "announcing"
)

var planned = []Kind{Term, Term, Hup, Drain, Configure, Retime}

var mixed = append([]Kind{
	Kill, KillAll, Freeze, CutStore, CutTarget, StoreBusy, StoreDeaf, TargetDoes, Revive, Reuse,
}, planned...)

var own = []Kind{Term, Term, Kill, Freeze, StoreBusy, StoreDeaf, TargetDoes}

var ending = []Kind{Term, Kill, KillAll, Hup, CutStore, StoreBusy, StoreDeaf, Revive, Configure}

var evacuating = []Kind{Evacuate, Evacuate, ColdReturn, ColdReturn, Term, Kill, KillAll, Hup, CutStore, StoreBusy, StoreDeaf, Configure}

var announcing = []Kind{Leave, Leave, Shed, Shed, Shed, Term, Kill, KillAll, Freeze, Hup, CutStore, StoreBusy, StoreDeaf, Revive, Configure}

func (p Profile) kinds() []Kind {
	switch p {
	case Planned:
		return planned
	case Own:
		return own
	case Ending:
		return ending
	case Evacuating:
		return evacuating
	case Announcing:
		return announcing
	default:
		return mixed
	}
}

func (p Profile) pause() time.Duration {
	if p == Evacuating {
		return longPause
	}
	return meanPause
}

// Step is one entry of a plan.
type Step struct {
	At   time.Duration
	For  time.Duration
	Kind Kind
	// Which picks the node or target, modulo their number.
	Which int
	Harm  Harm // of CutStore and CutTarget
	// Fault picks the fault of TargetDoes, the timeout of Retime and what new
	// targets are called.
	Fault int
}

// String is one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%6.2fs %-11s which=%d for=%.2fs harm=%s fault=%d",
		s.At.Seconds(), s.Kind, s.Which, s.For.Seconds(), s.Harm, s.Fault)
}

// Shape of a plan: faults come in series and overlap, and leave the last part
// of a run calm, in which everything must be well again.
const (
	meanPause = 600 * time.Millisecond
	// longPause is that of Evacuating: what must hold of a domain that is evacuated does
	// so some seconds after the last harm.
	longPause  = 1500 * time.Millisecond
	minFault   = 200 * time.Millisecond
	maxFault   = 2500 * time.Millisecond
	calmAtEnd  = 6 * time.Second
	maxSteps   = 1000
	whichRange = 1 << 16
	// seriesPart is the part of steps that begin a series at the same node or
	// target, seriesPause the mean pause within one, seriesEnd the part of its
	// steps that are its last.
	seriesPart  = 0.25
	seriesPause = 60 * time.Millisecond
	seriesEnd   = 0.35
)

var harms = []Harm{Delay, Reset, Silent, OneWay}

// NewPlan draws the plan of a seed for a run of the given length.
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
			Harm:  harms[rng.IntN(len(harms))],
			Fault: rng.IntN(whichRange),
		})
		end := seriesEnd
		if !series {
			end = 1 - seriesPart
		}
		series = rng.Float64() >= end
	}
	return out
}
