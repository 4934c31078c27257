// Package vms stands in for the platform's VM list, with a lag that tests set.
// Product code does not import it.
package vms
