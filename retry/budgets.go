package retry

import (
	"sync"
	"time"
)

// Budgets holds a process's window of each service. It is safe for concurrent use.
type Budgets struct {
	cfg     WindowConfig
	started time.Time

	mu      sync.Mutex
	windows map[string]*Window
}

// NewBudgets returns the unused budgets of a process that started at the given time.
func NewBudgets(cfg WindowConfig, started time.Time) *Budgets {
	return &Budgets{cfg: cfg, started: started, windows: make(map[string]*Window)}
}

// NoteNewFleet records that no process of the fleet has run before, so that nothing of the slack has been used.
func (b *Budgets) NoteNewFleet() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.started = b.started.Add(-b.cfg.Window)
	for _, w := range b.windows {
		w.setStarted(b.started)
	}
}

// Window returns the window of a service.
func (b *Budgets) Window(service string) *Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.windows[service]
	if !ok {
		w = NewWindow(b.cfg, b.started)
		b.windows[service] = w
	}
	return w
}
