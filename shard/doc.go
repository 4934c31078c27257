// Package shard holds the messages that a sub-request and its result consist
// of, shared by entries, homes and the target protocol.
package shard
