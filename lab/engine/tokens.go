package engine

// PromptTokens returns how many tokens the stand-in counts in messages, so
// that a caller knows what could have come from a cache.
func PromptTokens(messages []Message) int {
	_, tokens := prefixes(messages)
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}
