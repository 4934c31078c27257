package vmlist

import "time"

// List is one reading of the VM list. The zero List is unknown.
type List struct {
	vms map[string]VM
	// read is the reading of clock.Clock.Boot at which the reply arrived.
	read time.Duration
}

// NewList returns the List of a reply that arrived at read, a reading of
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
