package cell

import (
	"slices"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// keeper is the state of the daemon that writes the cell object. It is lost
// with the daemon; the next keeper starts from the object.
type keeper struct {
	cur       *membership // As the object holds it.
	version   uint64      // Of the object.
	renewal   uint64
	lease     time.Duration // End of the store lease; no grants after it.
	since     time.Duration // No grant before this time is known.
	heard     map[string]*hearing
	joiners   map[string]joiner // By name.
	listed    map[string]bool   // Incarnations whose VM the VM list has shown.
	ackedAt   time.Duration     // When a majority of the base had acknowledged cur; 0 before.
	settled   bool
	told      bool          // The object says that cur is settled.
	stopped   bool          // The lease is given up.
	yields    bool          // Another keeper may have taken over; false again once a write without it took effect.
	cutSince  time.Duration // When the majority went silent; 0 while it is heard.
	writing   bool
	nextRenew time.Duration
	lastEpoch time.Duration
	lastTick  time.Duration
	attempts  []attempt
}

// hearing is what the keeper knows of one incarnation.
type hearing struct {
	at      time.Duration // Last grant.
	epoch   uint64        // Newest epoch for which it has given up lost homes.
	leaving bool
}

type joiner struct {
	m  Member
	at time.Duration
}

func newKeeper(m *membership, version uint64, since, sent time.Duration) *keeper {
	return &keeper{
		cur: m, version: version, lease: sent + storeLease, since: since,
		heard: make(map[string]*hearing), joiners: make(map[string]joiner), listed: make(map[string]bool),
		nextRenew: sent + renewInterval, lastEpoch: sent, lastTick: sent,
	}
}

// grants reports whether the keeper may grant member leases.
func (k *keeper) grants(now time.Duration) bool { return !k.stopped && now < k.lease }

// grantLocked answers a heartbeat.
func (c *Cell) grantLocked(now time.Duration, in *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply {
	r := &peerpb.HeartbeatReply{Generation: c.config.doc.Generation, SeesStore: c.contact.seesStore(now)}
	m := c.view.m
	k := c.keeper
	if k != nil {
		m = k.cur
	}
	if m == nil {
		return r
	}
	r.Term, r.Epoch = m.term, m.epoch
	if in.KnownEpoch < m.epoch {
		r.Membership = m.wire()
	}
	if k == nil || !k.grants(now) {
		return r
	}
	from := memberOf(in.Member)
	if from.check() != nil || in.KnownEpoch > m.epoch || in.Epoch > in.KnownEpoch {
		meter.Count("cell.refused.heartbeat", 1)
		return r
	}
	r.Accepted = k.hear(now, from, in.Epoch)
	r.FullShare = r.Accepted && (k.settled || k.settle(now, c.gone()))
	r.Recorded = r.FullShare && k.told
	invariant.Check("cell.grant", !r.Accepted || now < k.lease, "granted at %v after the store lease ended at %v", now, k.lease)
	if in.Generation > c.config.doc.Generation {
		c.pullLocked(from.PeerAddress(), in.Generation)
	}
	return r
}

// hear records a heartbeat and reports whether its sender is a member.
func (k *keeper) hear(now time.Duration, from Member, epoch uint64) bool {
	id := from.Incarnation()
	listed, ok := k.cur.member(id)
	if ok && (listed.Name() != from.Name() || listed.PeerAddress() != from.PeerAddress()) {
		meter.Count("cell.refused.heartbeat", 1)
		return false
	}
	if !ok {
		if h := k.heard[id]; h != nil {
			h.epoch = max(h.epoch, epoch)
		} else if _, held := findMember(k.cur.previous, id); held {
			k.heard[id] = &hearing{epoch: epoch}
		}
		// A daemon that takes itself for a member sends no more than its identity;
		// it sends the rest once it knows the epoch that lacks it.
		if len(k.joiners) < maxMembers && !from.Leaving() && from.Domain() != "" {
			k.joiners[from.Name()] = joiner{from, now}
		}
		return false
	}
	h := k.heard[id]
	if h == nil {
		h = &hearing{}
		k.heard[id] = h
	}
	// A message that was sent earlier may arrive later; leaving is final.
	h.at, h.epoch, h.leaving = now, max(h.epoch, epoch), h.leaving || from.Leaving()
	return true
}

// lapsed reports whether every lease granted to the incarnation has ended.
func (k *keeper) lapsed(now time.Duration, incarnation string) bool {
	at := k.since
	if h := k.heard[incarnation]; h != nil {
		at = max(at, h.at)
	}
	return now-at >= leaseTime+margin
}

func (k *keeper) acked(incarnation string) bool {
	h := k.heard[incarnation]
	return h != nil && h.epoch >= k.cur.epoch
}

// settle reports whether no home of an earlier epoch remains: each member of
// earlier epochs has acknowledged this one, or its lease has lapsed and it
// cannot hold one from a majority either. A majority of the base that has
// acknowledged extends no lease of an earlier epoch, and those that it gave
// before have ended after standstillTime.
func (k *keeper) settle(now time.Duration, gone func(Member) bool) bool {
	dead := func(m Member) bool { return k.lapsed(now, m.Incarnation()) && (gone(m) || k.replaced(m)) }
	if k.yields {
		// Members may hold homes by epochs of another keeper.
		return false
	}
	if k.ackedAt == 0 {
		if !majority(k.cur.base, func(m Member) bool { return k.acked(m.Incarnation()) || dead(m) }) {
			return k.settleAll(dead)
		}
		k.ackedAt = now
	}
	barred := now-k.ackedAt >= standstillTime+margin
	return k.settleAll(func(m Member) bool {
		return dead(m) || barred && k.lapsed(now, m.Incarnation())
	})
}

func (k *keeper) settleAll(stopped func(Member) bool) bool {
	for _, m := range k.cur.previous {
		if !k.acked(m.Incarnation()) && !stopped(m) {
			return false
		}
	}
	k.settled = true
	k.nextRenew = 0
	return true
}

// replaced reports whether another process has the name and address of m, which
// it could not bind if m still ran.
func (k *keeper) replaced(m Member) bool {
	same := func(o Member) bool {
		return o.Incarnation() != m.Incarnation() && o.Name() == m.Name() && o.PeerAddress() == m.PeerAddress()
	}
	if j, ok := k.joiners[m.Name()]; ok && same(j.m) {
		return true
	}
	return slices.ContainsFunc(k.cur.members, func(o Member) bool {
		return same(o) && k.heard[o.Incarnation()] != nil
	})
}

// gone returns whether the VM list has dropped the VM of a member. A VM that
// the list has not shown to this keeper may be too new for it.
func (c *Cell) gone() func(Member) bool {
	seen := c.keeper.listed
	return func(m Member) bool {
		listed, known := c.cfg.vms(m.Name())
		if listed {
			seen[m.Incarnation()] = true
		}
		return known && !listed && seen[m.Incarnation()]
	}
}

// keepLocked does the keeper's periodic work.
func (c *Cell) keepLocked(now time.Duration) {
	k := c.keeper
	if k == nil {
		return
	}
	if now-k.lastTick >= time.Second {
		// Heartbeats waited while this VM was paused.
		k.since = now
	}
	k.lastTick = now
	k.listen(now)
	if k.writing || k.stopped {
		return
	}
	if k.grants(now) {
		gone := c.gone()
		for _, m := range k.cur.members {
			gone(m) // Notes which VMs the list shows.
		}
		if !k.settled {
			k.settle(now, gone)
		}
		if next := k.plan(now, c.config.digest(), c.config.doc.Generation); next != nil {
			c.writeLocked(now, next, false)
			return
		}
	}
	if now >= k.nextRenew {
		c.writeLocked(now, k.cur, false)
	}
}

// plan returns the next epoch, nil when the current one stands.
func (k *keeper) plan(now time.Duration, digest, generation uint64) *membership {
	if now-k.lastEpoch < epochInterval {
		return nil
	}
	if digest == 0 || generation < k.cur.generation {
		// This daemon lags behind the keeper that wrote the epoch.
		digest, generation = k.cur.digest, k.cur.generation
	}
	members := k.desired(now)
	same := slices.EqualFunc(members, k.cur.members, func(a, b Member) bool {
		return a.Incarnation() == b.Incarnation() && a.Leaving() == b.Leaving()
	})
	if same && digest == k.cur.digest {
		return nil
	}
	next := *k.cur
	next.epoch++
	next.members = members
	next.keeper, _ = findMember(members, k.cur.keeper.Incarnation())
	next.generation, next.digest = generation, digest
	next.previous = k.holders()
	if k.settled {
		next.base, next.baseEpoch = staying(k.cur.members), k.cur.epoch
	}
	if len(next.previous) > maxHolders {
		meter.Count("cell.epoch.deferred", 1)
		return nil
	}
	return &next
}

// holders returns all that may be homes by the current or an earlier epoch.
func (k *keeper) holders() []Member {
	if k.settled {
		return staying(k.cur.members)
	}
	held := slices.DeleteFunc(slices.Clone(k.cur.previous), func(m Member) bool {
		return k.acked(m.Incarnation())
	})
	return union(k.cur.members, held)
}

// desired returns the members of the next epoch: all but the lapsed ones, with
// replaced incarnations and those that ask to join.
func (k *keeper) desired(now time.Duration) []Member {
	var out []Member
	for _, m := range k.cur.members {
		self := m.Incarnation() == k.cur.keeper.Incarnation()
		if h := k.heard[m.Incarnation()]; h != nil && h.leaving {
			m = m.withLeaving(true)
		}
		if self || k.waits(now) || !k.lapsed(now, m.Incarnation()) && !k.superseded(now, m) {
			out = append(out, m)
		} else {
			log.Info().Str("member", m.Name()).Msg("member removed from the next epoch")
		}
	}
	names := make([]string, 0, len(k.joiners))
	for name, j := range k.joiners {
		if now-j.at >= silentTime {
			delete(k.joiners, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		taken := slices.ContainsFunc(out, func(m Member) bool { return m.Name() == name })
		if !taken && len(out) < maxMembers {
			out = append(out, k.joiners[name].m)
		}
	}
	return out
}

// superseded reports whether a new incarnation at the same address asks to
// join and m has been silent. A late message of a dead incarnation must not
// displace a live one, which is never silent for so long.
func (k *keeper) superseded(now time.Duration, m Member) bool {
	j, ok := k.joiners[m.Name()]
	if !ok || j.m.Incarnation() == m.Incarnation() || j.m.PeerAddress() != m.PeerAddress() {
		return false
	}
	return k.silent(now, m)
}

// silent reports whether m has missed two heartbeats.
func (k *keeper) silent(now time.Duration, m Member) bool {
	at := k.since
	if h := k.heard[m.Incarnation()]; h != nil {
		at = max(at, h.at)
	}
	return now-at >= silentTime
}

// listen notes whether the members that are silent could be a majority with
// another keeper, and has the store say so.
func (k *keeper) listen(now time.Duration) {
	list := staying(k.cur.members)
	quiet := 0
	for _, m := range list {
		if m.Incarnation() != k.cur.keeper.Incarnation() && k.silent(now, m) {
			quiet++
		}
	}
	switch {
	case quiet <= len(list)/2:
		k.cutSince = 0
	case k.cutSince == 0:
		k.cutSince = now
	}
	if (k.cutSince != 0) != k.yields {
		k.nextRenew = min(k.nextRenew, now)
	}
}

// waits reports whether the keeper leaves the majority time to find another keeper.
func (k *keeper) waits(now time.Duration) bool {
	return k.cutSince != 0 && now-k.cutSince < yieldTime
}
