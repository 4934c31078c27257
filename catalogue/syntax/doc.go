// Package syntax parses a strict subset of YAML into a tree that keeps the
// position and path of every value, and reads typed fields from the tree. Every
// fault is recorded as a Problem with its position, its path, what was expected and
// what was found.
//
// Anchors, aliases, tags, explicit keys, merge keys and directives are rejected. They
// make positions ambiguous and let a short text expand without bound.
package syntax
