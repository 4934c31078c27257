package home

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/invariant"
)

// queueBoundInvariant is the invariant that a queue never exceeds its bound.
const queueBoundInvariant invariant.Name = "home.queue_bound"

// In one of every batchFirstRounds dispatch rounds batch requests go first, so
// that constant interactive load does not starve them.
const batchFirstRounds = 8

// queue holds the waiting tasks of a group in order of arrival, by class. Tasks
// that are to be resent have a list of their own, so that they do not wait
// behind new tasks and do not block new tasks while the budget has no token.
type queue struct {
	resend, interactive, batch taskList
	round                      int
}

func (q *queue) listFor(c catalogue.Class) *taskList {
	if c == catalogue.Batch {
		return &q.batch
	}
	return &q.interactive
}

func (q *queue) len() int { return q.resend.n + q.interactive.n + q.batch.n }

// unsent returns the number of tasks that have not been sent yet.
func (q *queue) unsent() int { return q.interactive.n + q.batch.n }

// nextRound starts a dispatch round and returns the lists in the order of
// service.
func (q *queue) nextRound() [3]*taskList {
	if q.round++; q.round%batchFirstRounds == 0 {
		return [3]*taskList{&q.resend, &q.batch, &q.interactive}
	}
	return [3]*taskList{&q.resend, &q.interactive, &q.batch}
}

// push appends a new task. It reports false when the list of its class is full.
func (q *queue) push(t *task, bound int) bool { return q.listFor(t.req.Class()).push(t, bound) }

// pushResend appends a task that is to be resent. It reports false when the
// list is full.
func (q *queue) pushResend(t *task, bound int) bool { return q.resend.push(t, bound) }

func (l *taskList) push(t *task, bound int) bool {
	if l.n >= bound {
		return false
	}
	l.append(t)
	invariant.Check(queueBoundInvariant, l.n <= bound, "queue holds %d tasks, bound is %d", l.n, bound)
	return true
}

func (q *queue) remove(t *task) {
	if t.list != nil {
		t.list.remove(t)
	}
}
