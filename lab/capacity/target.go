package capacity

// The size that the users' first letter gives as the target.
const (
	Nodes          = 370
	Engines        = 5500
	RequestsPerSec = 4600
	TokensPerSec   = 2_000_000
	ReturningChats = 5_700_000
	Workspaces     = 4800
	Models         = 4
	Regions        = 7
	FailureDomains = 20
	ChangesPerDay  = 26_000
	VMsReplaced    = 410 // a day: 100 fail and 310 are restarted or replaced
)

// The letter's limits.
const (
	LimitControlCPU   = 0.048    // of a core, a node
	LimitControlMem   = 64 << 20 // bytes a node
	LimitControlBytes = 27_000   // bytes a second a node
)

// Sizes derived from the target. An answer has TokensPerSec/RequestsPerSec
// tokens and takes that many times 47 ms.
const (
	secondsPerDay    = 86_400
	tokenGap         = 0.047 // seconds, the letter's limit
	answerTokens     = float64(TokensPerSec) / RequestsPerSec
	answerSeconds    = answerTokens * tokenGap
	inFlight         = RequestsPerSec * answerSeconds
	inFlightPerNode  = inFlight / Nodes
	requestsPerNode  = float64(RequestsPerSec) / Nodes
	nodesPerRegion   = float64(Nodes) / Regions
	enginesPerRegion = float64(Engines) / Regions
	enginesPerPool   = enginesPerRegion / Models
	changesPerSec    = float64(ChangesPerDay) / secondsPerDay
	vmChangesPerSec  = 2 * float64(VMsReplaced) / secondsPerDay // gone and come
)
