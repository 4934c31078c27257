// Package duty performs a task that only one daemon at a time may perform: a
// sequence of numbered calls to an outside system that cannot tell which daemon
// is entitled to make them. The holder is named by an object in the store, which
// is only replaced conditionally on its version. [Machine] makes the decisions
// and uses neither a network nor real time; [Runner] carries them out.
//
// Each holder has a fencing token that is higher than those before it. A holder
// writes each call to the store before it makes it, and makes it within a bounded
// time after the start of that write. A successor waits for longer than that
// before its first call, and repeats the call that the object names.
package duty
