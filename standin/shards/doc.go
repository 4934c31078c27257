// Package shards emulates the targets of a sharded service: slots and queues,
// caps on connections, pauses, slow and grey targets, crashes and answers that
// are lost or belong to another request. It speaks the platform's protocol over
// connections in memory, so that tests play a load in simulated time.
package shards
