package cell

import "time"

// Status is the state of this daemon in the cell, as shown to operators.
type Status struct {
	Cell              string        `json:"cell"`
	Name              string        `json:"name"`
	Incarnation       string        `json:"incarnation"`
	Leader            string        `json:"keeper"`
	IsLeader          bool          `json:"is_keeper"`
	Term              uint64        `json:"term"`
	Epoch             uint64        `json:"epoch"`
	Settled           bool          `json:"settled"`
	Members           int           `json:"members"`
	HighestGeneration uint64        `json:"asked_generation"`    // Highest generation that this daemon has seen.
	GenerationInForce uint64        `json:"in_force_generation"` // Generation that this daemon uses.
	InForceSince      time.Time     `json:"in_force_since"`
	Author            string        `json:"author"`
	Applied           time.Time     `json:"applied,omitzero"`  // When the author applied it.
	Refused           string        `json:"refused,omitempty"` // Why the last rejected configuration is not in force.
	Isolated          bool          `json:"isolated"`
	Standstill        bool          `json:"standstill"`
	StoreReachable    bool          `json:"store_reachable"`
	LeaseLeft         time.Duration `json:"lease_left_ns"`
	Leaving           bool          `json:"leaving"`
}

// Status returns the state of this daemon in the cell.
func (c *Cell) Status() Status {
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Cell:              c.cfg.cell,
		Name:              c.self.Name(),
		Incarnation:       c.self.Incarnation(),
		IsLeader:          c.leader != nil,
		HighestGeneration: c.configuration.highestGeneration,
		GenerationInForce: c.configuration.doc.Generation,
		InForceSince:      c.configuration.inForceSince,
		Author:            c.configuration.doc.Author,
		Applied:           c.configuration.doc.Time,
		Refused:           c.configuration.refusalReason,
		Isolated:          c.contact.isolated(now),
		Standstill:        c.poll.standstill,
		StoreReachable:    c.contact.storeOK,
		LeaseLeft:         max(0, c.view.leaseEnd()-now),
		Leaving:           c.leaving,
	}
	if m := c.view.membership; m != nil {
		s.Leader, s.Term, s.Epoch = m.leader.Name(), m.term, m.epoch
		s.Settled, s.Members = c.view.settled, len(m.members)
	}
	return s
}
