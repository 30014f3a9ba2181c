package cell

import "time"

// Settle returns the decisions on waiting requests since the last call, in the order in which they
// were made. Call it after each other method that may free a place, and at NextDeadline.
func (c *Cell) Settle(now time.Time) []Settled { return nil }

// NextDeadline returns the next time at which a waiting request must be refused; ok is false if
// none waits.
func (c *Cell) NextDeadline() (at time.Time, ok bool) { return time.Time{}, false }

// Cancel removes a waiting request whose node has given it up.
func (c *Cell) Cancel(h Holder, request string) {}

// SetShare sets the fraction of each target's places that the cell grants. It is less than 1 while
// another node also acts as the owner.
func (c *Cell) SetShare(fraction float64) {}
