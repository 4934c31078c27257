// Package peer provides the RPC service between daemons. A [Client] calls other
// daemons over a bounded number of connections and bounds the size of their
// replies. A [Server] is an http.Handler that dispatches calls to the functions in
// [Handlers]. Both use Twirp with protobuf; package peerpb has the messages.
//
// [RelayRequest], [Requests], [RelayReply] and [Results] convert between the values
// of package shard and relay messages.
package peer
