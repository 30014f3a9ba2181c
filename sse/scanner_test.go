package sse_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedgw/knapweedgw/sse"
)

func scanAll(parts ...string) (position sse.Position, id string, outside int) {
	var s sse.Scanner
	read := 0
	for _, p := range parts {
		if n := s.Scan([]byte(p)); n > 0 {
			outside = read + n
		}
		read += len(p)
	}
	return s.Position(), s.LastID(), outside
}

// Guards against the end of a stream being found between two events although it is inside one, or the
// other way round, for any form of line ends, comments and fields.
func TestPositionAtTheEndOfAStream(t *testing.T) {
	for name, tt := range map[string]struct {
		stream   string
		position sse.Position
		id       string
		outside  int
	}{
		"nothing":                         {"", sse.BeforeFirst, "", 0},
		"one event":                       {"id: 1\ndata: a\n\n", sse.Between, "1", 15},
		"half a line":                     {"id: 1\nda", sse.Inside, "", 0},
		"no blank line":                   {"id: 1\ndata: a\n", sse.Inside, "", 0},
		"half of the second":              {"id: 1\ndata: a\n\nid: 2\nda", sse.Inside, "1", 15},
		"carriage returns":                {"id: 1\rdata: a\r\r", sse.Between, "1", 15},
		"both":                            {"id: 1\r\ndata: a\r\n\r\n", sse.Between, "1", 18},
		"mixed":                           {"id: 1\r\ndata: a\n\r", sse.Between, "1", 16},
		"no blank line, both":             {"data: a\r\n", sse.Inside, "", 0},
		"an ID without data":              {"id: 7\n\n", sse.Between, "7", 7},
		"an ID without a blank line":      {"id: 7\n", sse.Inside, "", 0},
		"an ID without a colon":           {"data: a\nid\n\n", sse.Between, "", 12},
		"a field that begins like an ID":  {"id: 1\n\nidx: 2\n\n", sse.Between, "1", 15},
		"an event without an ID":          {"id: 1\n\ndata: a\n\n", sse.Between, "1", 16},
		"a comment":                       {": ping\n", sse.BeforeFirst, "", 7},
		"a comment after an event":        {"data: a\n\n: ping\n", sse.Between, "", 16},
		"half a comment":                  {"data: a\n\n: pi", sse.Inside, "", 9},
		"a comment within an event":       {"data: a\n: ping\n", sse.Inside, "", 0},
		"blank lines":                     {"\n\n\r\n", sse.BeforeFirst, "", 4},
		"more blank lines":                {"data: a\n\n\n\n", sse.Between, "", 11},
		"a byte order mark":               {"\xEF\xBB\xBFid: 1\n\n", sse.Between, "1", 10},
		"a byte order mark, comment":      {"\xEF\xBB\xBF: a\n", sse.BeforeFirst, "", 7},
		"half a byte order mark":          {"\xEF\xBB", sse.Inside, "", 0},
		"half a byte order mark, a field": {"\xEF\xBBid: 1\n\n", sse.Between, "", 9},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			position, id, outside := scanAll(tt.stream)
			is.Equal(position, tt.position)
			is.Equal(id, tt.id)
			is.Equal(outside, tt.outside)
		})
	}
}

// Guards against a stream being resumed after an event whose ID was cut short.
func TestLongIDCountsAsNone(t *testing.T) {
	is := is.New(t)
	long := string(bytes.Repeat([]byte("7"), 129))
	_, id, _ := scanAll("id: 1\n\nid:"+long[:100], long[100:]+"\n\n")
	is.Equal(id, "")
	_, id, _ = scanAll("id:" + long[:128] + "\n\n")
	is.Equal(id, long[:128])
}

// Guards against a verdict that depends on how the bytes of a stream are split between reads.
func FuzzSplitsOfAStream(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\nda"), uint8(3), uint8(9))
	f.Add([]byte("\xEF\xBB\xBFid: 1\r\rdata\n\n: c\n"), uint8(1), uint8(8))
	f.Add([]byte("data: a\r\n\r\nid"), uint8(8), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, first, second uint8) {
		position, id, outside := scanAll(string(stream))
		var bytewise []string
		for _, b := range stream {
			bytewise = append(bytewise, string([]byte{b}))
		}
		a := min(int(first), len(stream))
		b := min(a+int(second), len(stream))
		for name, parts := range map[string][]string{
			"bytes": bytewise, "three": {string(stream[:a]), string(stream[a:b]), string(stream[b:])},
		} {
			p, i, o := scanAll(parts...)
			if p != position || i != id || o != outside {
				t.Errorf("%s: %v %q %d, whole: %v %q %d", name, p, i, o, position, id, outside)
			}
		}
		if position != sse.Inside && outside != len(stream) {
			t.Errorf("the stream ends %v, and %d of %d bytes are outside of events", position, outside, len(stream))
		}
		if p, _, _ := scanAll(string(stream[:outside])); p == sse.Inside {
			t.Errorf("the first %d bytes end inside an event", outside)
		}
	})
}
