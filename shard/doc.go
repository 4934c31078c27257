// Package shard defines the messages of a sub-request, which is the part of a
// fan-out that one shard answers: the Request from an entry to the home of a
// replica group and the Result that the home returns, with its Hits and Labels.
// The packages for entries, homes and the protocol of the searchers share them.
// All types are immutable.
package shard
