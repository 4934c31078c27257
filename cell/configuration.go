package cell

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/invariant"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// configuration holds the catalogue in force and the state of newer generations.
type configuration struct {
	doc               Document
	estate            catalogue.Estate
	inForceSince      time.Time
	inputs            []*inputs // Of the catalogue in force and of the previous one, newest first.
	highestGeneration uint64    // Highest generation seen anywhere.
	refusalReason     string    // Error of the last rejected configuration; empty after an installation.
	pulling           bool
	refusedGeneration uint64        // Generation of the last rejected configuration.
	retryAt           time.Duration // When refusedGeneration may be pulled from a peer again.
}

// observeGeneration records the highest generation seen. It ignores a generation
// that is more than maxStep ahead of it.
func (x *configuration) observeGeneration(generation uint64) {
	if generation-min(generation, x.highestGeneration) <= maxStep || x.highestGeneration == 0 {
		x.highestGeneration = max(x.highestGeneration, generation)
	}
}

// digest returns the digest of the inputs in force; 0 without a configuration.
func (x *configuration) digest() uint64 {
	if len(x.inputs) == 0 {
		return 0
	}
	return x.inputs[0].digest
}

// findInputs returns the known inputs with that digest, or nil.
func (x *configuration) findInputs(digest uint64) *inputs {
	for _, in := range x.inputs {
		if in.digest == digest {
			return in
		}
	}
	return nil
}

// install puts a newer configuration in force and forwards it along the tree whose
// root is origin. It rejects an invalid configuration; the current one stays in
// force.
func (c *Cell) install(d Document, origin string) {
	c.mu.Lock()
	c.configuration.observeGeneration(d.Generation)
	err := c.configuration.checkConflict(d)
	c.unlock()
	if err != nil || d.Generation <= c.Generation() {
		c.refuseConfiguration(err, d.Generation)
		return
	}
	estate, err := c.cfg.parse(CatalogueKey, d.Text, d.Generation)
	if err != nil {
		c.refuseConfiguration(err, d.Generation)
		return
	}
	in := newInputs(estate, c.cfg.selectGroups(estate))
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	x := &c.configuration
	if d.Generation <= x.doc.Generation {
		return
	}
	invariant.Check("cell.generation", d.Generation > x.doc.Generation && estate.Generation() == d.Generation,
		"generation %d, estate %d after %d", d.Generation, estate.Generation(), x.doc.Generation)
	x.doc, x.estate, x.inForceSince, x.refusalReason = d, estate, c.cfg.clk.Now(), ""
	if len(x.inputs) == 0 || x.inputs[0].digest != in.digest {
		x.inputs = append([]*inputs{in}, x.inputs[:min(1, len(x.inputs))]...)
	}
	c.changed = true
	meter.Count("cell.configuration.installed", 1)
	meter.Gauge("cell.generation", int64(d.Generation))
	log.Info().Uint64("generation", d.Generation).Str("author", d.Author).Msg("configuration in force")
	c.computeTableLocked()
	c.adoptPendingLocked(now)
	c.forwardLocked(origin)
}

// Generation returns the generation of the configuration in force; 0 before the
// first one.
func (c *Cell) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration.doc.Generation
}

// refuseConfiguration records and logs why a configuration is not put in force. A
// nil err records nothing.
func (c *Cell) refuseConfiguration(err error, generation uint64) {
	if err == nil {
		return
	}
	meter.Count("cell.refused.configuration", 1)
	log.Warn().Err(err).Msg("rejected a configuration; the current one stays in force")
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.configuration.refusalReason, c.configuration.refusedGeneration, c.configuration.retryAt = err.Error(), generation, now+refusedRetry
	c.unlock()
}

// forwardLocked pushes the configuration to this daemon's children in the tree
// whose root is origin; an empty origin forwards nothing. Daemons that the push
// does not reach pull the configuration after a heartbeat with a newer generation.
func (c *Cell) forwardLocked(origin string) {
	if origin == "" || c.view.membership == nil {
		return
	}
	order := pushOrder(c.view.membership.members, origin, c.configuration.doc.Generation)
	i := rankOf(order, c.self.Name())
	if i < 0 {
		return
	}
	for n := i*pushDegree + 1; n <= i*pushDegree+pushDegree && n < len(order); n++ {
		in := c.syncRequestLocked()
		in.Catalogue, in.Origin = c.configuration.doc.wire(), origin
		address := order[n].PeerAddress()
		c.queueTask(func() { c.push(address, in) })
	}
}

// push sends a configuration to a peer and retries once after a failure.
func (c *Cell) push(address string, in *peerpb.SyncRequest) {
	meter.Count("cell.push", 1)
	if c.callSync(address, in) == nil {
		c.callSync(address, in)
	}
}

// pushOrder lists the members as a tree in breadth-first order. The tree depends on
// the generation, which spreads the forwarding load over the members.
func pushOrder(members []Member, origin string, generation uint64) []Member {
	key := strconv.FormatUint(generation, 10)
	order := slices.Clone(members)
	slices.SortFunc(order, func(a, b Member) int {
		if (a.Name() == origin) != (b.Name() == origin) {
			if a.Name() == origin {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(key, a.Name()), score(key, b.Name())), cmp.Compare(a.Name(), b.Name()))
	})
	return order
}
