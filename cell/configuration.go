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

// configuration is the catalogue in force and what is known of newer ones.
type configuration struct {
	doc     Document
	estate  catalogue.Estate
	since   time.Time
	inputs  []*inputs // Of this catalogue and of the one before.
	highest uint64    // Highest generation seen anywhere.
	refused string    // Why the last refused one was refused.
	pulling bool
	bad     uint64        // Generation of the last refused one.
	retry   time.Duration // When bad may be pulled from a peer again.
}

func (x *configuration) asked(generation uint64) {
	if generation-min(generation, x.highest) <= maxStep || x.highest == 0 {
		x.highest = max(x.highest, generation)
	}
}

// digest identifies the inputs in force; 0 without a configuration.
func (x *configuration) digest() uint64 {
	if len(x.inputs) == 0 {
		return 0
	}
	return x.inputs[0].digest
}

func (x *configuration) find(digest uint64) *inputs {
	for _, in := range x.inputs {
		if in.digest == digest {
			return in
		}
	}
	return nil
}

// install puts a newer configuration in force and forwards it along the tree of
// origin. An invalid one is refused and the last good one stays.
func (c *Cell) install(d Document, origin string) {
	c.mu.Lock()
	c.config.asked(d.Generation)
	err := c.config.wants(d)
	c.unlock()
	if err != nil || d.Generation <= c.Generation() {
		c.refuse(err, d.Generation)
		return
	}
	estate, err := c.cfg.parse(CatalogueKey, d.Text, d.Generation)
	if err != nil {
		c.refuse(err, d.Generation)
		return
	}
	in := newInputs(estate, c.cfg.groups(estate))
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	defer c.unlock()
	x := &c.config
	if d.Generation <= x.doc.Generation {
		return
	}
	invariant.Check("cell.generation", d.Generation > x.doc.Generation && estate.Generation() == d.Generation,
		"generation %d, estate %d after %d", d.Generation, estate.Generation(), x.doc.Generation)
	x.doc, x.estate, x.since, x.refused = d, estate, c.cfg.clk.Now(), ""
	if len(x.inputs) == 0 || x.inputs[0].digest != in.digest {
		x.inputs = append([]*inputs{in}, x.inputs[:min(1, len(x.inputs))]...)
	}
	c.changed = true
	meter.Count("cell.configuration.installed", 1)
	meter.Gauge("cell.generation", int64(d.Generation))
	log.Info().Uint64("generation", d.Generation).Str("author", d.Author).Msg("configuration in force")
	c.fillTableLocked()
	c.adoptPendingLocked(now)
	c.forwardLocked(origin)
}

// Generation is that of the configuration in force; 0 before the first one.
func (c *Cell) Generation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.doc.Generation
}

// refuse records why a configuration of that generation is not put in force.
func (c *Cell) refuse(err error, generation uint64) {
	if err == nil {
		return
	}
	meter.Count("cell.refused.configuration", 1)
	log.Warn().Err(err).Msg("refused a configuration")
	now := c.cfg.clk.Boot()
	c.mu.Lock()
	c.config.refused, c.config.bad, c.config.retry = err.Error(), generation, now+badRetry
	c.unlock()
}

// forwardLocked pushes the configuration to this daemon's children in the tree
// whose root is origin; an empty origin forwards nothing. Daemons that the tree
// misses learn the generation from heartbeats.
func (c *Cell) forwardLocked(origin string) {
	if origin == "" || c.view.m == nil {
		return
	}
	order := pushOrder(c.view.m.members, origin, c.config.doc.Generation)
	i := rankOf(order, c.self.Name())
	if i < 0 {
		return
	}
	for n := i*pushDegree + 1; n <= i*pushDegree+pushDegree && n < len(order); n++ {
		in := c.syncRequestLocked()
		in.Catalogue, in.Origin = c.config.doc.wire(), origin
		address := order[n].PeerAddress()
		c.later(func() { c.push(address, in) })
	}
}

// push sends a configuration and once more after a failure.
func (c *Cell) push(address string, in *peerpb.SyncRequest) {
	meter.Count("cell.push", 1)
	if c.sync(address, in) == nil {
		c.sync(address, in)
	}
}

// pushOrder lists the members as a tree in breadth-first order. The tree differs
// with each generation, so that the load of forwarding moves around.
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
