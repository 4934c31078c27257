package home

import (
	"slices"
	"sync"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

const (
	// replyMargin is the time reserved for the return of a result to the
	// entry: the home replies this long before the request's deadline.
	replyMargin = 2 * time.Millisecond
	// queuePerSlot is the bound of each class's queue per slot of the group.
	queuePerSlot = 16
	// minQueueBound is the smallest queue bound; it applies to groups with few
	// slots.
	minQueueBound = 32
	// defaultLatency is the assumed service time before the first reply.
	defaultLatency = 10 * time.Millisecond
)

// group is the home of one replica group.
type group struct {
	set     *Set
	id      string
	shard   string
	service *service

	mu             sync.Mutex
	share          lease.Share
	released       bool // Handed off to another home; cleared only by an assignment without the group.
	closed         bool
	pollingEnabled bool // Health polling is on; an acting home turns it off while it is unused.
	lastRequest    time.Duration
	members        []*member
	removedMembers []*member // Removed from the catalogue, with attempts in flight.
	credits        []*credit // One for each move, in catalogue order.
	queue          queue
	inflight       int
	pickOffset     int // Index at which the next selection of a searcher starts.
	medianLatency  float64
	scratch        []float64
	idle           chan struct{} // Closed when inflight reaches 0; nil when nobody waits for that.
	policy         catalogue.Policy
}

func newGroup(set *Set, g catalogue.Group, s *service) *group {
	return &group{set: set, id: g.ID(), shard: g.Shard(), service: s, medianLatency: float64(defaultLatency)}
}

// maySend reports whether the group may send requests to its searchers.
func (g *group) maySend() bool { return g.share != lease.None && !g.released && !g.closed }

func (g *group) queueBound() int {
	slots := 0
	for _, m := range g.members {
		slots += m.slots()
	}
	return max(minQueueBound, queuePerSlot*slots)
}

// start queues a request or refuses it. It calls reply exactly once, with the
// group's lock held; reply must not block.
func (g *group) start(req shard.Request, reply func(shard.Result)) *task {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.set.clock.Boot()
	t := &task{
		req: req, arrived: now, deadline: req.Deadline() - replyMargin, reply: reply, ran: refusal.NotRun,
	}
	if e := g.admit(t, now); e != nil {
		g.refuse(t, e)
		return t
	}
	g.service.budget.earn()
	t.deadlineTimer = g.set.clock.AfterFunc(t.deadline-now, func() { g.expire(t) })
	g.dispatch(now)
	return t
}

// admit queues a task, or returns the refusal of a task that cannot be queued.
func (g *group) admit(t *task, now time.Duration) *refusal.Error {
	if !g.maySend() || (g.share == lease.Acting && !t.req.Acting()) {
		return refusal.New(refusal.NotHome, "daemon has share %s of group %s", g.share, g.id)
	}
	if g.leaseExpired(now) {
		return refusal.New(refusal.NotHome, "lease of the home of group %s has expired", g.id)
	}
	if t.deadline <= now {
		return refusal.New(refusal.Deadline, "deadline had passed when the request reached the home of group %s", g.id).WithRan(refusal.NotRun)
	}
	g.lastRequest = now
	g.enablePolling()
	if e := g.unservable(t); e != nil {
		return e
	}
	if wait := g.expectedWait(now); now+wait > t.deadline {
		return refusal.New(refusal.Overloaded, "expected wait %v in group %s exceeds the remaining time", wait, g.id)
	}
	if !g.queue.push(t, g.queueBound()) {
		return g.queueFullError(t)
	}
	return nil
}

// queueFullError returns the refusal of a task that finds the queue full.
func (g *group) queueFullError(t *task) *refusal.Error {
	for _, m := range g.members {
		if m.usable() && m.warmup.warm && m.holds(t.req.Snapshot()) {
			return refusal.New(refusal.Overloaded, "queue of group %s is full", g.id)
		}
	}
	return refusal.New(refusal.Cold, "queue is full and all searchers of group %s are in a cold start", g.id)
}

// expectedWait estimates how long a new task has to wait for a free slot.
func (g *group) expectedWait(now time.Duration) time.Duration {
	var rate float64
	for _, m := range g.members {
		if m.usable() {
			rate += float64(m.limit(g.share)) / m.latency.current(now, g.medianLatency)
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(g.queue.len()) / rate)
}

func (g *group) leaseExpired(now time.Duration) bool { return g.set.leaseEnd() <= now }

// expire refuses a task whose deadline has passed.
func (g *group) expire(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	g.refuse(t, refusal.New(refusal.Deadline, "no reply from group %s within the deadline", g.id))
}

// cancel ends a task whose caller no longer waits for the result.
func (g *group) cancel(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.done {
		return
	}
	g.refuse(t, refusal.New(refusal.Cancelled, "caller cancelled the request"))
}

// availableSnapshots returns the labels that usable searchers hold, newest
// snapshot first.
func (g *group) availableSnapshots() []shard.Label {
	var labels []shard.Label
	for _, m := range g.members {
		if !m.usable() {
			continue
		}
		for _, l := range m.labels {
			if !slices.Contains(labels, l) {
				labels = append(labels, l)
			}
		}
	}
	slices.SortStableFunc(labels, func(a, b shard.Label) int {
		switch {
		case a.Snapshot() > b.Snapshot():
			return -1
		case a.Snapshot() < b.Snapshot():
			return 1
		}
		return 0
	})
	return labels
}
