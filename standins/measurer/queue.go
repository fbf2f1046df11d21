package measurer

import "time"

// eventKind is the type of an event.
type eventKind uint8

const (
	eventArrive eventKind = iota + 1
	eventReach
	eventFinish
	eventReply
	eventTick
	eventCall
)

type event struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	// index is the server of an eventTick; request is an index into world.requests.
	index   int
	request int
	call    func()
}

// queue is a binary heap of events, ordered by time and then by insertion.
type queue struct {
	events []event
	seq    uint64
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.events = append(q.events, e)
	i := len(q.events) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !before(q.events[i], q.events[parent]) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

func (q *queue) pop() event {
	top := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && before(q.events[child+1], q.events[child]) {
			child++
		}
		if !before(q.events[child], q.events[i]) {
			return top
		}
		q.events[i], q.events[child] = q.events[child], q.events[i]
		i = child
	}
}

func before(a, b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}
