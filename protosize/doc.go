// Package protosize bounds the memory that protobuf messages take when they are decoded,
// from their encoded form. An empty message takes two bytes encoded and a hundred or more
// decoded, so that the encoded size of a message is no bound.
package protosize
