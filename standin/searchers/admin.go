package searchers

import (
	"encoding/json"
	"net/http"
)

// Info describes a searcher in admin replies. Address is an IP address and port.
type Info struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Shard   string `json:"shard"`
	Domain  string `json:"domain"`
	Version string `json:"version"`
	Address string `json:"address"`
}

// Admin controls a Fleet over HTTP. The query parameters name, service, shard,
// domain and version select searchers; a request without them applies to all.
//
//	GET  /admin/searchers        list of Info
//	GET  /admin/records          Record by name
//	GET  /admin/runs             runs of each non-idempotent request, over all searchers
//	POST /admin/faults           replaces the Faults
//	POST /admin/snapshots        replaces the snapshots held, a list of HeldSnapshot
//	POST /admin/drain, undrain, chill, crash, silence
type Admin struct {
	mux   *http.ServeMux
	fleet *Fleet
}

// NewAdmin returns an Admin that controls f.
func NewAdmin(f *Fleet) *Admin {
	a := &Admin{mux: http.NewServeMux(), fleet: f}
	a.mux.HandleFunc("GET /admin/searchers", a.serveInfos)
	a.mux.HandleFunc("GET /admin/records", a.serveRecords)
	a.mux.HandleFunc("GET /admin/runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Runs()) })
	a.mux.HandleFunc("POST /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		handleChange(a, w, r, func(s *Searcher, faults Faults) { s.SetFaults(faults) })
	})
	a.mux.HandleFunc("POST /admin/snapshots", func(w http.ResponseWriter, r *http.Request) {
		handleChange(a, w, r, func(s *Searcher, held []HeldSnapshot) { s.SetSnapshots(held) })
	})
	a.handleAction("drain", func(s *Searcher) { s.SetDraining(true) })
	a.handleAction("undrain", func(s *Searcher) { s.SetDraining(false) })
	a.handleAction("chill", (*Searcher).BeginColdStart)
	a.handleAction("crash", (*Searcher).Crash)
	a.handleAction("silence", (*Searcher).SilenceConnections)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Admin) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

func (a *Admin) handleAction(name string, action func(*Searcher)) {
	a.mux.HandleFunc("POST /admin/"+name, func(w http.ResponseWriter, r *http.Request) {
		selected := a.selectSearchers(r)
		for _, s := range selected {
			action(s)
		}
		writeChanged(w, len(selected))
	})
}

func (a *Admin) selectSearchers(r *http.Request) []*Searcher {
	q := r.URL.Query()
	return a.fleet.Searchers(Filter{
		Name: q.Get("name"), Service: q.Get("service"), Shard: q.Get("shard"),
		Domain: q.Get("domain"), Version: q.Get("version"),
	})
}

func (a *Admin) serveInfos(w http.ResponseWriter, r *http.Request) {
	infos := []Info{}
	for _, s := range a.selectSearchers(r) {
		infos = append(infos, s.Info())
	}
	writeJSON(w, infos)
}

func (a *Admin) serveRecords(w http.ResponseWriter, r *http.Request) {
	records := make(map[string]Record)
	for _, s := range a.selectSearchers(r) {
		records[s.cfg.Name] = s.Record()
	}
	writeJSON(w, records)
}

// Info returns the description of the searcher.
func (s *Searcher) Info() Info {
	return Info{
		Name: s.cfg.Name, Service: s.cfg.Service, Shard: s.cfg.Shard,
		Domain: s.cfg.Domain, Version: s.cfg.Version, Address: s.Address(),
	}
}

func handleChange[T any](a *Admin, w http.ResponseWriter, r *http.Request, apply func(*Searcher, T)) {
	var v T
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// Ignoring a misspelt fault would let a test pass without the fault.
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	selected := a.selectSearchers(r)
	for _, s := range selected {
		apply(s, v)
	}
	writeChanged(w, len(selected))
}

func writeChanged(w http.ResponseWriter, n int) {
	writeJSON(w, struct {
		Changed int `json:"changed"`
	}{n})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
