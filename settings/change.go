package settings

import "time"

// Change says who wrote a team's document. It is written in one transaction
// with the document, so that both have the same revision in the store.
type Change struct {
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	WriteID string    `json:"write_id"`
}
