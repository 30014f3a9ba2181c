package resumption

import (
	"slices"
	"time"
)

// history records which origins the targets of each service have had. It is not safe for concurrent use.
type history struct {
	targets map[string]targetOrigin // by target ID
	// origins holds, by service and origin, the number of targets and when the last one was removed.
	origins map[string]map[Origin]*presence
	// from is the time since which no origin can be missing.
	from time.Time
	// starting means that the first list of targets is being read of a site where no node has run before,
	// so that its origins are settled.
	starting bool
}

type targetOrigin struct {
	service string
	origin  Origin
}

type presence struct {
	targets int
	// lastSeen is when the last target was removed, valid if there is none.
	lastSeen time.Time
	// since is when it appeared, or later if the list of targets wasn't confirmed then; zero if it was
	// settled before this node knew of it.
	since time.Time
	// appeared is when this node first saw it, zero unless its list of targets was confirmed without it just
	// before.
	appeared time.Time
}

func (p *presence) isSettled(now time.Time) bool { return now.Sub(p.since) >= SettleTime }

func newHistory(now time.Time) history {
	return history{targets: make(map[string]targetOrigin), origins: make(map[string]map[Origin]*presence), from: now}
}

// put records that a target of a service has the origin, and reports whether that is a new one for the
// service.
func (h *history) put(id, service string, o Origin, now time.Time) (isNew bool) {
	next := targetOrigin{service, o}
	if h.targets[id] == next {
		return false
	}
	h.remove(id, now)
	h.targets[id] = next
	p, isNew := h.presence(service, o, now)
	p.targets++
	if isNew && h.isComplete(now) && !h.starting {
		p.appeared = now
	}
	return isNew
}

// remove records that a target is gone.
func (h *history) remove(id string, now time.Time) {
	last, ok := h.targets[id]
	if !ok {
		return
	}
	delete(h.targets, id)
	p, _ := h.presence(last.service, last.origin, now)
	p.targets--
	p.lastSeen = now
}

// adopt records that targets of the service had the origin up to lastSeen, and that it is settled or that this
// isn't known.
func (h *history) adopt(service string, o Origin, lastSeen time.Time, settled bool, now time.Time) {
	p, _ := h.presence(service, o, now)
	p.appeared = time.Time{} // another node saw it earlier
	if lastSeen.After(p.lastSeen) {
		p.lastSeen = lastSeen
	}
	if settled {
		p.since = time.Time{}
	}
}

// presence returns the presence of an origin, a new one if it isn't known.
func (h *history) presence(service string, o Origin, now time.Time) (p *presence, isNew bool) {
	all, ok := h.origins[service]
	if !ok {
		all = make(map[Origin]*presence)
		h.origins[service] = all
	}
	if p, ok = all[o]; ok {
		return p, false
	}
	p = &presence{since: now}
	if h.starting {
		p.since = time.Time{}
	}
	all[o] = p
	return p, true
}

// settle records that all origins known, and those that the first list adds, are settled.
func (h *history) settle() {
	h.starting = true
	for _, all := range h.origins {
		for _, p := range all {
			p.since = time.Time{}
		}
	}
}

// unsettle records that the list of targets isn't confirmed: what isn't settled by now begins to settle when
// it is, since the note in the store may lack it until then.
func (h *history) unsettle(now time.Time) {
	for _, all := range h.origins {
		for _, p := range all {
			p.appeared = time.Time{}
			if !p.isSettled(now) {
				p.since = now
			}
		}
	}
}

// settling returns the origins of a service that have appeared within SettleTime, in ascending order.
func (h *history) settling(service string, now time.Time) []Origin {
	var out []Origin
	for o, p := range h.origins[service] {
		if !p.isSettled(now) {
			out = append(out, o)
		}
	}
	slices.Sort(out)
	return out
}

// expire removes the origins that no target has had within Retention.
func (h *history) expire(now time.Time) {
	for service, all := range h.origins {
		for o, p := range all {
			if p.targets == 0 && now.Sub(p.lastSeen) > Retention {
				delete(all, o)
			}
		}
		if len(all) == 0 {
			delete(h.origins, service)
		}
	}
}

// of returns the origins of a service, in ascending order.
func (h *history) of(service string, now time.Time) []Origin {
	var out []Origin
	for o, p := range h.origins[service] {
		if p.targets > 0 || now.Sub(p.lastSeen) <= Retention {
			out = append(out, o)
		}
	}
	slices.Sort(out)
	return out
}

// begunAt returns the origins of a service at which a stream may have begun, in ascending order: all but
// those that have just appeared.
func (h *history) begunAt(service string, now time.Time) []Origin {
	return slices.DeleteFunc(h.of(service, now), func(o Origin) bool {
		p := h.origins[service][o]
		return !p.appeared.IsZero() && now.Sub(p.appeared) < NewTime
	})
}

// isComplete reports whether no origin within Retention can be missing.
func (h *history) isComplete(now time.Time) bool { return now.Sub(h.from) >= Retention }

// complete records that no origin within the last Retention is missing.
func (h *history) complete(now time.Time) {
	if from := now.Add(-Retention); from.Before(h.from) {
		h.from = from
	}
}

// severalAnywhere reports whether a service has had several origins.
func (h *history) severalAnywhere(now time.Time) bool {
	for service, all := range h.origins {
		if len(all) > 1 && len(h.of(service, now)) > 1 {
			return true
		}
	}
	return false
}
