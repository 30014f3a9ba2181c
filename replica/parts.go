package replica

import (
	"bytes"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/flate"

	"github.com/knapweedgw/knapweedgw/store"
)

// maxPartEntries bounds the entries in one reply; an entry has about 300 bytes. A node that
// lacks more asks for the next part, from any node. So the memory that a node needs for replies
// grows with the number of concurrent requests and not with the number of targets.
const maxPartEntries = 512

// CopyRequest holds what the requesting node has. The reply contains what is newer. Revisions are
// positions in memory, and revisions of Era on the wire.
type CopyRequest struct {
	CatalogRevision int64 `json:"catalog_revision"`
	Revision        int64 `json:"revision"`
	// Era is that of Revision, and CatalogVersion the version of the configuration. Nodes of releases
	// that don't know eras leave both out.
	Era            int64 `json:"era,omitempty"`
	CatalogVersion int64 `json:"catalog_version,omitempty"`
	// Head is the lowest Head of the parts that the requesting node has collected, if it collects a copy in parts:
	// what they contain existed at that revision. Nodes of releases that don't support it leave it out.
	Head int64 `json:"head,omitempty"`
	// Known asks for what the other node knows better than the store, and for nothing else. Nodes of releases that don't
	// know it reply as to any request.
	Known bool `json:"known,omitempty"`
	// Parts means that the requesting node accepts a reply in parts. Nodes of releases that
	// don't support parts leave it out and get everything in one reply.
	Parts bool `json:"parts,omitempty"`
}

// CopyReply is what one node sends to another: the changes up to Revision, or all entries if
// Whole is set. It contains the configuration only if the requesting node lacks it. Revisions are
// positions in memory, and revisions of Era on the wire.
type CopyReply struct {
	Entries []Entry `json:"entries,omitempty"`
	// Packed holds further entries that follow Entries, as CBOR compressed by DEFLATE.
	Packed   []byte `json:"packed,omitempty"`
	Revision int64  `json:"revision"`
	// Era is that of Revision. Nodes of releases that don't know eras leave it out.
	Era   int64 `json:"era,omitempty"`
	Whole bool  `json:"whole,omitempty"`
	// More means that this is one of several parts. It ends at Revision; the sender has all
	// changes up to Head.
	More bool  `json:"more,omitempty"`
	Head int64 `json:"head,omitempty"`
	// ConfirmedAge is how many milliseconds ago Revision was last confirmed to be the store's
	// newest; nil if it never was, or if More is set.
	ConfirmedAge *int64 `json:"confirmed_age_ms,omitempty"`
	// Known answers a request for it; nil if the other node doesn't know.
	Known *Known `json:"known,omitempty"`
	// Evacuations means that the reply covers evacuated failure domains. Nodes of releases that
	// don't support evacuations leave it out.
	Evacuations bool `json:"evacuations,omitempty"`
}

// replyTo returns what this copy has beyond req.
func (c *copyState) replyTo(req CopyRequest) CopyReply {
	if req.Parts {
		return c.replyWithLimit(req, maxPartEntries)
	}
	return c.replyWithLimit(req, len(c.history.changes))
}

// replyWithLimit is replyTo with the given limit of entries in a reply, see history.since.
func (c *copyState) replyWithLimit(req CopyRequest, limit int) CopyReply {
	req = c.resolve(req)
	out := CopyReply{Revision: max(c.revision, req.Revision), Head: c.revision, Evacuations: true}
	if c.hasNewerCatalog(req) {
		out.Entries = append(out.Entries, c.catalogEntry)
	}
	switch {
	case c.incomplete:
		out.Revision = req.Revision
	case c.returned && req.Era == 0 && req.Revision > 0:
		// The requesting node may have a copy of any era.
		out.Revision, out.Whole = c.revision, true
		c.addChanges(&out, 0, limit)
	case c.revision <= req.Revision:
	case c.history.isIncompleteSince(req.knownAt()):
		// The requesting node may hold entries whose tombstones were discarded, unless it holds
		// nothing.
		out.Whole = req.Revision > 0 || !req.Parts
		c.addChanges(&out, 0, limit)
	default:
		c.addChanges(&out, req.Revision, limit)
	}
	return out
}

// knownAt returns the position at which what the requesting node has existed: it lacks the removals since.
func (r CopyRequest) knownAt() int64 {
	if r.Head > 0 {
		return r.Head
	}
	return r.Revision
}

// addChanges adds the changes after a revision to out, up to limit as in history.since.
func (c *copyState) addChanges(out *CopyReply, after int64, limit int) {
	list, more := c.history.since(after, limit)
	if more {
		out.More, out.Revision = true, min(list[len(list)-1].revision, c.revision)
	}
	for _, k := range list {
		if e := c.latestEntry(k); !out.Whole || !e.Removed {
			out.Entries = append(out.Entries, e)
		}
	}
}

// latestEntry returns the most recent change of a key, with its value.
func (c *copyState) latestEntry(k keyChange) Entry {
	if e, ok := c.targets[k.key]; ok {
		return e.Entry
	}
	if e, ok := c.evacuations[k.key]; ok {
		return e
	}
	return Entry{Key: k.key, Revision: k.revision, Removed: true}
}

// copyRequest returns a request for everything that this copy lacks.
func (c *copyState) copyRequest() CopyRequest {
	req := CopyRequest{CatalogRevision: c.catalogEntry.Revision, Revision: c.revision, Parts: true}
	if c.catalog != nil {
		req.CatalogVersion = c.catalog.Version()
	}
	if c.staged != nil {
		req.Revision, req.Head = c.staged.revision, c.staged.lowestHead
	} else if c.incomplete {
		req.Head = c.firstCopyLowestHead
	}
	req.Era = store.EraOf(req.Revision)
	return req
}

// staging collects the parts of a full copy.
type staging struct {
	entries  map[string]Entry
	revision int64
	// head is the revision at which the full copy is complete, lowestHead the lowest head of a part.
	head, lowestHead int64
}

func (s *staging) add(got CopyReply) {
	for _, e := range got.Entries {
		if e.Removed {
			delete(s.entries, e.Key)
		} else {
			s.entries[e.Key] = e
		}
	}
	s.revision, s.head, s.lowestHead = got.Revision, max(s.head, got.Head), lowerHead(s.lowestHead, got.Head)
}

// lowerHead returns the lower of two heads, of which the first is 0 for none.
func lowerHead(a, b int64) int64 {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (s *staging) isComplete(got CopyReply) bool { return !got.More && s.revision >= s.head }

// whole returns the collected entries as a full copy.
func (s *staging) whole(evacuations bool) CopyReply {
	out := CopyReply{Revision: s.revision, Whole: true, Evacuations: evacuations}
	for _, e := range s.entries {
		out.Entries = append(out.Entries, e)
	}
	return out
}

// applyReply applies the reply of another node.
func (c *copyState) applyReply(got CopyReply, now time.Time) changes {
	if got.Whole {
		c.staged = &staging{entries: make(map[string]Entry)}
	}
	if c.staged != nil {
		return c.stage(got, now)
	}
	if got.More && (c.revision == 0 || c.incomplete) {
		c.firstCopyHead, c.firstCopyLowestHead = max(c.firstCopyHead, got.Head), lowerHead(c.firstCopyLowestHead, got.Head)
	}
	if c.isRestored(got.Revision) {
		// The reply is to a request that began before this copy was of its present era.
		return c.applyCatalogOf(got, now)
	}
	first := c.completeRevision() == 0
	var out changes
	for _, e := range got.Entries {
		out.add(c.applyChange(e, now))
	}
	c.advance(got.Revision)
	c.incomplete = c.revision < c.firstCopyHead
	if first {
		// The sender may have discarded or not seen older removals.
		c.history.skip(0, c.revision)
	}
	return out
}

// stage collects one part of a full copy. Its configuration is applied at once.
func (c *copyState) stage(got CopyReply, now time.Time) changes {
	out := c.applyCatalogOf(got, now)
	c.staged.add(got)
	if c.staged.isComplete(got) {
		out.add(c.replaceAll(c.staged.whole(got.Evacuations), now))
	}
	return out
}

// applyCatalogOf applies only the configuration in a reply.
func (c *copyState) applyCatalogOf(got CopyReply, now time.Time) changes {
	var out changes
	for _, e := range got.Entries {
		if e.Key == c.schema.CatalogKey() {
			out.add(c.applyChange(e, now))
		}
	}
	return out
}

// packEntries moves all entries into Packed, except the configuration, whose value is
// compressed already.
func (c CopyReply) packEntries() (CopyReply, error) {
	unpackedCount := 0
	if len(c.Entries) > 0 && c.Entries[0].Packed {
		unpackedCount = 1
	}
	if len(c.Entries) <= unpackedCount {
		return c, nil
	}
	raw, err := cbor.Marshal(c.Entries[unpackedCount:])
	if err != nil {
		return c, errors.Wrap(err, "replica: packing entries")
	}
	var buf bytes.Buffer
	if err := flate.StatelessDeflate(&buf, raw, true, nil); err != nil {
		return c, errors.Wrap(err, "replica: packing entries")
	}
	c.Entries, c.Packed = c.Entries[:unpackedCount:unpackedCount], buf.Bytes()
	return c, nil
}

// unpackEntries reverses packEntries.
func (c CopyReply) unpackEntries() (CopyReply, error) {
	if len(c.Packed) == 0 {
		return c, nil
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Packed)), maxUnpackedSize+1))
	if err != nil {
		return c, errors.Wrap(errUnpack, err.Error())
	}
	if len(raw) > maxUnpackedSize {
		return c, errors.Wrapf(errUnpack, "over %d bytes", maxUnpackedSize)
	}
	var entries []Entry
	if err := cbor.Unmarshal(raw, &entries); err != nil {
		return c, errors.Wrap(errUnpack, err.Error())
	}
	c.Entries, c.Packed = append(c.Entries, entries...), nil
	return c, nil
}
