package cell

import (
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// maxEstimates limits the estimates that are kept of homes that this daemon gave up.
const maxEstimates = 100_000

// handoff is the state of the handoff of homes: the estimates of the homes that this
// daemon gave up, and the previous homes that it asks to confirm that they stopped.
type handoff struct {
	estimates     map[string]*peerpb.ReleasedGroup // Estimates of homes that this daemon gave up, by group.
	epoch         uint64                           // Epoch for which releases are requested.
	previousHomes []*previousHome
}

// previousHome is a member that was home of groups in the previous epoch.
type previousHome struct {
	member      Member
	groups      []string // IDs of the groups that it was home of.
	nextRequest time.Duration
	running     bool // A Release call is in flight.
	done        bool // No confirmation is missing.
}

// planRequests lists the previous home of each group of t, the table of the epoch
// old. A previous home alone can confirm that no earlier home remains only if old is
// the last settled epoch and m follows it directly. Otherwise the list is empty.
func (h *handoff) planRequests(now time.Duration, old, m *membership, t *homeTable) {
	h.epoch, h.previousHomes = m.epoch, nil
	if old == nil || t == nil || old.epoch+1 != m.epoch || !m.followsSettled() {
		return
	}
	byHome := make(map[string]*previousHome)
	for _, g := range t.in.groups {
		o := t.preferenceLists[g.id]
		if len(o) == 0 {
			continue
		}
		p := byHome[o[0].Name()]
		if p == nil {
			p = &previousHome{member: o[0], nextRequest: now}
			byHome[o[0].Name()] = p
			h.previousHomes = append(h.previousHomes, p)
		}
		p.groups = append(p.groups, g.id)
	}
}

// stopHomesLocked stops the homes of groups. The epoch becomes the released epoch
// when the homes given up in earlier epochs have stopped too.
func (c *Cell) stopHomesLocked(groups []string) {
	if len(groups) == 0 {
		c.updateReleasedEpochLocked()
		return
	}
	c.view.pendingReleases++
	c.startClosingLocked(groups)
	c.queueTask(func() {
		ctx, cancel := c.withTimeout(leaseDuration + clockMargin)
		defer cancel()
		estimates := c.cfg.releaseGroups(ctx, groups)
		c.mu.Lock()
		c.view.pendingReleases--
		c.finishClosingLocked(groups)
		for _, g := range estimates {
			if len(c.handoff.estimates) >= maxEstimates {
				clear(c.handoff.estimates)
			}
			if g != nil {
				c.handoff.estimates[g.Group] = g
			}
		}
		c.updateReleasedEpochLocked()
		c.unlock()
	})
}

// updateReleasedEpochLocked marks the current epoch as released once all homes that
// this daemon gave up have stopped, and makes the next heartbeat due at once.
func (c *Cell) updateReleasedEpochLocked() {
	if c.view.pendingReleases == 0 && c.view.membership != nil && c.view.releasedEpoch != c.view.membership.epoch {
		c.view.releasedEpoch = c.view.membership.epoch
		c.heartbeat.next = 0
	}
}

// requestReleasesLocked asks previous homes to confirm the release of the groups that
// this daemon is home of now, until the epoch is settled.
func (c *Cell) requestReleasesLocked(now time.Duration) {
	h, v := &c.handoff, &c.view
	if v.membership == nil || v.table == nil || v.settled || h.epoch != v.membership.epoch || now >= v.leaseEnd() {
		return
	}
	for _, p := range h.previousHomes {
		if p.done || p.running || now < p.nextRequest || p.member.Name() == c.self.Name() {
			continue
		}
		groups := slices.DeleteFunc(slices.Clone(p.groups), func(id string) bool {
			o := v.table.preferenceLists[id]
			return len(o) == 0 || o[0].Name() != c.self.Name() || v.confirmed[id]
		})
		if len(groups) == 0 {
			p.done = true
			continue
		}
		p.running = true
		c.requestReleaseLocked(p, v.membership.epoch, groups)
	}
}

// requestReleaseLocked makes one Release call to p and imports the estimates that it
// returns.
func (c *Cell) requestReleaseLocked(p *previousHome, epoch uint64, groups []string) {
	c.queueTask(func() {
		ctx, cancel := c.withTimeout(peerTimeout)
		defer cancel()
		reply, err := c.cfg.calls.Release(ctx, p.member.PeerAddress(), &peerpb.ReleaseRequest{
			Member: p.member.Name(), Incarnation: p.member.Incarnation(), Epoch: epoch, Groups: groups,
		})
		now := c.cfg.clk.Boot()
		c.mu.Lock()
		p.running, p.nextRequest = false, now+releaseRetry
		var confirmed []*peerpb.ReleasedGroup
		if err == nil {
			c.contact.lastPeer = now
			confirmed = c.applyConfirmationsLocked(epoch, groups, reply.GetGroups())
		}
		c.unlock()
		if len(confirmed) > 0 {
			c.cfg.importEstimates(confirmed)
		}
	})
}

// applyConfirmationsLocked marks the requested groups that a previous home confirmed,
// if epoch is still the current one, and returns them.
func (c *Cell) applyConfirmationsLocked(epoch uint64, requested []string, confirmed []*peerpb.ReleasedGroup) []*peerpb.ReleasedGroup {
	if c.view.membership.epoch != epoch {
		return nil
	}
	var out []*peerpb.ReleasedGroup
	for _, g := range confirmed {
		if slices.Contains(requested, g.GetGroup()) {
			c.view.confirmed[g.GetGroup()] = true
			out = append(out, g)
		}
	}
	if len(out) > 0 {
		c.changed = true
		meter.Count("cell.release.confirmed", int64(len(out)))
	}
	return out
}

// HandleRelease serves the RPC Release. It confirms the groups whose homes on this
// daemon have stopped. The caller must ask again for a group that is missing from the
// reply.
func (c *Cell) HandleRelease(_ context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	c.mu.Lock()
	defer c.unlock()
	c.contact.lastPeer = c.cfg.clk.Boot()
	v := &c.view
	if in.Incarnation != c.self.Incarnation() {
		meter.Count("cell.refused.release", 1)
		return nil, twirp.NewError(twirp.FailedPrecondition, "daemon has another incarnation")
	}
	out := &peerpb.ReleaseReply{}
	if v.membership == nil || v.table == nil || v.membership.epoch < in.Epoch || v.releasedEpoch < in.Epoch {
		return out, nil
	}
	for _, id := range in.Groups {
		// This daemon is home of the group in this or a later epoch.
		if o := v.table.preferenceLists[id]; len(o) > 0 && o[0].Name() == c.self.Name() {
			continue
		}
		g := c.handoff.estimates[id]
		if g == nil {
			g = &peerpb.ReleasedGroup{Group: id}
		}
		out.Groups = append(out.Groups, g)
	}
	return out, nil
}
