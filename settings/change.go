package settings

import "time"

// Change records who wrote a team's document and when. It is written in one
// transaction with the document, so that both have the same revision in the
// store. WriteID is unique to the write: a client whose response was lost reads
// it back to learn whether the write took effect.
type Change struct {
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	WriteID string    `json:"write_id"`
}
