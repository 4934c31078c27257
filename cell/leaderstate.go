package cell

import (
	"slices"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// leaderState is the state of the leader, the daemon that writes the cell object. It
// is kept in memory only; the next leader starts from the object.
type leaderState struct {
	current             *membership                 // As last written to the object.
	version             uint64                      // Store version of the object.
	renewal             uint64                      // Number of writes.
	lease               time.Duration               // End of the store lease; the leader grants no leases after it.
	grantsKnownSince    time.Duration               // Leases may have been granted until this time without a record in heartbeats.
	heartbeats          map[string]*heartbeatRecord // By incarnation.
	joiners             map[string]joiner           // Daemons that ask to join, by name.
	seenInVMList        map[string]bool             // Incarnations whose VM has been in the VM list.
	baseAckedAt         time.Duration               // When a majority of the base had acknowledged current; 0 before.
	settled             bool
	settledStored       bool          // The object records current as settled.
	leaseReleased       bool          // The write that releases the store lease has started.
	yields              bool          // Another daemon may have taken over; cleared when a write without it takes effect.
	majoritySilentSince time.Duration // When a majority of the members went silent; 0 while it is not.
	writing             bool
	nextRenewal         time.Duration
	lastEpochAt         time.Duration
	lastTick            time.Duration
	attempts            []writeAttempt
}

// heartbeatRecord is the leader's record of the heartbeats of one incarnation.
type heartbeatRecord struct {
	lastGrant     time.Duration // When the last lease was granted.
	releasedEpoch uint64        // Latest epoch for which its lost homes have stopped.
	leaving       bool
}

// joiner is a daemon that asks to join the cell.
type joiner struct {
	member        Member
	lastHeartbeat time.Duration
}

func newLeaderState(m *membership, version uint64, since, sent time.Duration) *leaderState {
	return &leaderState{
		current: m, version: version, lease: sent + storeLeaseDuration, grantsKnownSince: since,
		heartbeats: make(map[string]*heartbeatRecord), joiners: make(map[string]joiner), seenInVMList: make(map[string]bool),
		nextRenewal: sent + renewInterval, lastEpochAt: sent, lastTick: sent,
	}
}

// mayGrant reports whether the leader may grant leases to members.
func (l *leaderState) mayGrant(now time.Duration) bool { return !l.leaseReleased && now < l.lease }

// handleHeartbeatLocked returns the reply to a heartbeat. Accepting a heartbeat grants
// the sender a lease, so only a leader with a valid store lease accepts any.
func (c *Cell) handleHeartbeatLocked(now time.Duration, in *peerpb.HeartbeatRequest) *peerpb.HeartbeatReply {
	r := &peerpb.HeartbeatReply{Generation: c.configuration.doc.Generation, SeesStore: c.contact.seesStore(now)}
	m := c.view.membership
	l := c.leader
	if l != nil {
		m = l.current
	}
	if m == nil {
		return r
	}
	r.Term, r.Epoch = m.term, m.epoch
	if in.KnownEpoch < m.epoch {
		r.Membership = m.wire()
	}
	if l == nil || !l.mayGrant(now) {
		return r
	}
	from := memberOf(in.Member)
	if from.check() != nil || in.KnownEpoch > m.epoch || in.Epoch > in.KnownEpoch {
		meter.Count("cell.refused.heartbeat", 1)
		return r
	}
	r.Accepted = l.recordHeartbeat(now, from, in.Epoch)
	r.FullShare = r.Accepted && (l.settled || l.trySettle(now, c.vmRemoved()))
	r.Recorded = r.FullShare && l.settledStored
	invariant.Check("cell.grant", !r.Accepted || now < l.lease, "granted at %v after the store lease ended at %v", now, l.lease)
	if in.Generation > c.configuration.doc.Generation {
		c.pullConfigurationLocked(from.PeerAddress(), in.Generation)
	}
	return r
}

// recordHeartbeat records a heartbeat and reports whether its sender is a member. A
// sender that is not may become a joiner.
func (l *leaderState) recordHeartbeat(now time.Duration, from Member, epoch uint64) bool {
	id := from.Incarnation()
	listed, ok := l.current.member(id)
	if ok && (listed.Name() != from.Name() || listed.PeerAddress() != from.PeerAddress()) {
		meter.Count("cell.refused.heartbeat", 1)
		return false
	}
	if !ok {
		if h := l.heartbeats[id]; h != nil {
			h.releasedEpoch = max(h.releasedEpoch, epoch)
		} else if _, previous := findMember(l.current.previous, id); previous {
			l.heartbeats[id] = &heartbeatRecord{releasedEpoch: epoch}
		}
		// A daemon that considers itself a member sends only its identity. It sends
		// the other fields once it knows the epoch that does not list it.
		if len(l.joiners) < maxMembers && !from.Leaving() && from.Domain() != "" {
			l.joiners[from.Name()] = joiner{from, now}
		}
		return false
	}
	h := l.heartbeats[id]
	if h == nil {
		h = &heartbeatRecord{}
		l.heartbeats[id] = h
	}
	// Messages may arrive out of order, so a leaving member stays leaving.
	h.lastGrant, h.releasedEpoch, h.leaving = now, max(h.releasedEpoch, epoch), h.leaving || from.Leaving()
	return true
}

// leaseExpired reports whether all leases granted to the incarnation have expired.
func (l *leaderState) leaseExpired(now time.Duration, incarnation string) bool {
	at := l.grantsKnownSince
	if h := l.heartbeats[incarnation]; h != nil {
		at = max(at, h.lastGrant)
	}
	return now-at >= leaseDuration+clockMargin
}

// acknowledged reports whether the lost homes of the incarnation have stopped for the
// current epoch.
func (l *leaderState) acknowledged(incarnation string) bool {
	h := l.heartbeats[incarnation]
	return h != nil && h.releasedEpoch >= l.current.epoch
}

// trySettle settles the current epoch if no home of an earlier epoch remains, and
// reports whether it did. Each member of earlier epochs must have acknowledged this
// epoch, or its lease must have expired and it must not have a lease from a majority.
// Once a majority of the base has acknowledged this epoch, no majority extends a lease
// of an earlier one; leases extended before then expire within standstillLease.
func (l *leaderState) trySettle(now time.Duration, vmRemoved func(Member) bool) bool {
	cannotHoldHome := func(m Member) bool { return l.leaseExpired(now, m.Incarnation()) && (vmRemoved(m) || l.isReplaced(m)) }
	if l.yields {
		// Members may be homes in epochs of another leader.
		return false
	}
	if l.baseAckedAt == 0 {
		if !isMajority(l.current.base, func(m Member) bool { return l.acknowledged(m.Incarnation()) || cannotHoldHome(m) }) {
			return l.settleIfStopped(cannotHoldHome)
		}
		l.baseAckedAt = now
	}
	majorityLeasesEnded := now-l.baseAckedAt >= standstillLease+clockMargin
	return l.settleIfStopped(func(m Member) bool {
		return cannotHoldHome(m) || majorityLeasesEnded && l.leaseExpired(now, m.Incarnation())
	})
}

// settleIfStopped settles the current epoch if each previous member has acknowledged
// it or satisfies stopped. The next renewal, which records it, becomes due at once.
func (l *leaderState) settleIfStopped(stopped func(Member) bool) bool {
	for _, m := range l.current.previous {
		if !l.acknowledged(m.Incarnation()) && !stopped(m) {
			return false
		}
	}
	l.settled = true
	l.nextRenewal = 0
	return true
}

// isReplaced reports whether another process has the name and peer address of m. It
// could not have bound the address if m were still running.
func (l *leaderState) isReplaced(m Member) bool {
	isReplacement := func(o Member) bool {
		return o.Incarnation() != m.Incarnation() && o.Name() == m.Name() && o.PeerAddress() == m.PeerAddress()
	}
	if j, ok := l.joiners[m.Name()]; ok && isReplacement(j.member) {
		return true
	}
	return slices.ContainsFunc(l.current.members, func(o Member) bool {
		return isReplacement(o) && l.heartbeats[o.Incarnation()] != nil
	})
}

// vmRemoved returns a function that reports whether the VM of a member is gone from
// the VM list. A VM that this leader has never seen in the list does not count as
// removed, because it may be too new to be listed.
func (c *Cell) vmRemoved() func(Member) bool {
	seen := c.leader.seenInVMList
	return func(m Member) bool {
		listed, known := c.cfg.lookupVM(m.Name())
		if listed {
			seen[m.Incarnation()] = true
		}
		return known && !listed && seen[m.Incarnation()]
	}
}

// leadLocked runs the leader's periodic work: it settles the epoch, starts the next
// one and renews the store lease.
func (c *Cell) leadLocked(now time.Duration) {
	l := c.leader
	if l == nil {
		return
	}
	if now-l.lastTick >= time.Second {
		// This VM was paused, so heartbeats may be waiting to be read.
		l.grantsKnownSince = now
	}
	l.lastTick = now
	l.trackMajority(now)
	if l.writing || l.leaseReleased {
		return
	}
	if l.mayGrant(now) {
		vmRemoved := c.vmRemoved()
		for _, m := range l.current.members {
			vmRemoved(m) // Records which VMs are in the list.
		}
		if !l.settled {
			l.trySettle(now, vmRemoved)
		}
		if next := l.nextMembership(now, c.configuration.digest(), c.configuration.doc.Generation); next != nil {
			c.writeObjectLocked(now, next, false)
			return
		}
	}
	if now >= l.nextRenewal {
		c.writeObjectLocked(now, l.current, false)
	}
}

// nextMembership returns the next epoch, or nil if the current one stays in force.
func (l *leaderState) nextMembership(now time.Duration, digest, generation uint64) *membership {
	if now-l.lastEpochAt < epochInterval {
		return nil
	}
	if digest == 0 || generation < l.current.generation {
		// This daemon has an older catalogue than the leader that wrote the epoch.
		digest, generation = l.current.digest, l.current.generation
	}
	members := l.desiredMembers(now)
	same := slices.EqualFunc(members, l.current.members, func(a, b Member) bool {
		return a.Incarnation() == b.Incarnation() && a.Leaving() == b.Leaving()
	})
	if same && digest == l.current.digest {
		return nil
	}
	next := *l.current
	next.epoch++
	next.members = members
	next.leader, _ = findMember(members, l.current.leader.Incarnation())
	next.generation, next.digest = generation, digest
	next.previous = l.possibleHomes()
	if l.settled {
		next.base, next.baseEpoch = stayingMembers(l.current.members), l.current.epoch
	}
	if len(next.previous) > maxPrevious {
		meter.Count("cell.epoch.deferred", 1)
		return nil
	}
	return &next
}

// possibleHomes returns the members that may be homes in the current or an earlier
// epoch.
func (l *leaderState) possibleHomes() []Member {
	if l.settled {
		return stayingMembers(l.current.members)
	}
	remaining := slices.DeleteFunc(slices.Clone(l.current.previous), func(m Member) bool {
		return l.acknowledged(m.Incarnation())
	})
	return unionMembers(l.current.members, remaining)
}

// desiredMembers returns the members of the next epoch: the current ones, without
// those whose lease has expired or that a new incarnation supersedes, and the
// daemons that ask to join. While the leader waits for the majority it removes none.
func (l *leaderState) desiredMembers(now time.Duration) []Member {
	var out []Member
	for _, m := range l.current.members {
		self := m.Incarnation() == l.current.leader.Incarnation()
		if h := l.heartbeats[m.Incarnation()]; h != nil && h.leaving {
			m = m.withLeaving(true)
		}
		if self || l.waitsForMajority(now) || !l.leaseExpired(now, m.Incarnation()) && !l.isSuperseded(now, m) {
			out = append(out, m)
		} else {
			log.Info().Str("member", m.Name()).Msg("member removed from the next epoch")
		}
	}
	names := make([]string, 0, len(l.joiners))
	for name, j := range l.joiners {
		if now-j.lastHeartbeat >= silenceTimeout {
			delete(l.joiners, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		taken := slices.ContainsFunc(out, func(m Member) bool { return m.Name() == name })
		if !taken && len(out) < maxMembers {
			out = append(out, l.joiners[name].member)
		}
	}
	return out
}

// isSuperseded reports whether m is silent and a new incarnation at its address asks
// to join. The silence is required so that a late message from a dead incarnation
// does not displace a live one, which is never silent for silenceTimeout.
func (l *leaderState) isSuperseded(now time.Duration, m Member) bool {
	j, ok := l.joiners[m.Name()]
	if !ok || j.member.Incarnation() == m.Incarnation() || j.member.PeerAddress() != m.PeerAddress() {
		return false
	}
	return l.isSilent(now, m)
}

// isSilent reports whether m has sent no heartbeat for silenceTimeout, which is more
// than two heartbeat intervals.
func (l *leaderState) isSilent(now time.Duration, m Member) bool {
	at := l.grantsKnownSince
	if h := l.heartbeats[m.Incarnation()]; h != nil {
		at = max(at, h.lastGrant)
	}
	return now-at >= silenceTimeout
}

// trackMajority records since when the silent members have been a majority, which
// could elect another leader. The next renewal becomes due at once if it must change
// whether the object says that the leader yields.
func (l *leaderState) trackMajority(now time.Duration) {
	list := stayingMembers(l.current.members)
	silent := 0
	for _, m := range list {
		if m.Incarnation() != l.current.leader.Incarnation() && l.isSilent(now, m) {
			silent++
		}
	}
	switch {
	case silent <= len(list)/2:
		l.majoritySilentSince = 0
	case l.majoritySilentSince == 0:
		l.majoritySilentSince = now
	}
	if (l.majoritySilentSince != 0) != l.yields {
		l.nextRenewal = min(l.nextRenewal, now)
	}
}

// waitsForMajority reports whether the leader still gives a silent majority time to
// elect another leader.
func (l *leaderState) waitsForMajority(now time.Duration) bool {
	return l.majoritySilentSince != 0 && now-l.majoritySilentSince < yieldTimeout
}
