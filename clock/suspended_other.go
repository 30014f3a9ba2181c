//go:build !linux

package clock

import "time"

// Suspended returns 0, since it isn't known for how long the machine has been suspended.
func Suspended() time.Duration { return 0 }
