package targets

import (
	"cmp"
	"maps"
	"slices"
)

// maxServedAccounts bounds the accounts that a turn remembers. When more have been
// served in one turn, the turn ends, so that the state of a queue stays below
// about 20 KB for each priority, with any number of accounts.
const maxServedAccounts = 256

// fairQueue orders the waiting calls of a group: by priority, then fairly among
// client accounts, then by arrival. It is start-time fair queueing in which each
// call counts the same: in each turn, one call of each account that waits is
// sent. An account that was idle joins the current turn, so that it can neither
// save turns nor is delayed by the queue of another one. Without accounts the
// order is that of arrival. The group's lock guards it.
type fairQueue struct {
	accounts  bool // A call of an account has been queued since the queue was empty.
	levels    map[int]*turnLevel
	positions map[accountAt]uint64 // Used by order only, and kept to avoid allocations.
}

// turnLevel is the state of one priority.
type turnLevel struct {
	current uint64            // The turn of the last call that was sent.
	next    map[string]uint64 // First turn of an account's next call, if it is after current.
}

// accountAt names the calls of an account with a priority.
type accountAt struct {
	priority int
	account  string
}

func (c *Call) accountAt() accountAt { return accountAt{c.priority, c.req.account} }

// insert adds a call to the waiting calls and returns them.
func (q *fairQueue) insert(waiting []*Call, c *Call) []*Call {
	if len(waiting) == 0 {
		q.reset()
	}
	q.accounts = q.accounts || c.req.account != ""
	i := len(waiting)
	for i > 0 && waiting[i-1].priority > c.priority {
		i--
	}
	return slices.Insert(waiting, i, c)
}

// maxLevels bounds the priorities that are remembered while a queue is empty.
// Configurations use a few.
const maxLevels = 16

// reset forgets the turns. In an empty queue, no account has to wait for another.
func (q *fairQueue) reset() {
	q.accounts = false
	if len(q.levels) > maxLevels {
		clear(q.levels)
	}
	for _, level := range q.levels {
		level.current = 0
		clear(level.next)
	}
}

// order assigns the waiting calls their turns and sorts them. It runs before each
// dispatch, because calls may have left the queue without being sent.
func (q *fairQueue) order(waiting []*Call) {
	if !q.accounts {
		return
	}
	if q.positions == nil {
		q.positions = make(map[accountAt]uint64)
	}
	clear(q.positions)
	for _, c := range waiting {
		key := c.accountAt()
		turn, ok := q.positions[key]
		if !ok {
			turn = q.firstTurn(key)
		}
		c.turn = turn
		q.positions[key] = turn + 1
	}
	slices.SortStableFunc(waiting, func(a, b *Call) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.turn, b.turn))
	})
}

// firstTurn returns the first turn that a call of the account may get.
func (q *fairQueue) firstTurn(key accountAt) uint64 {
	level := q.levels[key.priority]
	if level == nil {
		return 0
	}
	return max(level.current, level.next[key.account])
}

// sent records that a waiting call is sent to a target.
func (q *fairQueue) sent(c *Call) {
	if !q.accounts {
		return
	}
	level := q.levels[c.priority]
	if level == nil {
		level = &turnLevel{next: make(map[string]uint64)}
		if q.levels == nil {
			q.levels = make(map[int]*turnLevel)
		}
		q.levels[c.priority] = level
	}
	level.current = max(level.current, c.turn)
	level.next[c.req.account] = c.turn + 1
	if len(level.next) <= maxServedAccounts {
		return
	}
	if level.prune(); len(level.next) > maxServedAccounts {
		level.current++
		level.prune()
	}
}

// prune removes the accounts whose next call joins the current turn anyway.
func (l *turnLevel) prune() {
	maps.DeleteFunc(l.next, func(_ string, turn uint64) bool { return turn <= l.current })
}

// ahead returns how many waiting calls would be sent before a new one.
func (q *fairQueue) ahead(waiting []*Call, key accountAt) int {
	if !q.accounts {
		return len(waiting)
	}
	turn := q.firstTurn(key)
	for _, c := range waiting {
		if c.accountAt() == key {
			turn = max(turn, c.turn+1)
		}
	}
	n := 0
	for _, c := range waiting {
		if c.priority < key.priority || c.priority == key.priority && c.turn <= turn {
			n++
		}
	}
	return n
}

// displaced returns the waiting call that leaves a full queue so that c can
// enter, or nil if c has to stay outside: the last call of the account with the
// most waiting calls, if that account keeps at least as many as that of c then
// has. A more urgent call is never displaced.
func (q *fairQueue) displaced(waiting []*Call, c *Call) *Call {
	if !q.accounts && c.req.account == "" {
		return nil
	}
	counts := make(map[string]int)
	for _, w := range waiting {
		counts[w.req.account]++
	}
	var victim *Call
	most := counts[c.req.account] + 1
	for _, w := range slices.Backward(waiting) {
		if w.priority < c.priority {
			break // The others are more urgent too.
		}
		if n := counts[w.req.account]; n > most {
			victim, most = w, n
		}
	}
	return victim
}

// EstimateOption changes what an estimate takes into account. It returns the
// number of waiting calls that would be sent before the request.
type EstimateOption func(*Group) int

// EstimateFor makes an estimate count only the waiting calls that would be sent
// before a call of the request with the given priority. By default all count.
func EstimateFor(r *Request, priority int) EstimateOption {
	return func(g *Group) int {
		return g.fair.ahead(g.waiting, accountAt{priority, r.account})
	}
}
