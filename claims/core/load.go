package core

import (
	"slices"
	"strings"

	"github.com/knapweedgw/knapweedgw/store"
)

// Loaded handles the result of a StepRead.
func (s *Shard) Loaded(now Instant, page store.ListResult, err error) {
	full := !s.loaded
	s.Counts.Reads++
	if full {
		s.Counts.FullReads++
	}
	if err == nil {
		err = s.load(now, page, full)
	}
	if err != nil {
		s.handleStoreFailure(now)
	}
}

func (s *Shard) load(now Instant, page store.ListResult, full bool) error {
	head, revision, err := s.findHead(page)
	if err != nil {
		return err
	}
	if !full && (head.Group != s.head.Group || head.Seq < s.head.Seq) {
		// The open group was closed since the last read, so that some of the new
		// segments are no longer under the open prefix: read the whole log.
		s.loaded = false
		return nil
	}
	if full {
		s.table = NewTable()
		s.head = Head{}
		if err := s.loadClosed(page, head); err != nil {
			return err
		}
		s.openGroup, s.segments = nil, 0
	}
	if err := s.loadOpen(page, head); err != nil {
		s.loaded = false
		return err
	}
	s.head, s.revision = head, revision
	s.table.Trim(head.Oldest)
	s.loaded, s.stale = true, false
	s.syncedAt, s.clockReadAt = s.readStartedAt, now
	s.failingSince = Forever
	return nil
}

func (s *Shard) findHead(page store.ListResult) (Head, int64, error) {
	i := slices.IndexFunc(page.KVs, func(kv store.KV) bool { return kv.Key == s.keys.head })
	if i < 0 {
		return Head{}, 0, nil
	}
	h, err := decodeHead(page.KVs[i].Value)
	return h, page.KVs[i].ModRevision, err
}

// loadClosed applies the closed groups, oldest first. Group numbers in keys have a fixed
// width, so the order of the page is that of the groups.
func (s *Shard) loadClosed(page store.ListResult, head Head) error {
	for _, kv := range page.KVs {
		g, ok, err := parseNumber(kv.Key, s.keys.closed)
		if err != nil {
			return err
		}
		if !ok || g < head.Oldest {
			continue
		}
		if err := s.applyValue(g, kv.Value); err != nil {
			return err
		}
	}
	return nil
}

// loadOpen applies the segments of the open group that the table lacks.
func (s *Shard) loadOpen(page store.ListResult, head Head) error {
	for _, kv := range page.KVs {
		if !strings.HasPrefix(kv.Key, s.keys.segments) {
			continue
		}
		seq, _, err := parseNumber(kv.Key, s.keys.segments)
		if err != nil {
			return err
		}
		if seq <= s.head.Seq {
			continue
		}
		if err := s.applyValue(head.Group, kv.Value); err != nil {
			return err
		}
		s.openGroup = append(s.openGroup[:len(s.openGroup):len(s.openGroup)], kv.Value...)
		s.segments++
	}
	return nil
}

func (s *Shard) applyValue(g uint64, value []byte) error {
	return decodeRecords(value, func(r Record) { s.table.Apply(g, r) })
}
