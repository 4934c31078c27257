package cell

import (
	"errors"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/store"
)

// attempt is a write of the cell object. Its token tells whether an object that
// is read back comes from it.
type attempt struct {
	token    string
	sent     time.Duration
	m        *membership
	settled  bool
	released bool
	yields   bool
}

func (c *Cell) key() string { return "cell/" + c.cfg.cell }

// writeLocked writes the cell object with m, which renews the lease and
// announces a new epoch if m is one.
func (c *Cell) writeLocked(now time.Duration, m *membership, released bool) {
	k := c.keeper
	k.writing = true
	k.nextRenew = now + renewInterval
	k.renewal++
	a := attempt{token: c.cfg.token(), sent: now, m: m, settled: k.settled && m == k.cur, released: released, yields: k.cutSince != 0}
	k.yields = k.yields || a.yields
	k.attempts = append(k.attempts, a)
	if len(k.attempts) > maxAttempts {
		k.attempts = k.attempts[1:]
	}
	o := newObject(m)
	o.Token, o.Renewal, o.Settled, o.Released, o.Yields = a.token, k.renewal, a.settled, released, a.yields
	expected := k.version
	c.later(func() {
		defer func() {
			c.mu.Lock()
			k.writing = false
			c.unlock()
		}()
		value, err := o.encode()
		if err != nil {
			log.Error().Err(err).Msg("cannot encode the membership")
			return
		}
		obj, err := c.put(value, expected)
		if err != nil {
			c.readBack(k)
			return
		}
		c.mu.Lock()
		c.wroteLocked(k, a, obj.Version())
		c.unlock()
	})
}

// put writes the cell object and records whether the store answered.
func (c *Cell) put(value []byte, expected uint64) (store.Object, error) {
	ctx, cancel := c.within(storeTime)
	defer cancel()
	meter.Count("cell.store.put", 1)
	obj, err := c.cfg.st.Put(ctx, c.key(), value, expected)
	c.answered(err)
	return obj, err
}

// get reads an object and records whether the store answered.
func (c *Cell) get(key string) (store.Object, error) {
	ctx, cancel := c.within(storeTime)
	defer cancel()
	meter.Count("cell.store.get", 1)
	obj, err := c.cfg.st.Get(ctx, key)
	c.answered(err)
	return obj, err
}

func (c *Cell) answered(err error) {
	ok := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound)
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.stored(now, ok)
	c.unlock()
}

// readBack finds out whose write the object comes from, after a conflict or a
// lost reply. An own write counts with the time at which it was sent. While
// the object is as it was before, the write may still take effect, so nothing
// is concluded and the next write uses the same expected version.
func (c *Cell) readBack(k *keeper) {
	obj, err := c.get(c.key())
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	if c.keeper != k || err != nil && !errors.Is(err, store.ErrNotFound) || err == nil && obj.Version() == k.version {
		return
	}
	var m *membership
	if err == nil {
		var o *object
		if o, m, err = decodeObject(obj.Value(), c.cfg.cell); err == nil {
			for _, a := range k.attempts {
				if a.token == o.Token {
					meter.Count("cell.store.resolved", 1)
					c.wroteLocked(k, a, obj.Version())
					return
				}
			}
		} else {
			meter.Count("cell.refused.object", 1)
		}
	}
	c.deposeLocked(now, "another writer changed the cell object")
	if m != nil {
		c.offerLocked(now, m)
	}
}

// wroteLocked applies a write that took effect.
func (c *Cell) wroteLocked(k *keeper, a attempt, version uint64) {
	if c.keeper != k || version <= k.version {
		return
	}
	now := c.cfg.clk.Boot()
	if !k.grants(now) {
		// Nothing was granted since the lease ended, which says nothing about
		// the members.
		k.since = now
	}
	k.version, k.lease, k.told = version, max(k.lease, a.sent+storeLease), a.settled
	k.attempts, k.yields = nil, a.yields
	if a.released {
		c.deposeLocked(now, "the keeper is leaving")
		return
	}
	if a.m != k.cur {
		k.cur, k.settled, k.told, k.ackedAt, k.lastEpoch = a.m, false, false, 0, now
		k.forget()
		// After a lost reply, others may have read the epoch from the store and
		// passed it on before.
		if a.m.newer(c.view.m) {
			c.adoptLocked(now, a.m)
		}
		c.announceLocked(a.m)
	}
}

// forget drops what is known of daemons that no longer matter.
func (k *keeper) forget() {
	for id := range k.heard {
		_, member := k.cur.member(id)
		if _, held := findMember(k.cur.previous, id); !member && !held {
			delete(k.heard, id)
			delete(k.listed, id)
		}
	}
	for name, j := range k.joiners {
		if _, ok := k.cur.member(j.m.Incarnation()); ok {
			delete(k.joiners, name)
		}
	}
}

func (c *Cell) deposeLocked(now time.Duration, why string) {
	log.Info().Str("cell", c.cfg.cell).Msg("no longer keeper: " + why)
	c.keeper = nil
	c.candidate = candidate{next: now + candidateInterval}
	c.changed = true
}
