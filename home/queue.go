package home

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/invariant"
)

// queueBound is the invariant that a queue never exceeds its bound.
const queueBound invariant.Name = "home.queue_bound"

// batchTurn lets batch requests go first in one of so many rounds, so that a
// constant interactive load does not starve them.
const batchTurn = 8

// queue holds the waiting tasks of a group in order of arrival, by class. Tasks
// that are to be sent again have a lane of their own, so that they neither wait
// behind new ones nor block them while the budget has no token.
type queue struct {
	again, interactive, batch lane
	round                     int
}

func (q *queue) lane(c catalogue.Class) *lane {
	if c == catalogue.Batch {
		return &q.batch
	}
	return &q.interactive
}

func (q *queue) len() int { return q.again.n + q.interactive.n + q.batch.n }

// fresh returns the number of tasks that were not sent yet.
func (q *queue) fresh() int { return q.interactive.n + q.batch.n }

// order returns the lanes in the order in which this round serves them.
func (q *queue) order() [3]*lane {
	if q.round++; q.round%batchTurn == 0 {
		return [3]*lane{&q.again, &q.batch, &q.interactive}
	}
	return [3]*lane{&q.again, &q.interactive, &q.batch}
}

// push appends a new task, or refuses it when the lane is full.
func (q *queue) push(t *task, bound int) bool { return q.lane(t.req.Class()).push(t, bound) }

// repeat appends a task that is to be sent again, or refuses it when the lane is full.
func (q *queue) repeat(t *task, bound int) bool { return q.again.push(t, bound) }

func (l *lane) push(t *task, bound int) bool {
	if l.n >= bound {
		return false
	}
	l.append(t)
	invariant.Check(queueBound, l.n <= bound, "%d tasks in a lane for %d", l.n, bound)
	return true
}

func (q *queue) remove(t *task) {
	if t.in != nil {
		t.in.remove(t)
	}
}
