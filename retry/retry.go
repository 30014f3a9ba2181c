// Package retry decides whether a failed attempt may be tried on another
// target. It is pure: the caller passes what it knows.
package retry

// Progress says how far an attempt got before it failed.
type Progress int

// How far an attempt got, least first.
const (
	// NotSent means that no byte of the request reached the target.
	NotSent Progress = iota
	// Refused means that the target said it did not run the request.
	Refused
	// Sent means that the target may have run the request.
	Sent
	// Delivered means that part of the answer reached the caller.
	Delivered
)

// Attempt is a failed attempt.
type Attempt struct {
	Number     int // 1 for the first
	Progress   Progress
	Repeatable bool // the request may run more than once
}

// Allowed says whether another attempt does no harm.
func Allowed(a Attempt, maxAttempts int) bool {
	if a.Number >= maxAttempts {
		return false
	}
	switch a.Progress {
	case NotSent, Refused:
		return true
	case Sent:
		return a.Repeatable
	default:
		return false
	}
}
