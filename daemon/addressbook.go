package daemon

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/entry"
)

// callerAddress is an entry with the name of its daemon.
type callerAddress struct {
	entry.Address
	member string
}

// addressBook lists the entries that callers may be sent to.
type addressBook struct {
	serving []callerAddress
	// withdrawn are in failure domains that operators have taken out of service.
	// They are given out only when no other entry is left.
	withdrawn []callerAddress
}

// add takes in an entry. A domain that the catalogue does not list is in service.
func (b *addressBook) add(estate catalogue.Estate, a callerAddress) {
	if domain, ok := estate.Domain(a.Domain()); ok && !domain.InService() {
		b.withdrawn = append(b.withdrawn, a)
		return
	}
	b.serving = append(b.serving, a)
}

// entries is the number of entries that callers are sent to, which share the
// limits of the catalogue.
func (b *addressBook) entries() int {
	if len(b.serving) == 0 {
		return len(b.withdrawn)
	}
	return len(b.serving)
}

// reachable returns the entries to give out, among those for which up holds.
func (b *addressBook) reachable(up func(member string) bool) []entry.Address {
	var list []entry.Address
	for _, book := range [][]callerAddress{b.serving, b.withdrawn} {
		for _, a := range book {
			if up(a.member) {
				list = append(list, a.Address)
			}
		}
		if len(list) > 0 {
			break
		}
	}
	return list
}
