// Package clock provides a time that doesn't jump when the system clock is set.
package clock

import "time"

var base = time.Now()

// Monotonic returns the time of day at which the process started plus the monotonic time since
// then. Unlike that of time.Now, its Unix time advances steadily when the system clock is set,
// which counters in slots of time require. It differs from the time of day by as much as the
// system clock was set; don't use it for dates.
func Monotonic() time.Time { return base.Add(time.Since(base)) }
