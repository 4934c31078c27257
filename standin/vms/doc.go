// Package vms is a stand-in for the platform's VM list. A [Server] serves the list
// over HTTP; tests change its VMs, delay the changes by a lag and inject outages.
// Product code does not import this package.
package vms
