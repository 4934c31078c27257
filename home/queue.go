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

// queue holds the waiting tasks of a group in order of arrival, by class.
type queue struct {
	interactive, batch lane
	round              int
}

func (q *queue) lane(c catalogue.Class) *lane {
	if c == catalogue.Batch {
		return &q.batch
	}
	return &q.interactive
}

func (q *queue) len() int { return q.interactive.n + q.batch.n }

// order returns the lanes in the order in which this round serves them.
func (q *queue) order() [2]*lane {
	if q.round++; q.round%batchTurn == 0 {
		return [2]*lane{&q.batch, &q.interactive}
	}
	return [2]*lane{&q.interactive, &q.batch}
}

// push appends a new task, or refuses it when the lane is full. Tasks that are
// to be sent again are not refused; there are never more than slots of them.
func (q *queue) push(t *task, bound int) bool {
	l := q.lane(t.req.Class())
	if l.n >= bound {
		return false
	}
	l.append(t)
	invariant.Check(queueBound, l.n <= bound, "%d tasks in a lane for %d", l.n, bound)
	return true
}

func (q *queue) remove(t *task) { q.lane(t.req.Class()).remove(t) }
