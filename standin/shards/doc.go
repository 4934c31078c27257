// Package shards emulates the targets of a sharded service. A [Target] speaks
// the platform's protocol over in-memory connections from [Emulator.Dial], so
// that tests can run a load in simulated time, or over a real listener with
// [Target.Serve].
//
// A [Behaviour] sets the number of slots, the queue length, the service time and
// the connection limit of a target, and the faults it injects: pauses, slowness,
// failures, refusals, crashes, silence, and replies that are dropped or
// duplicated.
package shards
