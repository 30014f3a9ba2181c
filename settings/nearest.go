package settings

// maxTypos is the largest edit distance between a name and its suggestion.
const maxTypos = 4

// nearest returns the known name with the smallest edit distance to name, or ""
// if none is within maxTypos edits and half the length of name.
func nearest(name string, known []string) string {
	best, bestDistance := "", min(maxTypos, len(name)/2)+1
	for _, k := range known {
		if d := editDistance(name, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes. It keeps one row of the
// table.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
