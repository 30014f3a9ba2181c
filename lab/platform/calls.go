package platform

// Calls counts the calls to the key-value service by kind, without those refused by the rate
// limits.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	// WaitingWatches is the number of open watches.
	WaitingWatches int64 `json:"waiting_watches"`
	// Batches counts the batches that the watches sent, errors included.
	Batches int64 `json:"batches"`
	// Limited counts the calls refused by the rate limits.
	Limited int64 `json:"limited"`
	// LostAnswers counts the writes and lease calls that took effect but whose response was
	// dropped.
	LostAnswers int64 `json:"lost_answers"`
}

// counter returns a pointer to the count of one kind of call.
func (c *Calls) counter(k callKind) *int64 {
	switch k {
	case kindRead:
		return &c.Reads
	case kindWrite:
		return &c.Writes
	case kindLease:
		return &c.Leases
	default:
		return &c.Watches
	}
}

// callKind is a kind of call to the key-value service.
type callKind int

const (
	kindRead callKind = iota
	kindWrite
	kindLease
	kindWatch
)
