package notice

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxRest bounds the rest that a target is granted. Longer ones, which no target can
// mean, would run into the end of the time type.
const maxRest = 24 * time.Hour

// maxShown bounds what is kept of a value that can't be read, in bytes.
const maxShown = 64

const headerRetryAfter = "Retry-After"

// seconds are delay-seconds (RFC 9110, 10.2.3), here with a fraction too.
var seconds = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// FromHeader returns the rest for which an answer asks: the Retry-After of a 503. In other
// answers the header is meant for the caller.
func FromHeader(status int, h http.Header, now time.Time) Notice {
	value := strings.TrimSpace(h.Get(headerRetryAfter))
	if status != http.StatusServiceUnavailable || value == "" {
		return Notice{}
	}
	if seconds.MatchString(value) {
		return Notice{Rest: restOf(value)}
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return Notice{Unreadable: value[:min(len(value), maxShown)]}
	}
	// By the target's own clock, if it tells that.
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return Notice{Rest: min(max(at.Sub(now), 0), maxRest)}
}

// restOf reads a number of seconds; one too large for a number is the longest rest.
func restOf(value string) time.Duration {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || s >= maxRest.Seconds() {
		return maxRest
	}
	return time.Duration(s * float64(time.Second))
}
