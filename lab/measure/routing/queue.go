package routing

// event is something that happens at a virtual time, in seconds.
type event struct {
	at  float64
	seq uint64 // orders events of the same time by their scheduling
	do  func()
}

// queue is a binary heap of events, earliest first.
type queue struct {
	events []event
	seq    uint64
}

func (q *queue) push(at float64, do func()) {
	q.seq++
	q.events = append(q.events, event{at: at, seq: q.seq, do: do})
	for i := len(q.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

func (q *queue) pop() event {
	first := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return first
		}
		q.events[i], q.events[child] = q.events[child], q.events[i]
		i = child
	}
}

func (q *queue) less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}
