package cell

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/store"
)

// candidate is the search for a keeper: a look at the cell object from time to
// time while no keeper grants leases.
type candidate struct {
	next    time.Duration
	running bool
	looked  bool
	version uint64        // Of the object at the last look.
	since   time.Duration // When that version was first seen.
}

func (c *Cell) electLocked(now time.Duration) {
	x := &c.candidate
	if c.keeper != nil || c.leaving || x.running {
		return
	}
	if !c.beat.unheard(now) && !(c.beat.refused && c.rankLocked() == 0) {
		x.looked = false
		x.next = min(x.next, now)
		return
	}
	if now < x.next {
		return
	}
	rank := c.rankLocked()
	x.running = true
	x.next = now + candidateInterval
	if rank >= firstCandidates && c.view.m != nil {
		x.next = now + othersInterval + time.Duration(rank)*rankDelay
	}
	c.later(func() { c.look(rank) })
}

// rankLocked is the place of this daemon among the candidates for the next
// term, of which those that did not reply lately do not count.
func (c *Cell) rankLocked() int {
	m := c.view.m
	if m == nil {
		return 0
	}
	key := c.cfg.cell + "/" + strconv.FormatUint(m.term, 10)
	var list []Member
	for _, x := range m.members {
		if !x.Leaving() && x.Incarnation() != m.keeper.Incarnation() && !c.poll.missed(x, c.self) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(key, b.Name()), score(key, a.Name())), cmp.Compare(a.Name(), b.Name()))
	})
	if i := rankOf(list, c.self.Name()); i >= 0 {
		return i
	}
	return len(list)
}

// look reads the cell object and takes over when its keeper has not renewed it
// for longer than the keeper's lease.
func (c *Cell) look(rank int) {
	obj, err := c.get(c.key())
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	x := &c.candidate
	x.running = false
	if c.keeper != nil || err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	var o *object
	var m *membership
	version := store.Absent
	if err == nil {
		version = obj.Version()
		o, m, err = decodeObject(obj.Value(), c.cfg.cell)
		if err == nil && m.contradicts(c.view.m) {
			err = eris.Errorf("term %d epoch %d cannot follow term %d epoch %d", m.term, m.epoch, c.view.m.term, c.view.m.epoch)
		}
		if err != nil {
			meter.Count("cell.refused.object", 1)
			log.Warn().Err(err).Msg("refused the cell object")
			o, m = nil, nil
		}
	}
	if !x.looked || version != x.version {
		x.looked, x.version, x.since = true, version, now
	}
	if m != nil {
		c.offerLocked(now, m)
	}
	if c.leaving || !c.mayTakeOverLocked(now, rank, o, m, version) {
		return
	}
	next := c.successorLocked(o, m)
	if next == nil {
		return
	}
	x.running = true
	yields := o != nil && o.Yields
	c.later(func() { c.takeOver(next, version, yields) })
}

func (c *Cell) mayTakeOverLocked(now time.Duration, rank int, o *object, m *membership, version uint64) bool {
	idle := now - c.candidate.since
	if m != nil && !m.newer(c.view.m) && c.view.m != nil && m.epoch < c.view.m.epoch {
		o, m = nil, nil // The object was set back; wait as for an unknown holder.
	}
	switch {
	case m == nil && version == store.Absent && c.view.m == nil:
		return true
	case m != nil && m.keeper.Incarnation() == c.self.Incarnation():
		return true
	case m != nil && o.Yields && c.poll.reaches(now, m):
		return idle >= time.Duration(rank)*rankDelay
	case m != nil && o.Released:
		return idle >= time.Duration(rank)*rankDelay
	default:
		return idle >= storeLease+margin+time.Duration(rank)*rankDelay
	}
}

// successorLocked returns the first epoch of the next term. Whether the last
// epoch was settled is known only from the object.
func (c *Cell) successorLocked(o *object, m *membership) *membership {
	v := c.view.m
	settled := m != nil && o.Settled
	if m == nil || v != nil && v.epoch > m.epoch {
		if v == nil && m == nil && o == nil && c.candidate.version != store.Absent {
			// The object is unreadable and nothing else is known of the cell;
			// a new one could contradict homes that exist.
			meter.Count("cell.takeover.blocked", 1)
			return nil
		}
		m, settled = v, false
	}
	if m == nil {
		self := []Member{c.self}
		return &membership{
			cell: c.cfg.cell, term: 1, epoch: 1, keeper: c.self, members: self,
			// With an empty base nobody would have to acknowledge the next
			// epoch, while this daemon alone is a majority of this one.
			base:       self,
			generation: c.config.doc.Generation, digest: c.config.digest(),
		}
	}
	next := *m
	next.term, next.epoch, next.keeper = m.term+1, m.epoch+1, c.self
	next.previous = union(m.members, m.previous)
	if settled {
		next.previous, next.baseEpoch = staying(m.members), m.epoch
		next.base = next.previous
	}
	next.members = slices.DeleteFunc(slices.Clone(m.members), func(x Member) bool {
		return x.Name() == c.self.Name()
	})
	next.members = append(next.members, c.self)
	if len(next.members) > maxMembers || len(next.previous) > maxHolders {
		return nil
	}
	return &next
}

// takeOver writes the first epoch of the next term.
func (c *Cell) takeOver(next *membership, expected uint64, yields bool) {
	sent := c.cfg.clk.Boot()
	o := newObject(next)
	o.Token = c.cfg.token()
	value, err := o.encode()
	if err != nil {
		log.Error().Err(err).Msg("cannot encode the membership")
		return
	}
	obj, err := c.put(value, expected)
	if err != nil {
		if obj, err = c.get(c.key()); err == nil {
			var got *object
			if got, _, err = decodeObject(obj.Value(), c.cfg.cell); err == nil && got.Token != o.Token {
				err = store.ErrConflict
			}
		}
	}
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	c.candidate = candidate{next: now + candidateInterval}
	if err != nil || !next.newer(c.view.m) {
		return
	}
	meter.Count("cell.takeover", 1)
	log.Info().Str("cell", c.cfg.cell).Uint64("term", next.term).Msg("became keeper")
	since := now
	if yields {
		// The keeper before may grant leases until its last write expires.
		since += storeLease
	}
	c.keeper = newKeeper(next, obj.Version(), since, sent)
	c.adoptLocked(now, next)
	c.announceLocked(next)
	c.beat.next = 0
}
