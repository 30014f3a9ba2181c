package measure

import (
	"slices"
	"time"
)

// Quantile sorts d and returns its q-quantile, with q from 0 to 1: the share q of
// the other values is at or below it. It returns 0 if d is empty.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}
