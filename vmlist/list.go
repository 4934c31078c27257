package vmlist

import "time"

// List is the VM list as read at one time. The zero List means that no list has
// been read.
type List struct {
	vms map[string]VM
	// requestedAt is the reading of clock.Clock.Boot when the list was requested.
	requestedAt time.Duration
}

// NewList returns a List of vms that was requested at requestedAt, a reading
// of clock.Clock.Boot.
func NewList(vms []VM, requestedAt time.Duration) List {
	l := List{vms: make(map[string]VM, len(vms)), requestedAt: requestedAt}
	for _, v := range vms {
		l.vms[v.name] = v
	}
	return l
}

// Known reports whether a list has been read.
func (l List) Known() bool { return l.vms != nil }

// VM returns the VM with the given name and reports whether it is on the list.
func (l List) VM(name string) (VM, bool) {
	v, ok := l.vms[name]
	return v, ok
}

// Len returns the number of VMs.
func (l List) Len() int { return len(l.vms) }

// Age returns the time between the request for the list and now, a reading of
// clock.Clock.Boot.
func (l List) Age(now time.Duration) time.Duration { return now - l.requestedAt }

// Listed reports whether the VM with the given name is on the list. known is false
// if no list has been read, or if the list is older than maxAge at now, a reading
// of clock.Clock.Boot. A VM that is missing from an old list may be running again.
func (l List) Listed(name string, now, maxAge time.Duration) (listed, known bool) {
	if !l.Known() || l.Age(now) > maxAge {
		return false, false
	}
	_, listed = l.VM(name)
	return listed, true
}
