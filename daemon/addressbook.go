package daemon

import (
	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/entry"
)

// callerAddress is the caller address of a daemon, with the daemon's name.
type callerAddress struct {
	entry.Address
	member string
}

// addressBook lists the addresses that daemons return to callers.
type addressBook struct {
	serving []callerAddress
	// withdrawn lists entries in failure domains that operators took out of service.
	// They are returned only if no other entry is reachable.
	withdrawn []callerAddress
}

// add adds an entry. A domain that is not in the catalogue counts as in service.
func (b *addressBook) add(estate catalogue.Estate, a callerAddress) {
	if domain, ok := estate.Domain(a.Domain()); ok && !domain.InService() {
		b.withdrawn = append(b.withdrawn, a)
		return
	}
	b.serving = append(b.serving, a)
}

// entryCount returns the number of entries that receive calls. The limits of the
// catalogue are divided among them.
func (b *addressBook) entryCount() int {
	if len(b.serving) == 0 {
		return len(b.withdrawn)
	}
	return len(b.serving)
}

// reachable returns the entries in service for which isReachable returns true, or
// the withdrawn ones if there are none.
func (b *addressBook) reachable(isReachable func(member string) bool) []entry.Address {
	var list []entry.Address
	for _, candidates := range [][]callerAddress{b.serving, b.withdrawn} {
		for _, a := range candidates {
			if isReachable(a.member) {
				list = append(list, a.Address)
			}
		}
		if len(list) > 0 {
			break
		}
	}
	return list
}
