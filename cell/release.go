package cell

import (
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// maxEstimates bounds what is kept of homes that this daemon gave up.
const maxEstimates = 100_000

// release is the hand-over of homes: what this daemon gave up, and which
// previous homes it asks to confirm that they stopped.
type release struct {
	estimates map[string]*peerpb.ReleasedGroup // What homes given up here had learned.
	epoch     uint64
	asks      []*ask
}

// ask is one previous home with the groups that this daemon took over from it.
type ask struct {
	from    Member
	groups  []string
	next    time.Duration
	running bool
	done    bool
}

// plan notes which homes had the groups of m before. Only the member that was
// home at the one epoch since the last settled one can confirm alone that no
// earlier home remains.
func (r *release) plan(now time.Duration, old, m *membership, t *table) {
	r.epoch, r.asks = m.epoch, nil
	if old == nil || t == nil || old.epoch+1 != m.epoch || !m.direct() {
		return
	}
	byHome := make(map[string]*ask)
	for _, g := range t.in.groups {
		o := t.orders[g.id]
		if len(o) == 0 {
			continue
		}
		a := byHome[o[0].Name()]
		if a == nil {
			a = &ask{from: o[0], next: now}
			byHome[o[0].Name()] = a
			r.asks = append(r.asks, a)
		}
		a.groups = append(a.groups, g.id)
	}
}

// stopLocked stops the homes of groups. The epoch counts as released when the
// homes of all earlier epochs have stopped too.
func (c *Cell) stopLocked(groups []string) {
	if len(groups) == 0 {
		c.releasedLocked()
		return
	}
	c.view.stopping++
	c.closeLocked(groups)
	c.later(func() {
		ctx, cancel := c.within(leaseTime + margin)
		defer cancel()
		learned := c.cfg.release(ctx, groups)
		c.mu.Lock()
		c.view.stopping--
		c.closedLocked(groups)
		for _, g := range learned {
			if len(c.release.estimates) >= maxEstimates {
				clear(c.release.estimates)
			}
			if g != nil {
				c.release.estimates[g.Group] = g
			}
		}
		c.releasedLocked()
		c.unlock()
	})
}

func (c *Cell) releasedLocked() {
	if c.view.stopping == 0 && c.view.m != nil && c.view.released != c.view.m.epoch {
		c.view.released = c.view.m.epoch
		c.beat.next = 0
	}
}

// askReleaseLocked asks previous homes until the epoch is settled.
func (c *Cell) askReleaseLocked(now time.Duration) {
	r, v := &c.release, &c.view
	if v.m == nil || v.table == nil || v.settled || r.epoch != v.m.epoch || now >= v.live() {
		return
	}
	for _, a := range r.asks {
		if a.done || a.running || now < a.next || a.from.Name() == c.self.Name() {
			continue
		}
		groups := slices.DeleteFunc(slices.Clone(a.groups), func(id string) bool {
			o := v.table.orders[id]
			return len(o) == 0 || o[0].Name() != c.self.Name() || v.granted[id]
		})
		if len(groups) == 0 {
			a.done = true
			continue
		}
		a.running = true
		c.askLocked(a, v.m.epoch, groups)
	}
}

func (c *Cell) askLocked(a *ask, epoch uint64, groups []string) {
	c.later(func() {
		ctx, cancel := c.within(peerTime)
		defer cancel()
		reply, err := c.cfg.calls.Release(ctx, a.from.PeerAddress(), &peerpb.ReleaseRequest{
			Member: a.from.Name(), Incarnation: a.from.Incarnation(), Epoch: epoch, Groups: groups,
		})
		now := c.cfg.clk.Boot()
		c.mu.Lock()
		a.running, a.next = false, now+releaseRetry
		var adopted []*peerpb.ReleasedGroup
		if err == nil {
			c.contact.peer = now
			adopted = c.confirmLocked(epoch, groups, reply.GetGroups())
		}
		c.unlock()
		if len(adopted) > 0 {
			c.cfg.adopt(adopted)
		}
	})
}

// confirmLocked takes the groups that a previous home confirmed, if the epoch
// for which they were asked is still the current one.
func (c *Cell) confirmLocked(epoch uint64, asked []string, confirmed []*peerpb.ReleasedGroup) []*peerpb.ReleasedGroup {
	if c.view.m.epoch != epoch {
		return nil
	}
	var out []*peerpb.ReleasedGroup
	for _, g := range confirmed {
		if slices.Contains(asked, g.GetGroup()) {
			c.view.granted[g.GetGroup()] = true
			out = append(out, g)
		}
	}
	if len(out) > 0 {
		c.changed = true
		meter.Count("cell.release.confirmed", int64(len(out)))
	}
	return out
}

// HandleRelease serves the rpc Release: it confirms the groups whose homes have
// stopped here. A group that is missing from the reply must be asked again.
func (c *Cell) HandleRelease(_ context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	c.mu.Lock()
	defer c.unlock()
	c.contact.peer = c.cfg.clk.Boot()
	v := &c.view
	if in.Incarnation != c.self.Incarnation() {
		meter.Count("cell.refused.release", 1)
		return nil, twirp.NewError(twirp.FailedPrecondition, "daemon has another incarnation")
	}
	out := &peerpb.ReleaseReply{}
	if v.m == nil || v.table == nil || v.m.epoch < in.Epoch || v.released < in.Epoch {
		return out, nil
	}
	for _, id := range in.Groups {
		// A home here at this or a later epoch has not stopped.
		if o := v.table.orders[id]; len(o) > 0 && o[0].Name() == c.self.Name() {
			continue
		}
		g := c.release.estimates[id]
		if g == nil {
			g = &peerpb.ReleasedGroup{Group: id}
		}
		out.Groups = append(out.Groups, g)
	}
	return out, nil
}
