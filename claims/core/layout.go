package core

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix is the prefix of all keys of the claims in the store. Each shard has these keys
// below it:
//
//	<shard>/open/head            the Head
//	<shard>/open/segment/<seq>   a segment: the records of one transaction
//	<shard>/closed/<group>       the concatenated segments of a closed group
//
// Transactions add their segments to the open group. When that is closed, its segments
// are replaced by a single value, which is deleted as a whole after the retention.
const Prefix = "knapweedgw/claims/v1/"

// layout holds the store keys and key prefixes of one shard.
type layout struct{ all, open, head, segments, closed string }

func newLayout(shard int) layout {
	all := fmt.Sprintf("%s%02d/", Prefix, shard)
	return layout{
		all:      all,
		open:     all + "open/",
		head:     all + "open/head",
		segments: all + "open/segment/",
		closed:   all + "closed/",
	}
}

func formatNumber(n uint64) string { return fmt.Sprintf("%016x", n) }

// parseNumber returns the number that follows prefix in key; ok is false if key doesn't
// start with prefix. The error is ErrCorrupt if no number follows.
func parseNumber(key, prefix string) (n uint64, ok bool, err error) {
	text, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false, nil
	}
	n, err = strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, false, errors.Wrapf(ErrCorrupt, "key %s", key)
	}
	return n, true, nil
}
