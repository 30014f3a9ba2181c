// Package usage reads what the process itself uses.
package usage

import (
	"syscall"
	"time"
)

// CPUTime returns the CPU time that this process has used; 0 if the system
// doesn't tell.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
