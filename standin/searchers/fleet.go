package searchers

// Fleet is all searchers of one process.
type Fleet struct {
	corpus    *Corpus
	searchers []*Searcher
}

// Select narrows a Fleet to the searchers whose fields equal the fields that are set.
type Select struct {
	Name, Service, Shard, Domain, Version string
}

// StartFleet starts one searcher for each Config, or none.
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

// Searchers returns the selected searchers in the order of their Configs.
func (f *Fleet) Searchers(sel Select) []*Searcher {
	var found []*Searcher
	for _, s := range f.searchers {
		if sel.matches(s.cfg) {
			found = append(found, s)
		}
	}
	return found
}

// Runs returns the runs of each non-idempotent request over all searchers.
func (f *Fleet) Runs() map[string]int {
	runs := make(map[string]int)
	for _, s := range f.searchers {
		for id, n := range s.Record().Runs {
			runs[id] += n
		}
	}
	return runs
}

func (sel Select) matches(c Config) bool {
	return fits(sel.Name, c.Name) && fits(sel.Service, c.Service) && fits(sel.Shard, c.Shard) &&
		fits(sel.Domain, c.Domain) && fits(sel.Version, c.Version)
}

func fits(want, have string) bool { return want == "" || want == have }
