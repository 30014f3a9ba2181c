package platform

// Calls counts the calls that the key-value service has had.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Leases  int64 `json:"leases"`
	// WaitingWatches is how many watches are open now.
	WaitingWatches int64 `json:"waiting_watches"`
	// Batches counts what the watches sent.
	Batches int64 `json:"batches"`
	// Limited counts the calls refused by the rate limits.
	Limited int64 `json:"limited"`
	// LostAnswers counts the writes and lease calls that took effect but
	// whose answer was lost.
	LostAnswers int64 `json:"lost_answers"`
}

// of returns the count of one kind of call.
func (c *Calls) of(k kind) *int64 {
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

// kind is a kind of call.
type kind int

const (
	kindRead kind = iota
	kindWrite
	kindLease
	kindWatch
)
