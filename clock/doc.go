// Package clock defines [Clock], the source of time for the rest of the program,
// and [System], its implementation by the clocks of the machine. Tests use the
// manual clock of package clocktest instead.
package clock
