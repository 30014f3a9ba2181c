package load

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Config says what to send.
type Config struct {
	Nodes     []string // URLs of nodes
	Engines   []string // URLs of engines, asked for their counts
	Services  []string // URLs of plain services, asked for their counts
	Keys      []string // API keys, one a workspace
	Model     string
	Service   string // plain service to call after each turn; "" for none
	Chats     int    // chats at a time
	Turns     int    // turns of each chat
	MaxTokens int
	Think     time.Duration // mean pause between turns
	Seed      uint64

	Emergency float64 // share of chats at urgency 0
	Batch     float64 // share of chats at urgency 7
	Notices   float64 // share of service calls that may not be repeated
	Resend    float64 // share of notices sent twice at once through two nodes

	// SurgeWorkspaces of the workspaces have SurgeFactor times the chats of
	// each other one.
	SurgeWorkspaces int
	SurgeFactor     int

	// MaxTries is how often a caller asks before giving up. It asks again
	// only if it was told that the request was not run, or with the same
	// idempotency key, after Retry-After but no later than MaxRetryAfter.
	MaxTries      int
	MaxRetryAfter time.Duration
	// Window is the time between samples of the engines' load.
	Window time.Duration
	// UnderFaults says that targets fail: a chat turn or a read that runs
	// again counts as repeated, not as doubled, and a request may fail if its
	// caller is told so.
	UnderFaults bool
}

// Validate reports the first fault of a configuration.
func (c Config) Validate() error {
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	switch {
	case len(c.Nodes) == 0:
		return errors.New("--nodes is empty: list the URLs of nodes")
	case len(c.Keys) == 0:
		return errors.New("--keys is empty: list one API key a workspace")
	case !share(c.Emergency), !share(c.Batch), !share(c.Emergency + c.Batch), !share(c.Notices), !share(c.Resend):
		return errors.New("a share is not between 0 and 1: mend --emergency, --batch, --notices or --resend")
	case c.SurgeWorkspaces > len(c.Keys) || c.SurgeWorkspaces > 0 && c.SurgeFactor < 1:
		return errors.New("--surge is more than the workspaces, or --surge-factor under 1")
	case c.MaxTries < 1 || c.Window <= 0:
		return errors.New("--max-tries is under 1, or --window is not positive")
	}
	return nil
}

// urgency is the urgency of RFC 9218, from 0 to 7.
type urgency int

const (
	urgencyEmergency urgency = 0
	urgencyNormal    urgency = 3
	urgencyBatch     urgency = 7
)

// chatPlan is what a chat draws at its start; the same seed draws the same.
type chatPlan struct {
	number    int
	workspace int // index of its API key
	urgency   urgency
	rng       *rand.Rand
}

func (c Config) plan(n int) chatPlan {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
	return chatPlan{
		number: n, rng: rng,
		workspace: c.drawWorkspace(rng.IntN(c.workspaceWeight(len(c.Keys)))),
		urgency:   c.drawUrgency(rng.Float64()),
	}
}

// workspaceWeight returns the weight of the first n workspaces.
func (c Config) workspaceWeight(n int) int {
	surging := min(n, c.SurgeWorkspaces)
	return n + surging*(c.SurgeFactor-1)
}

func (c Config) drawWorkspace(draw int) int {
	for n := range c.Keys {
		if draw < c.workspaceWeight(n+1) {
			return n
		}
	}
	return len(c.Keys) - 1
}

func (c Config) drawUrgency(draw float64) urgency {
	switch {
	case draw < c.Emergency:
		return urgencyEmergency
	case draw < c.Emergency+c.Batch:
		return urgencyBatch
	default:
		return urgencyNormal
	}
}

// classesOf returns the classes that a chat's latencies belong to.
func (c Config) classesOf(p chatPlan) []class {
	of := []class{classNormal}
	switch p.urgency {
	case urgencyEmergency:
		of[0] = classEmergency
	case urgencyBatch:
		of[0] = classBatch
	}
	switch {
	case c.SurgeWorkspaces == 0:
		return of
	case p.workspace < c.SurgeWorkspaces:
		return append(of, classSurging)
	default:
		return append(of, classOther)
	}
}
