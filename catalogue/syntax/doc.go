// Package syntax parses strict YAML into a tree that keeps the position and
// path of every value, and reads typed fields from it. Every fault is
// collected as a Problem with position, path, and what was expected.
//
// Anchors, aliases, tags, merge keys and directives are refused: they make
// positions ambiguous and let a short text expand without bound.
package syntax
