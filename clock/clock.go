// Package clock tells a time that never jumps.
package clock

import "time"

var base = time.Now()

// Steady returns the time of day as it was when the process began, moved on by the
// steady clock since. Unlike with time.Now, its Unix time goes on evenly when the
// time of day is set, as counts by slots of time need it. It may be off by as much
// as the time of day was set; it is not for dates.
func Steady() time.Time { return base.Add(time.Since(base)) }
