package overload

import (
	"math"
	"time"
)

const (
	// minPrefillTokens is the shortest prompt whose reading time is used: shorter ones take less
	// time than a step of the engine.
	minPrefillTokens = 2000
	// prefillDecay is the time constant with which the learnt speed falls.
	prefillDecay = time.Minute
)

// prefillSpeed learns how fast targets read prompts. It is the highest speed seen lately: in most
// measurements a prompt also waited for others.
type prefillSpeed struct {
	tokensPerSecond float64
	at              time.Time
}

func (p *prefillSpeed) observe(tokens int, took time.Duration, now time.Time) {
	if tokens < minPrefillTokens || took <= 0 {
		return
	}
	p.tokensPerSecond = max(p.current(now), float64(tokens)/took.Seconds())
	p.at = now
}

func (p *prefillSpeed) current(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.tokensPerSecond * math.Exp(-now.Sub(p.at).Seconds()/prefillDecay.Seconds())
}

// RecordPrefill records that a target began to answer after it had read the given number of prompt
// tokens. took is the time from the request to the start of the answer.
func (g *Gate) RecordPrefill(tokens int, took time.Duration, now time.Time) {
	g.prefill.observe(tokens, took, now)
}

// tokensPerSecond returns the number of prompt tokens that a target reads in a second, 0 if unknown.
func (g *Gate) tokensPerSecond() float64 {
	if g.cfg.TokensPerSecond > 0 {
		return g.cfg.TokensPerSecond
	}
	return g.prefill.tokensPerSecond
}
