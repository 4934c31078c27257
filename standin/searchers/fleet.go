package searchers

// Fleet holds all searchers of one process.
type Fleet struct {
	corpus    *Corpus
	searchers []*Searcher
}

// Filter selects searchers whose fields equal those set in the filter. The zero
// Filter selects all.
type Filter struct {
	Name, Service, Shard, Domain, Version string
}

// StartFleet starts one searcher for each Config. If one fails to start, it stops
// those already started and returns the error.
func StartFleet(corpus *Corpus, configs []Config) (*Fleet, error) {
	f := &Fleet{corpus: corpus}
	for _, cfg := range configs {
		s, err := Start(cfg, corpus)
		if err != nil {
			f.Close()
			return nil, err
		}
		f.searchers = append(f.searchers, s)
	}
	return f, nil
}

// Close stops all searchers.
func (f *Fleet) Close() {
	for _, s := range f.searchers {
		s.Close()
	}
}

// Corpus returns the corpus that all searchers serve.
func (f *Fleet) Corpus() *Corpus { return f.corpus }

// Searchers returns the searchers that match the filter, in the order of their
// Configs.
func (f *Fleet) Searchers(sel Filter) []*Searcher {
	var found []*Searcher
	for _, s := range f.searchers {
		if sel.matches(s.cfg) {
			found = append(found, s)
		}
	}
	return found
}

// Runs returns the number of runs of each non-idempotent request, by request
// identifier, over all searchers.
func (f *Fleet) Runs() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.searchers {
		for id, n := range s.Record().Runs {
			runs[id] += n
		}
	}
	return runs
}

func (sel Filter) matches(c Config) bool {
	return fieldMatches(sel.Name, c.Name) && fieldMatches(sel.Service, c.Service) && fieldMatches(sel.Shard, c.Shard) &&
		fieldMatches(sel.Domain, c.Domain) && fieldMatches(sel.Version, c.Version)
}

func fieldMatches(want, have string) bool { return want == "" || want == have }
