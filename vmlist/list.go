package vmlist

import "time"

// List is one reading of the VM list. The zero List is unknown.
type List struct {
	vms map[string]VM
	// read is the reading of clock.Clock.Boot at which the list was asked for.
	read time.Duration
}

// NewList returns the List that was asked for at read, a reading of
// clock.Clock.Boot.
func NewList(vms []VM, read time.Duration) List {
	l := List{vms: make(map[string]VM, len(vms)), read: read}
	for _, v := range vms {
		l.vms[v.name] = v
	}
	return l
}

// Known reports whether the list was read at all.
func (l List) Known() bool { return l.vms != nil }

// VM finds a VM by name.
func (l List) VM(name string) (VM, bool) {
	v, ok := l.vms[name]
	return v, ok
}

// Len returns the number of VMs.
func (l List) Len() int { return len(l.vms) }

// Age returns how long before now, a reading of clock.Clock.Boot, the list was read.
func (l List) Age(now time.Duration) time.Duration { return now - l.read }

// Listed reports whether the VM of that name is on the list. known is false when
// no list was read or it is older than maxAge at now, a reading of
// clock.Clock.Boot: a VM that is missing from an old list may be back by now.
func (l List) Listed(name string, now, maxAge time.Duration) (listed, known bool) {
	if !l.Known() || l.Age(now) > maxAge {
		return false, false
	}
	_, listed = l.VM(name)
	return listed, true
}
