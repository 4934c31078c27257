package daemon

import (
	"fmt"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/lease"
)

// The states of a daemon in its status and health check.
const (
	stateServing  = "serving"
	stateWaiting  = "waiting for a catalogue"
	stateLeaving  = "leaving"
	stateIsolated = "isolated"
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

// appliedState compares what is requested with what is in force, and gives the reason
// for a difference.
type appliedState struct {
	Requested string    `json:"asked"`
	InForce   string    `json:"in_force"`
	Since     time.Time `json:"since,omitzero"`
	Reason    string    `json:"why_not,omitempty"`
}

type serviceStatus struct {
	Name string `json:"name"`
	appliedState
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
	appliedState
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
		return stateLeaving
	case !d.view.Load().hasCatalogue:
		return stateWaiting
	case d.cell.Status().Isolated:
		return stateIsolated
	default:
		return stateServing
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
			appliedState: appliedState{
				Requested: fmt.Sprintf("generation %d", c.HighestGeneration), InForce: fmt.Sprintf("generation %d", c.GenerationInForce),
				Since: c.InForceSince, Reason: c.Refused,
			},
		}
		if c.HighestGeneration > c.GenerationInForce && st.Reason == "" {
			st.Reason = "the newer catalogue has not been read yet"
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

// groupStatus returns the status of a group from this daemon's view. Queues, snapshots
// and searchers are set only if the daemon has a share of the group.
func (d *daemon) groupStatus(v *view, g catalogue.Group, homes map[string]home.GroupStatus) groupStatus {
	share, since := d.shares.get(g.ID())
	st := groupStatus{ID: g.ID(), Share: share.String()}
	st.Requested, st.InForce, st.Since = lease.None.String(), share.String(), since.UTC()
	if since.IsZero() {
		st.Since = time.Time{}
	}
	if order := v.preferenceLists[g.ID()]; len(order) > 0 {
		st.Home = order[0].Name()
		if order[0].Self() {
			st.Requested = lease.Full.String()
		} else if share == lease.Acting {
			st.Requested = lease.Acting.String()
		}
	} else {
		st.Reason = "the membership has no home for the group"
	}
	if st.Requested == lease.Full.String() && share != lease.Full {
		st.Reason = "the previous home has not confirmed that it stopped"
		if share == lease.None {
			st.Reason = "the home lease has expired"
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
			Limit: s.Limit(), Open: s.OpenConnections(), LatencyUS: s.Latency().Microseconds(),
		})
	}
	return st
}
