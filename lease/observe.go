package lease

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// Observe applies the outcome of the last Action.
func (m *Machine) Observe(r Result) {
	if m.phase == phaseStopped {
		return
	}
	switch r.Action.Call {
	case CallProbe:
		m.observeProbe(r)
	case CallGrant:
		m.observeGrant(r)
	case CallCreate:
		m.observeCreate(r)
	case CallReadBack:
		m.observeReadBack(r)
	case CallRenew:
		m.observeRenew(r)
	case CallRevoke:
		m.observeRevoke(r)
	}
}

func (m *Machine) retry(r Result) { m.notBefore = r.Done.Add(m.cfg.Retry) }

func (m *Machine) observeProbe(r Result) {
	if m.phase != phaseIdle {
		return
	}
	if r.Err != nil {
		m.retry(r)
		return
	}
	m.holder = r.Record.Holder
	if r.Found {
		m.seenFence = max(m.seenFence, r.Record.Fence())
		m.notBefore = r.Done.Add(m.cfg.RenewEvery)
		return
	}
	m.phase = phaseGrant
}

// observeGrant counts the TTL of the lease from the send time: the store can't have started it
// earlier.
func (m *Machine) observeGrant(r Result) {
	if m.phase != phaseGrant {
		return
	}
	if r.Err != nil {
		m.phase = phaseIdle
		m.retry(r)
		return
	}
	m.lease = r.Lease
	m.renewedAt = r.Sent
	m.currentWriteID = m.newWriteID()
	m.phase = phaseCreate
}

func (m *Machine) observeCreate(r Result) {
	if m.phase != phaseCreate {
		return
	}
	switch {
	case r.Err == nil && r.Created:
		m.startTerm(Record{MinFence: r.Action.Fence, Revision: r.Revision})
	case errors.Is(r.Err, store.ErrLeaseNotFound):
		m.phase = phaseIdle
		m.retry(r)
	default:
		m.phase = phaseReadBack
	}
}

func (m *Machine) observeReadBack(r Result) {
	if m.phase != phaseReadBack {
		return
	}
	switch {
	case r.Err != nil:
		m.abandonOrRetry(r, phaseReadBack)
	case !r.Found:
		m.abandonOrRetry(r, phaseCreate)
	case r.Record.WriteID == m.currentWriteID:
		m.startTerm(r.Record)
	default:
		m.holder = r.Record.Holder
		m.phase = phaseRevoke
	}
}

// abandonOrRetry enters the next phase after the retry delay, or revokes the lease if it must
// already be treated as expired.
func (m *Machine) abandonOrRetry(r Result, next phase) {
	if elapsed(m.renewedAt, r.Done) >= m.cfg.TTL-m.cfg.Margin {
		m.phase = phaseRevoke
		return
	}
	m.phase = next
	m.retry(r)
}

func (m *Machine) startTerm(r Record) {
	m.phase = phaseHeld
	m.fence, m.revision = r.Fence(), r.Revision
	m.seenFence = max(m.seenFence, m.fence)
	m.loss = LossNone
	m.notBefore = m.renewedAt.Add(m.cfg.RenewEvery)
}

// observeRenew counts the TTL from the send time of the renewal. The lease can't have expired in
// between, or the store wouldn't have renewed it.
func (m *Machine) observeRenew(r Result) {
	if m.phase != phaseHeld {
		return
	}
	switch {
	case r.Err == nil:
		m.renewedAt = r.Sent
		m.notBefore = r.Sent.Add(m.cfg.RenewEvery)
	case errors.Is(r.Err, store.ErrLeaseNotFound):
		m.lose(LossNotFound)
	default:
		m.retry(r)
	}
}

// observeRevoke ends the phase whatever the response: a lease that wasn't revoked expires by
// itself.
func (m *Machine) observeRevoke(r Result) {
	m.lease = 0
	m.phase = phaseIdle
	m.notBefore = time.Time{}
	switch {
	case m.stopping:
		m.phase = phaseStopped
	default:
		m.retry(r)
	}
}
