package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns for how long the machine has been suspended since it was started, a time that no other
// clock of this package counts; 0 if that isn't known.
func Suspended() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}
