package cell

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/catalogue"
)

// inputs holds the part of a catalogue from which homes are computed. All members
// must use the same inputs in an epoch; otherwise two members could both consider
// themselves home of a group. The digest identifies the inputs.
type inputs struct {
	groups    []groupInput
	inService map[string]bool
	digest    uint64
}

type groupInput struct {
	id      string
	domains []string
}

func newInputs(e catalogue.Estate, groups []catalogue.Group) *inputs {
	in := &inputs{inService: make(map[string]bool), groups: make([]groupInput, 0, len(groups))}
	h := xxhash.New()
	var names []string
	for _, d := range e.Domains() {
		if d.InService() {
			names = append(names, d.Name())
			in.inService[d.Name()] = true
		}
	}
	slices.Sort(names)
	hashStrings(h, names)
	for _, g := range groups {
		in.groups = append(in.groups, groupInput{g.ID(), domainsOf(g)})
	}
	slices.SortFunc(in.groups, func(a, b groupInput) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	for _, g := range in.groups {
		hashStrings(h, []string{g.id})
		hashStrings(h, g.domains)
	}
	in.digest = h.Sum64()
	return in
}

// hashStrings hashes list. It terminates each string and the list with bytes that
// names do not contain.
func hashStrings(h *xxhash.Digest, list []string) {
	for _, s := range list {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write([]byte{1})
}

func domainsOf(g catalogue.Group) []string {
	var domains []string
	for _, s := range g.Searchers() {
		if !slices.Contains(domains, s.Domain()) {
			domains = append(domains, s.Domain())
		}
	}
	slices.Sort(domains)
	return domains
}
