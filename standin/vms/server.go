package vms

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
)

// VM is one entry of the VM list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

type change struct {
	visibleAt time.Duration // In time since boot.
	vm        VM
	remove    bool
}

// Server serves a VM list in which each change becomes visible after a lag. It is
// safe for concurrent use.
//
// GET /v1/vms returns the list. POST /admin/vms with a VM adds or changes the VM,
// DELETE /admin/vms?name= removes it, POST /admin/lag with {"lag_ms":N} sets the
// lag, and POST /admin/outage with {"outage":true} makes GET /v1/vms fail with
// status 503.
type Server struct {
	clock clock.Clock

	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	visible map[string]VM
	pending []change // Changes that are not yet visible, in the order of arrival.
}

// NewServer returns a Server with no lag that lists the given VMs. The lag of
// changes is measured on c.
func NewServer(c clock.Clock, vms ...VM) *Server {
	s := &Server{clock: c, visible: make(map[string]VM)}
	for _, v := range vms {
		s.visible[v.Name] = v
	}
	return s
}

// SetLag sets the lag of later changes.
func (s *Server) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetOutage starts or ends an outage of the list.
func (s *Server) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

// Set adds or changes a VM.
func (s *Server) Set(v VM) { s.addChange(change{vm: v}) }

// Remove removes a VM.
func (s *Server) Remove(name string) { s.addChange(change{vm: VM{Name: name}, remove: true}) }

// VMs returns the VMs that are visible now, ordered by name.
func (s *Server) VMs() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Boot()
	var pending []change
	for _, c := range s.pending {
		switch {
		case c.visibleAt > now:
			pending = append(pending, c)
		case c.remove:
			delete(s.visible, c.vm.Name)
		default:
			s.visible[c.vm.Name] = c.vm
		}
	}
	s.pending = pending
	vms := make([]VM, 0, len(s.visible))
	for _, v := range s.visible {
		vms = append(vms, v)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/vms":
		s.serveList(w)
	case r.URL.Path == "/admin/vms" && r.Method == http.MethodDelete:
		s.Remove(r.URL.Query().Get("name"))
	case r.URL.Path == "/admin/vms":
		var v VM
		if decode(w, r, &v) {
			s.Set(v)
		}
	case r.URL.Path == "/admin/lag":
		var body struct {
			LagMS int64 `json:"lag_ms"`
		}
		if decode(w, r, &body) {
			s.SetLag(time.Duration(body.LagMS) * time.Millisecond)
		}
	case r.URL.Path == "/admin/outage":
		var body struct {
			Outage bool `json:"outage"`
		}
		if decode(w, r, &body) {
			s.SetOutage(body.Outage)
		}
	default:
		http.NotFound(w, r)
	}
}

func (s *Server) addChange(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.visibleAt = s.clock.Boot() + s.lag
	s.pending = append(s.pending, c)
}

func (s *Server) serveList(w http.ResponseWriter) {
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	if outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		VMs []VM `json:"vms"`
	}{s.VMs()})
}

// decode decodes the JSON body into v, rejecting unknown fields. On failure it
// replies with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
