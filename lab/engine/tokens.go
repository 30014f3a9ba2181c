package engine

// PromptTokens returns the number of tokens that the stand-in counts in messages. Load generators
// use it to compute the largest possible number of cached tokens.
func PromptTokens(messages []Message) int {
	_, tokens := prefixes(messages)
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}
