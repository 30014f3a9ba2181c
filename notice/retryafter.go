package notice

import (
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxCooldown bounds a cooldown. Longer ones, which no target can intend, could overflow the time
// type.
const maxCooldown = 24 * time.Hour

// maxUnreadableBytes bounds the part of an unreadable value that is stored.
const maxUnreadableBytes = 64

const headerRetryAfter = "Retry-After"

// seconds matches delay-seconds (RFC 9110, 10.2.3), here also with a fraction.
var seconds = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// FromHeader returns the cooldown that a response requests: the Retry-After of a 503. In other
// responses the header is meant for the caller.
func FromHeader(status int, h http.Header, now time.Time) Notice {
	value := strings.TrimSpace(h.Get(headerRetryAfter))
	if status != http.StatusServiceUnavailable || value == "" {
		return Notice{}
	}
	if seconds.MatchString(value) {
		return Notice{RetryAfter: parseSeconds(value)}
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return Notice{Unreadable: value[:min(len(value), maxUnreadableBytes)]}
	}
	// The date is relative to the target's own clock if the response contains that.
	if sent, err := http.ParseTime(h.Get("Date")); err == nil {
		now = sent
	}
	return Notice{RetryAfter: min(max(at.Sub(now), 0), maxCooldown)}
}

// parseSeconds parses a number of seconds. A number out of range gives maxCooldown.
func parseSeconds(value string) time.Duration {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || s >= maxCooldown.Seconds() {
		return maxCooldown
	}
	return time.Duration(s * float64(time.Second))
}
