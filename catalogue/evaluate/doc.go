// Package evaluate checks catalogue texts and builds the catalogue.Estate that
// they declare. All faults of a text are reported together, each with file,
// line, column, path and what was expected. docs/catalogue.md is the reference
// of the form.
package evaluate
