package command

import (
	"encoding/json"
	"time"
)

// statusReply is the part of a status that the concise text shows. Fields that
// are absent stay zero, and sections that are not named here are shown as they are.
type statusReply struct {
	Daemon   *daemonReply   `json:"daemon"`
	Cell     cellReply      `json:"cell"`
	Services []serviceReply `json:"services"`
}

type daemonReply struct {
	Name     string    `json:"name"`
	Region   string    `json:"region"`
	Domain   string    `json:"domain"`
	State    string    `json:"state"`
	Since    time.Time `json:"since"`
	InFlight int64     `json:"in_flight"`
}

type cellReply struct {
	Cell           string    `json:"cell"`
	Keeper         string    `json:"keeper"`
	Epoch          uint64    `json:"epoch"`
	Members        int       `json:"members"`
	Asked          uint64    `json:"asked_generation"`
	InForce        uint64    `json:"in_force_generation"`
	InForceSince   time.Time `json:"in_force_since"`
	Author         string    `json:"author"`
	Refused        string    `json:"refused"`
	Standstill     bool      `json:"standstill"`
	StoreReachable bool      `json:"store_reachable"`
}

type serviceReply struct {
	Name    string       `json:"name"`
	InForce string       `json:"in_force"`
	WhyNot  string       `json:"why_not"`
	Policy  string       `json:"policy"`
	Moves   []moveReply  `json:"moves"`
	Groups  []groupReply `json:"groups"`
}

type moveReply struct {
	Name   string    `json:"name"`
	From   string    `json:"from"`
	To     string    `json:"to"`
	Phase  string    `json:"phase"`
	Share  float64   `json:"share"`
	Since  time.Time `json:"since"`
	Reason string    `json:"reason"`
}

type groupReply struct {
	ID        string                `json:"id"`
	Home      string                `json:"home"`
	Share     string                `json:"share"`
	Asked     string                `json:"asked"`
	WhyNot    string                `json:"why_not"`
	Queued    int                   `json:"queued"`
	InFlight  int                   `json:"in_flight"`
	Searchers []searcherStatusReply `json:"searchers"`
}

type searcherStatusReply struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// shownSections are the sections that statusReply covers.
var shownSections = []string{"daemon", "cell", "services"}

// decodeStatus returns the known part of a status and the sections that are not known.
func decodeStatus(body []byte) (statusReply, map[string]json.RawMessage, error) {
	var known statusReply
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(body, &sections); err != nil {
		return known, nil, err
	}
	if err := json.Unmarshal(body, &known); err != nil {
		return known, nil, err
	}
	for _, s := range shownSections {
		delete(sections, s)
	}
	return known, sections, nil
}
