package cell

import (
	"errors"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/store"
)

// writeAttempt is a write of the cell object whose outcome is unknown. An object that
// is read back comes from this write if it has its token.
type writeAttempt struct {
	token      string
	sent       time.Duration
	membership *membership
	settled    bool
	released   bool
	yields     bool
}

func (c *Cell) objectKey() string { return "cell/" + c.cfg.cell }

// writeObjectLocked starts a write of the cell object with m. A successful write
// renews the store lease and, if m is a new epoch, announces it.
func (c *Cell) writeObjectLocked(now time.Duration, m *membership, released bool) {
	l := c.leader
	l.writing = true
	l.nextRenewal = now + renewInterval
	l.renewal++
	a := writeAttempt{token: c.cfg.newToken(), sent: now, membership: m, settled: l.settled && m == l.current, released: released, yields: l.majoritySilentSince != 0}
	l.yields = l.yields || a.yields
	l.attempts = append(l.attempts, a)
	if len(l.attempts) > maxAttempts {
		l.attempts = l.attempts[1:]
	}
	o := newObject(m)
	o.Token, o.Renewal, o.Settled, o.Released, o.Yields = a.token, l.renewal, a.settled, released, a.yields
	expected := l.version
	c.queueTask(func() {
		defer func() {
			c.mu.Lock()
			l.writing = false
			c.unlock()
		}()
		value, err := o.encode()
		if err != nil {
			log.Error().Err(err).Msg("cannot encode the cell object; skipping this write")
			return
		}
		obj, err := c.put(value, expected)
		if err != nil {
			c.readBack(l)
			return
		}
		c.mu.Lock()
		c.applyWriteLocked(l, a, obj.Version())
		c.unlock()
	})
}

// put writes the cell object and records whether the store answered.
func (c *Cell) put(value []byte, expected uint64) (store.Object, error) {
	ctx, cancel := c.withTimeout(storeTimeout)
	defer cancel()
	meter.Count("cell.store.put", 1)
	obj, err := c.cfg.store.Put(ctx, c.objectKey(), value, expected)
	c.recordStoreResult(err)
	return obj, err
}

// get reads an object and records whether the store answered.
func (c *Cell) get(key string) (store.Object, error) {
	ctx, cancel := c.withTimeout(storeTimeout)
	defer cancel()
	meter.Count("cell.store.get", 1)
	obj, err := c.cfg.store.Get(ctx, key)
	c.recordStoreResult(err)
	return obj, err
}

// recordStoreResult records whether the store answered. Conflicts and missing objects
// are answers.
func (c *Cell) recordStoreResult(err error) {
	ok := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound)
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.recordStoreContactLocked(now, ok)
	c.unlock()
}

// readBack determines after a conflict or a lost reply whose write the object comes
// from. A write of this leader is applied with the time at which it was sent. While
// the object is unchanged, the write may still take effect, so readBack concludes
// nothing and the next write uses the same expected version.
func (c *Cell) readBack(l *leaderState) {
	obj, err := c.get(c.objectKey())
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	if c.leader != l || err != nil && !errors.Is(err, store.ErrNotFound) || err == nil && obj.Version() == l.version {
		return
	}
	var m *membership
	if err == nil {
		var o *cellObject
		if o, m, err = decodeObject(obj.Value(), c.cfg.cell); err == nil {
			for _, a := range l.attempts {
				if a.token == o.Token {
					meter.Count("cell.store.resolved", 1)
					c.applyWriteLocked(l, a, obj.Version())
					return
				}
			}
		} else {
			meter.Count("cell.refused.object", 1)
		}
	}
	c.stepDownLocked(now, "another writer changed the cell object")
	if m != nil {
		c.tryAdoptLocked(now, m)
	}
}

// applyWriteLocked updates the leader's state after a write that took effect.
func (c *Cell) applyWriteLocked(l *leaderState, a writeAttempt, version uint64) {
	if c.leader != l || version <= l.version {
		return
	}
	now := c.cfg.clk.Boot()
	if !l.mayGrant(now) {
		// This leader granted no leases after its store lease ended, so a missing
		// grant does not show that a member is silent.
		l.grantsKnownSince = now
	}
	l.version, l.lease, l.settledStored = version, max(l.lease, a.sent+storeLeaseDuration), a.settled
	l.attempts, l.yields = nil, a.yields
	if a.released {
		c.stepDownLocked(now, "this daemon is leaving the cell")
		return
	}
	if a.membership != l.current {
		l.current, l.settled, l.settledStored, l.baseAckedAt, l.lastEpochAt = a.membership, false, false, 0, now
		l.pruneRecords()
		// After a lost reply, this daemon may already have the epoch from a peer
		// that read it from the store.
		if a.membership.isNewerThan(c.view.membership) {
			c.adoptLocked(now, a.membership)
		}
		c.announceMembershipLocked(a.membership)
	}
}

// pruneRecords deletes the records of daemons that are neither members nor possible
// homes, and the joiners that have become members.
func (l *leaderState) pruneRecords() {
	for id := range l.heartbeats {
		_, member := l.current.member(id)
		if _, previous := findMember(l.current.previous, id); !member && !previous {
			delete(l.heartbeats, id)
			delete(l.seenInVMList, id)
		}
	}
	for name, j := range l.joiners {
		if _, ok := l.current.member(j.member.Incarnation()); ok {
			delete(l.joiners, name)
		}
	}
}

// stepDownLocked ends this daemon's leadership.
func (c *Cell) stepDownLocked(now time.Duration, why string) {
	log.Info().Str("cell", c.cfg.cell).Msg("no longer keeper: " + why)
	c.leader = nil
	c.election = election{next: now + candidateInterval}
	c.changed = true
}
