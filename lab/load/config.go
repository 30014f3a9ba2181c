package load

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Config sets what the load consists of.
type Config struct {
	Nodes     []string // URLs of nodes
	Engines   []string // URLs of engines, queried for their run counts and load
	Services  []string // URLs of plain services, queried for their run counts
	Keys      []string // API keys, one per workspace
	Model     string
	Service   string // plain service (no model) to call after each turn; "" for none
	Chats     int    // number of concurrent chats
	Turns     int    // turns per chat
	MaxTokens int
	Think     time.Duration // mean pause between turns
	Seed      uint64

	Emergency float64 // share of chats with urgency 0
	Batch     float64 // share of chats with urgency 7
	Notices   float64 // share of service calls that are notices: not repeatable, with an idempotency key
	Resend    float64 // share of notices sent twice concurrently, each copy through a random node

	// The first SurgeWorkspaces workspaces are drawn for SurgeFactor times as many chats as any
	// other workspace; 0 for no surge.
	SurgeWorkspaces int
	SurgeFactor     int

	// MaxTries is the maximum number of tries of a request. A caller retries only if the request
	// was reported as not run, to resume a stream, or with the same idempotency key (see
	// UnderFaults for more). It waits for Retry-After, but at most MaxRetryAfter plus a jitter.
	MaxTries      int
	MaxRetryAfter time.Duration
	// Window is the interval between samples of the engines' load.
	Window time.Duration
	// UnderFaults is set if targets fail during the run. A chat turn or a read that runs more than
	// once then counts as Repeated instead of Doubled, and may be retried after a broken
	// connection; a request may fail if an error is reported to its caller.
	UnderFaults bool
}

// Validate returns an error for the first invalid setting; it names the flag.
func (c Config) Validate() error {
	share := func(f float64) bool { return f >= 0 && f <= 1 }
	switch {
	case len(c.Nodes) == 0:
		return errors.New("--nodes is empty: list the URLs of nodes")
	case len(c.Keys) == 0:
		return errors.New("--keys is empty: list one API key per workspace")
	case !share(c.Emergency), !share(c.Batch), !share(c.Emergency + c.Batch), !share(c.Notices), !share(c.Resend):
		return errors.New("a share is not between 0 and 1: correct --emergency, --batch, --notices or --resend")
	case c.SurgeWorkspaces > len(c.Keys) || c.SurgeWorkspaces > 0 && c.SurgeFactor < 1:
		return errors.New("--surge exceeds the number of workspaces, or --surge-factor is less than 1")
	case c.MaxTries < 1 || c.Window <= 0:
		return errors.New("--max-tries is less than 1, or --window is not positive")
	}
	return nil
}

// urgency is the urgency of RFC 9218, from 0 (highest) to 7.
type urgency int

const (
	urgencyEmergency urgency = 0
	urgencyNormal    urgency = 3
	urgencyBatch     urgency = 7
)

// chatPlan holds the random choices of one chat; the same seed gives the same choices.
type chatPlan struct {
	number    int
	workspace int // index of its API key
	urgency   urgency
	rng       *rand.Rand
}

// plan returns the plan of chat n.
func (c Config) plan(n int) chatPlan {
	rng := rand.New(rand.NewPCG(c.Seed, uint64(n)))
	return chatPlan{
		number: n, rng: rng,
		workspace: c.drawWorkspace(rng.IntN(c.workspaceWeight(len(c.Keys)))),
		urgency:   c.drawUrgency(rng.Float64()),
	}
}

// workspaceWeight returns the sum of the weights of the first n workspaces: SurgeFactor for a
// surging one, 1 for any other.
func (c Config) workspaceWeight(n int) int {
	surging := min(n, c.SurgeWorkspaces)
	return n + surging*(c.SurgeFactor-1)
}

// drawWorkspace maps a draw below the total weight to a workspace.
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

// classesOf returns the classes under which a chat's latencies are recorded.
func (c Config) classesOf(p chatPlan) []class {
	chatClasses := []class{classNormal}
	switch p.urgency {
	case urgencyEmergency:
		chatClasses[0] = classEmergency
	case urgencyBatch:
		chatClasses[0] = classBatch
	}
	switch {
	case c.SurgeWorkspaces == 0:
		return chatClasses
	case p.workspace < c.SurgeWorkspaces:
		return append(chatClasses, classSurging)
	default:
		return append(chatClasses, classOther)
	}
}
