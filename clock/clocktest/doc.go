// Package clocktest provides a clock that tests move by hand.
package clocktest
