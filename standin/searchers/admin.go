package searchers

import (
	"encoding/json"
	"net/http"
)

// Info identifies a searcher in admin replies.
type Info struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Shard   string `json:"shard"`
	Domain  string `json:"domain"`
	Version string `json:"version"`
	Address string `json:"address"`
}

// Admin serves the faults and records of a Fleet over HTTP. The query
// parameters name, service, shard, domain and version select searchers; without
// them all are meant.
//
//	GET  /admin/searchers        the Infos
//	GET  /admin/records          Record by name
//	GET  /admin/runs             runs of each non-idempotent request
//	POST /admin/faults           replaces the Faults
//	POST /admin/snapshots        replaces the snapshots held, a list of Held
//	POST /admin/drain, undrain, chill, crash, silence
type Admin struct {
	mux   *http.ServeMux
	fleet *Fleet
}

// NewAdmin returns an Admin of f.
func NewAdmin(f *Fleet) *Admin {
	a := &Admin{mux: http.NewServeMux(), fleet: f}
	a.mux.HandleFunc("GET /admin/searchers", a.serveInfos)
	a.mux.HandleFunc("GET /admin/records", a.serveRecords)
	a.mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, f.Runs()) })
	a.mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		change(a, w, r, func(s *Searcher, faults Faults) { s.SetFaults(faults) })
	})
	a.mux.HandleFunc("POST /admin/snapshots", func(w http.ResponseWriter, r *http.Request) {
		change(a, w, r, func(s *Searcher, held []Held) { s.SetSnapshots(held) })
	})
	a.action("drain", func(s *Searcher) { s.Drain(true) })
	a.action("undrain", func(s *Searcher) { s.Drain(false) })
	a.action("chill", (*Searcher).Chill)
	a.action("crash", (*Searcher).Crash)
	a.action("silence", (*Searcher).Silence)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Admin) action(name string, act func(*Searcher)) {
	a.mux.HandleFunc("POST /admin/"+name, func(w http.ResponseWriter, r *http.Request) {
		selected := a.selected(r)
		for _, s := range selected {
			act(s)
		}
		replyChanged(w, len(selected))
	})
}

func (a *Admin) selected(r *http.Request) []*Searcher {
	q := r.URL.Query()
	return a.fleet.Searchers(Select{
		Name: q.Get("name"), Service: q.Get("service"), Shard: q.Get("shard"),
		Domain: q.Get("domain"), Version: q.Get("version"),
	})
}

func (a *Admin) serveInfos(w http.ResponseWriter, r *http.Request) {
	infos := []Info{}
	for _, s := range a.selected(r) {
		infos = append(infos, s.Info())
	}
	reply(w, infos)
}

func (a *Admin) serveRecords(w http.ResponseWriter, r *http.Request) {
	records := make(map[string]Record)
	for _, s := range a.selected(r) {
		records[s.cfg.Name] = s.Record()
	}
	reply(w, records)
}

// Info identifies the searcher.
func (s *Searcher) Info() Info {
	return Info{
		Name: s.cfg.Name, Service: s.cfg.Service, Shard: s.cfg.Shard,
		Domain: s.cfg.Domain, Version: s.cfg.Version, Address: s.Address(),
	}
}

func change[T any](a *Admin, w http.ResponseWriter, r *http.Request, apply func(*Searcher, T)) {
	var v T
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// A fault with a wrong name would make a test pass without the fault.
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	selected := a.selected(r)
	for _, s := range selected {
		apply(s, v)
	}
	replyChanged(w, len(selected))
}

func replyChanged(w http.ResponseWriter, n int) {
	reply(w, struct {
		Changed int `json:"changed"`
	}{n})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
