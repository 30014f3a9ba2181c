package replica

import "github.com/knapweedgw/knapweedgw/store"

// In memory, revisions are positions (see store.Position). Nodes send each other revisions and their eras apart,
// so that nodes of releases that don't know eras read what they know.

// onWire returns the request as it is sent.
func (r CopyRequest) onWire() CopyRequest {
	r.CatalogRevision, r.Revision, r.Head = store.RevisionOf(r.CatalogRevision), store.RevisionOf(r.Revision), store.RevisionOf(r.Head)
	return r
}

// fromWire is the reverse of onWire. The era of CatalogRevision isn't sent; it is used only for requests without eras.
func (r CopyRequest) fromWire() CopyRequest {
	r.Revision, r.Head = store.Position(r.Era, r.Revision), store.Position(r.Era, r.Head)
	return r
}

// resolve returns the request with the revision of a release that doesn't know eras taken for one of this copy's era.
func (c *copyState) resolve(req CopyRequest) CopyRequest {
	if req.Era == 0 && req.Revision > 0 {
		req.Revision = store.Position(store.EraOf(c.revision), req.Revision)
	}
	return req
}

// hasNewerCatalog reports whether the requesting node lacks this copy's configuration. A node of a release that
// doesn't send the version of its own is sent this one if its revision is later, or may be.
func (c *copyState) hasNewerCatalog(req CopyRequest) bool {
	switch {
	case c.catalog == nil:
		return false
	case req.CatalogVersion > 0:
		return c.catalog.Version() > req.CatalogVersion
	}
	return c.returned || store.RevisionOf(c.catalogEntry.Revision) > store.RevisionOf(req.CatalogRevision)
}

// onWire returns the reply as it is sent.
func (r CopyReply) onWire() CopyReply {
	r.Era = store.EraOf(r.Revision)
	if store.EraOf(r.Head) != r.Era { // the requesting node is ahead
		r.Head = r.Revision
	}
	r.Revision, r.Head = store.RevisionOf(r.Revision), store.RevisionOf(r.Head)
	entries := make([]Entry, len(r.Entries))
	for i, e := range r.Entries {
		if era := store.EraOf(e.Revision); era != r.Era {
			e.Era = era
		}
		e.Revision = store.RevisionOf(e.Revision)
		entries[i] = e
	}
	r.Entries = entries
	return r
}

// fromWire is the reverse of onWire.
func (r CopyReply) fromWire() CopyReply {
	r.Revision, r.Head = store.Position(r.Era, r.Revision), store.Position(r.Era, r.Head)
	for i, e := range r.Entries {
		era := r.Era
		if e.Era > 0 {
			era = e.Era
		}
		r.Entries[i].Revision, r.Entries[i].Era = store.Position(era, e.Revision), 0
	}
	return r
}
