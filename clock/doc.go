// Package clock provides time to the rest of the program through an interface,
// so that tests control it.
package clock
