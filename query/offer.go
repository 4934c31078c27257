package query

import (
	"time"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/refusal"
)

// offerFraction is the part of its objective within which a request is offered to a
// target or refused, so that its caller can still go elsewhere. It applies where
// costs are learned.
const offerFraction = 0.25

// offerBy returns when the request must have been offered to a target. Its time runs
// from when it was read, since a slow client or the start of the daemon may delay that.
func (r *run) offerBy() time.Time {
	return r.readAt.Add(time.Duration(offerFraction * float64(r.route.Objective())))
}

// queueBy returns how long a call may wait in the queue of its group. A part of an
// answer whose other parts are under way is of use until the objective.
func (r *run) queueBy(now time.Time) time.Time {
	by := r.objective
	if !r.route.Sharded() {
		by = r.offerBy()
	}
	if now.Before(by) {
		return by
	}
	return r.end
}

// offerDeadline returns the next time at which to check whether the request has been
// offered: offerBy while it has not, and otherwise t.
func (r *run) offerDeadline(t time.Time, parts ...*part) time.Time {
	if by := r.offerBy(); r.kind != nil && by.Before(t) && !offered(parts) {
		return by
	}
	return t
}

// mustRefuse reports whether the request is not offered in time, and withdraws its
// calls. It is false if a call was sent meanwhile.
func (r *run) mustRefuse(now time.Time, parts ...*part) bool {
	if r.kind == nil || now.Before(r.offerBy()) || offered(parts) || !noneRan(parts) {
		return false
	}
	meter.Count("query.not_offered", 1)
	return true
}

// notOffered returns the refusal of a request that no target can take soon.
func (r *run) notOffered(now time.Time, parts ...*part) Answer {
	return refuse(refusal.Overloaded, r.retryAfterQueue(parts, r.retryAfter(now)), "no target had capacity within a quarter of the objective")
}

// retryAfterQueue returns the delay after which a caller should retry a request that
// the queues of its groups do not take: when they are expected to, and otherwise
// other.
func (r *run) retryAfterQueue(parts []*part, other time.Duration) time.Duration {
	delay := time.Duration(0)
	for _, p := range parts {
		if r.kind != nil && p.group != nil && p.answer == nil {
			delay = max(delay, p.group.RetryAfter(r.request, r.kind))
		}
	}
	if delay > 0 {
		return delay
	}
	return other
}

// offered reports whether a call of the parts was sent to a target.
func offered(parts []*part) bool {
	for _, p := range parts {
		for _, c := range p.calls {
			if p.group.IsOffered(c) {
				return true
			}
		}
	}
	return false
}
