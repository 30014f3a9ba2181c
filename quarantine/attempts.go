package quarantine

import "time"

// Attempts reports the attempts of one request to a node's guard. It is not safe for concurrent use.
type Attempts struct {
	guard    *Guard
	request  string
	identify func() Keys
	keys     *Keys // nil until they are needed, which few requests do
	// counted means that the guard counts the attempt in progress.
	counted bool
	// sent is when the last attempt was sent, and begun when the first bytes of the body of its answer arrived, zero
	// before that. written means that the guard was told that the answer has gone on since.
	sent, begun time.Time
	written     bool
}

// NewAttempts returns the attempts of the request with an ID. identify computes the request's keys; it is called at
// most once.
func (g *Guard) NewAttempts(request string, identify func() Keys) *Attempts {
	return &Attempts{guard: g, request: request, identify: identify}
}

// Begin decides whether an attempt may be sent now. After an allowed one the caller must call End.
func (a *Attempts) Begin() Decision {
	if !a.guard.HasEntries() {
		return Decision{}
	}
	d := a.guard.Begin(a.Keys())
	a.counted = d.MustCallDone
	return d
}

// Send records that the attempt is sent now.
func (a *Attempts) Send() { a.sent, a.begun, a.written = a.guard.now(), time.Time{}, false }

// Receive records that bytes of the body of the attempt's answer have arrived. Once the answer has gone on for long enough,
// its prompt is known not to end targets.
func (a *Attempts) Receive() {
	if a.written {
		return
	}
	now := a.guard.now()
	if a.begun.IsZero() {
		a.begun = now
	}
	if now.Sub(a.begun) >= a.guard.table.cfg.BeginTime && a.guard.HasEntries() {
		a.written = true
		a.guard.RecordWritten(a.Keys())
	}
}

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	// Failed is an attempt without a complete answer, or one that was not sent.
	Failed Result = iota
	// Completed is a complete answer which reports a failure.
	Completed
	// Succeeded is a complete answer which reports success.
	Succeeded
)

// End ends an attempt. Further calls for the same attempt do nothing.
func (a *Attempts) End(r Result) {
	if a.counted {
		a.counted = false
		a.guard.Done(a.Keys())
	}
	if r == Failed || !a.guard.HasEntries() {
		return
	}
	a.guard.RecordCompleted(a.Keys())
	if r == Succeeded {
		a.guard.RecordWritten(a.Keys())
	}
}

// Suspect returns the last attempt as a suspect of its target's termination.
func (a *Attempts) Suspect() Suspect {
	return Suspect{Request: a.request, Keys: a.Keys(), Sent: a.sent, Begun: a.begun}
}

// Keys returns what identifies the request.
func (a *Attempts) Keys() Keys {
	if a.keys == nil {
		keys := a.identify()
		a.keys = &keys
	}
	return *a.keys
}

// LogFields returns the log fields of the keys, none if they weren't needed.
func (a *Attempts) LogFields() []any {
	if a == nil || a.keys == nil {
		return nil
	}
	return a.keys.LogFields()
}
