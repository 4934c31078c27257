// Package evaluate checks catalogue texts and builds the catalogue.Estate that
// they declare. All faults of a text are reported together, each with file, line,
// column, path, what was expected and what was found. The reference of the format
// is docs/catalogue.md.
package evaluate
