package daemon

import (
	"fmt"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/lease"
)

// The states of a daemon.
const (
	serving  = "serving"
	waiting  = "waiting for a catalogue"
	leaving  = "leaving"
	isolated = "isolated"
)

type statusReply struct {
	Daemon   daemonStatus    `json:"daemon"`
	Cell     cell.Status     `json:"cell"`
	Services []serviceStatus `json:"services"`
}

type daemonStatus struct {
	Name        string    `json:"name"`
	Incarnation string    `json:"incarnation"`
	Region      string    `json:"region"`
	Domain      string    `json:"domain"`
	State       string    `json:"state"`
	Since       time.Time `json:"since"`
	InFlight    int64     `json:"in_flight"`
}

// inForce states, for whatever operators ask, what of it is in force.
type inForce struct {
	Asked   string    `json:"asked"`
	InForce string    `json:"in_force"`
	Since   time.Time `json:"since,omitzero"`
	WhyNot  string    `json:"why_not,omitempty"`
}

type serviceStatus struct {
	Name string `json:"name"`
	inForce
	Policy string        `json:"policy"`
	Moves  []moveStatus  `json:"moves,omitempty"`
	Groups []groupStatus `json:"groups"`
}

type moveStatus struct {
	Name   string    `json:"name"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Phase  string    `json:"phase"`
	Share  float64   `json:"share"`
	Step   uint64    `json:"step"`
	Since  time.Time `json:"since,omitzero"`
	Reason string    `json:"reason,omitempty"`
}

type groupStatus struct {
	ID    string `json:"id"`
	Home  string `json:"home"`
	Share string `json:"share"`
	inForce
	Snapshots []uint64         `json:"snapshots,omitempty"`
	Queued    int              `json:"queued"`
	InFlight  int              `json:"in_flight"`
	Searchers []searcherStatus `json:"searchers,omitempty"`
}

type searcherStatus struct {
	Name      string `json:"name"`
	State     string `json:"state"`
	Version   string `json:"version"`
	InFlight  int    `json:"in_flight"`
	Limit     int    `json:"limit"`
	Open      int    `json:"open_connections"`
	LatencyUS int64  `json:"latency_us"`
}

func (d *daemon) state() string {
	switch {
	case d.leaving.Load():
		return leaving
	case !d.view.Load().known:
		return waiting
	case d.cell.Status().Isolated:
		return isolated
	default:
		return serving
	}
}

func (d *daemon) status() statusReply {
	v, c := d.view.Load(), d.cell.Status()
	homes := make(map[string]home.GroupStatus)
	for _, g := range d.homes.Status() {
		homes[g.ID()] = g
	}
	out := statusReply{
		Daemon: daemonStatus{
			Name: d.cfg.Name(), Incarnation: d.incarnation, Region: d.cfg.Region(), Domain: d.cfg.Domain(),
			State: d.state(), Since: d.started.UTC(), InFlight: d.entry.InFlight(),
		},
		Cell:     c,
		Services: []serviceStatus{},
	}
	for _, s := range v.estate.Services() {
		st := serviceStatus{
			Name: s.Name(), Policy: string(s.Policy()),
			inForce: inForce{
				Asked: fmt.Sprintf("generation %d", c.HighestGeneration), InForce: fmt.Sprintf("generation %d", c.InForce),
				Since: c.InForceSince, WhyNot: c.Refused,
			},
		}
		if c.HighestGeneration > c.InForce && st.WhyNot == "" {
			st.WhyNot = "the newer catalogue has not been read yet"
		}
		st.Moves = d.moveStatus(s.Name())
		for _, g := range s.Groups() {
			st.Groups = append(st.Groups, d.groupStatus(v, g, homes))
		}
		out.Services = append(out.Services, st)
	}
	return out
}

func (d *daemon) moveStatus(service string) []moveStatus {
	var list []moveStatus
	for _, s := range d.moves.follower.States() {
		if s.Service() == service {
			list = append(list, moveStatus{
				Name: s.Move(), From: s.From(), To: s.To(), Phase: string(s.Phase()),
				Share: s.Share(), Step: s.Step(), Since: s.Since(), Reason: s.Reason(),
			})
		}
	}
	return list
}

// groupStatus describes a group as this daemon sees it. Searchers are listed by
// daemons that have a share of the group.
func (d *daemon) groupStatus(v *view, g catalogue.Group, homes map[string]home.GroupStatus) groupStatus {
	share, since := d.shares.get(g.ID())
	st := groupStatus{ID: g.ID(), Share: share.String()}
	st.Asked, st.InForce, st.Since = lease.None.String(), share.String(), since.UTC()
	if since.IsZero() {
		st.Since = time.Time{}
	}
	if order := v.homes[g.ID()]; len(order) > 0 {
		st.Home = order[0].Name()
		if order[0].Self() {
			st.Asked = lease.Full.String()
		} else if share == lease.Acting {
			st.Asked = lease.Acting.String()
		}
	} else {
		st.WhyNot = "no membership names a home"
	}
	if st.Asked == lease.Full.String() && share != lease.Full {
		st.WhyNot = "the previous home has not confirmed that it stopped"
		if share == lease.None {
			st.WhyNot = "the home lease has ended"
		}
	}
	h, ok := homes[g.ID()]
	if !ok {
		return st
	}
	st.Queued, st.InFlight = h.Queued(), h.InFlight()
	for _, l := range d.homes.AvailableSnapshots(g.ID()) {
		st.Snapshots = append(st.Snapshots, l.Snapshot())
	}
	for _, s := range h.Searchers() {
		st.Searchers = append(st.Searchers, searcherStatus{
			Name: s.Name(), State: s.State(), Version: s.Version(), InFlight: s.InFlight(),
			Limit: s.Limit(), Open: s.Open(), LatencyUS: s.Latency().Microseconds(),
		})
	}
	return st
}
