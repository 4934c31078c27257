package command

import (
	"encoding/json"
	"time"
)

// statusReply holds the fields of a status that the summary shows. Fields that are
// absent from the reply stay zero. Other sections are printed in full.
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
	Cell              string    `json:"cell"`
	Keeper            string    `json:"keeper"`
	Epoch             uint64    `json:"epoch"`
	Members           int       `json:"members"`
	AskedGeneration   uint64    `json:"asked_generation"`
	InForceGeneration uint64    `json:"in_force_generation"`
	InForceSince      time.Time `json:"in_force_since"`
	Author            string    `json:"author"`
	Refused           string    `json:"refused"`
	Standstill        bool      `json:"standstill"`
	StoreReachable    bool      `json:"store_reachable"`
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
	ID         string                `json:"id"`
	Home       string                `json:"home"`
	Share      string                `json:"share"`
	AskedShare string                `json:"asked"`
	WhyNot     string                `json:"why_not"`
	Queued     int                   `json:"queued"`
	InFlight   int                   `json:"in_flight"`
	Searchers  []searcherStatusReply `json:"searchers"`
}

type searcherStatusReply struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// knownSections are the top-level keys that statusReply decodes.
var knownSections = []string{"daemon", "cell", "services"}

// decodeStatus returns the fields that statusReply knows and the remaining sections
// of a status.
func decodeStatus(body []byte) (statusReply, map[string]json.RawMessage, error) {
	var known statusReply
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(body, &sections); err != nil {
		return known, nil, err
	}
	if err := json.Unmarshal(body, &known); err != nil {
		return known, nil, err
	}
	for _, s := range knownSections {
		delete(sections, s)
	}
	return known, sections, nil
}
