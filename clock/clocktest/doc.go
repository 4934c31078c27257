// Package clocktest provides [Manual], a clock.Clock that tests advance
// explicitly.
package clocktest
