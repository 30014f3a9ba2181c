// Package usage reads the resource usage of the current process.
package usage

import (
	"syscall"
	"time"
)

// CPUTime returns the user and system CPU time that this process has used; 0 if getrusage(2) fails.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
